// Package platform is the controller's server on the operators' platform. Each proxy holds a stream, a collector for
// each zone brings load reports, any client may send a ping, and faulty clients may connect too.
//
// Guarantees:
//   - A connection that has not joined within Limits.GreetingTimeout is closed. When there are too many connections,
//     the oldest unauthenticated one is closed first, so that these take no place from proxies.
//   - Bytes that cannot be read end their connection. A readable message with a malformed field is counted and
//     dropped, and costs nothing else.
//   - The number of bytes that wait for one peer is bounded.
//   - The events of a stream are reported in order: its join before all else and its end once, also where both
//     happen at the same time.
//     Each is decided and reported while Server.mu is held.
//
// What a proxy is sent comes from internal/snapshot; this package puts it into the platform's messages. It decides
// nothing about tables.
package platform
