// Package platform implements the controller's server on the operators' platform. Each proxy holds a stream, a
// collector for each zone sends load reports, any client may send a ping, and faulty clients may connect too.
//
// Guarantees:
//   - A connection that has not joined within Limits.GreetingTimeout is closed. When there are too many connections,
//     the oldest unauthenticated one is closed first, so that unauthenticated connections do not displace proxies.
//   - Bytes that cannot be decoded end their connection. A decodable message with a malformed field is counted and
//     dropped, and has no other effect.
//   - The number of unsent bytes for one peer is bounded.
//   - The events of a stream are reported in order: its join first and its end exactly once, even if both happen at the
//     same time. Each event is decided and reported while Server.mu is held.
//
// The updates for a proxy come from internal/snapshot; this package encodes them as the platform's messages. It makes
// no decisions about tables.
package platform
