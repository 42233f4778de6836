// Package pubsub implements the controller's side of the publish-subscribe channel: proxies join and receive tables,
// and observers subscribe and receive each version. It runs on internal/netpoll and speaks RESP3 (internal/codec/resp)
// with the messages of internal/codec/pubsubmsg. It sends updates and makes no decisions about them.
//
// Guarantees:
//   - All updates of one Publish are sent as one message to each affected proxy. Messages reach a proxy in order, and
//     each contains the version of the proxy's previous message, so that the proxy detects a gap.
//   - A proxy gets a snapshot when it joins, after a gap (RESYNC), and after it has read too slowly. At most
//     Limits.UnsentBytes bytes and one snapshot are buffered for a slow reader.
//   - Messages are sent at the configured pace, in entries a second; queued messages are counted in entries
//     (Stats.QueuedEntries).
//   - Bytes that are not RESP, and commands with invalid arguments or in the wrong order, end their own connection with
//     one error and do not affect other connections. A connection that has neither joined nor subscribed within
//     Limits.GreetingTimeout is closed without an error.
//   - Events are reported without holding Server.mu, so that their receiver may call the server. Streams are reported
//     in the order in which they were registered, so the last one reported for a proxy is the one in use. A stream that
//     is replaced by a newer one of the same proxy is not reported as disconnected: the ProxyConnected event of the
//     newer stream implies its end.
//   - Nothing that a peer sent is handled once its connection has ended, whoever ended it.
//
// Caveats: a snapshot that answers a JOIN or a RESYNC is a reply and is not paced. RESYNC is answered at most once a
// second. Updates for a proxy that is between two streams are dropped: its next stream starts from a snapshot. Messages
// to different proxies are sent in the order of the queue, but may arrive in another order.
package pubsub
