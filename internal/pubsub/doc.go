// Package pubsub is the controller's side of the publish-subscribe channel: proxies that join and are sent tables,
// and observers that subscribe and are sent each version. It runs on internal/netpoll and speaks RESP3
// (internal/codec/resp) in the vocabulary of internal/codec/pubsubmsg. It carries updates out and decides nothing
// about them.
//
// Guarantees:
//   - All updates of one Publish leave as one message for each proxy that they concern. Messages reach a proxy in
//     order, and each names the version before it, so that a missing one shows.
//   - A proxy joins with a snapshot. After a gap (RESYNC), or after it has read too slowly, it gets another one,
//     never a guess. At most Limits.UnsentBytes bytes and one snapshot wait for a slow reader.
//   - Messages leave at the stated pace, in entries a second; what waits is counted in entries (Stats.QueuedEntries).
//   - Bytes that are no RESP, commands that make no sense and peers that send nothing end that connection with one
//     clear error, and touch no other.
//   - Events are reported without Server.mu, so that their receiver may call the server. A stream that is replaced by
//     a newer one of the same proxy is not reported as disconnected: the newer one's ProxyConnected stands for it.
//
// Caveats: a snapshot that answers a JOIN or a RESYNC is not paced, as it is a reply. RESYNC is answered once a
// second. Updates for a proxy that is between two streams are dropped: its next stream starts from a snapshot. The
// order of messages to two proxies is that of the queue only.
package pubsub
