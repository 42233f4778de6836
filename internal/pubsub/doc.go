// Package channel is the governor's side of the pub-sub channel: forwarders that join and are sent tables, and
// observers that subscribe and are told each version. It runs on nbio sockets and speaks RESP3 (package resp) in
// the vocabulary of package tablewire. It carries orders out and decides nothing about them.
//
// Guarantees:
//   - all orders of one Publish leave as one message for each forwarder concerned; messages reach a forwarder in
//     order, and each names the version before it, so that a missing one shows;
//   - a forwarder joins with a snapshot. After a gap (RESYNC) or a spell of slow reading it gets another one,
//     never a guess; at most Limits.Unsent bytes and one snapshot wait for a slow reader;
//   - messages leave at the stated pace, in lines a second; what waits is counted in lines (Stats.Queue);
//   - bytes that are no RESP, words that make no sense and peers that say nothing end that connection with one
//     clear error, and touch no other.
//
// Caveats: a snapshot that answers a JOIN or a RESYNC is not paced (it is a reply); RESYNC is answered once a
// second. Orders for a forwarder that is between streams are dropped: its next stream starts from a snapshot.
// Message order between two forwarders is that of the queue only.
//
// One mechanism a file: board.go what each forwarder was sent, pacer.go the queue, peer.go a connection's words,
// server.go the sockets.
package pubsub
