// Package resp encodes and decodes RESP3, the serialization protocol of Redis, for clients and servers alike.
//
// A Reader decodes a stream that arrives in chunks of any size. The work it does is proportional to the bytes it
// was given, and it buffers no more of them than its Limits allow. A malformed stream, or one beyond a limit, ends
// in a *ProtocolError that states the offset and the reason; the Reader accepts nothing after that. The Append
// functions encode values. Nothing in this package does I/O.
//
// Limitations: streamed strings and aggregates (a length of '?') and inline commands are rejected. Attributes are
// decoded and dropped. A big number is delivered as its text. Doubles are encoded in the shortest form that decodes
// to the same value.
//
// Reference: the RESP3 specification in the Redis documentation.
package resp
