// Package platform implements the controller's server on the operators' platform. Each proxy holds a stream, a
// collector for each zone sends load reports, any client may send a ping, and faulty clients may connect too.
//
// Guarantees:
//   - A connection that has not joined within Limits.GreetingTimeout is closed. When there are too many connections,
//     the oldest one that has not joined is closed first, so that proxies keep their connections.
//   - Bytes that cannot be decoded end their connection. Any other invalid message of a joined connection is counted
//     and dropped, and has no other effect; only an invalid acknowledgement counts as the oldest pending one.
//   - The number of unsent bytes for one peer is bounded.
//   - The events of a stream are reported in order: its join first and its end exactly once, even if both happen at the
//     same time. Each event is decided and reported while Server.mu is held.
//
// The updates for a proxy come from internal/snapshot; this package encodes them as the platform's messages. It makes
// no decisions about tables.
package platform
