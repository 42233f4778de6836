// Package resp encodes and decodes RESP3, the serialization protocol of Redis, for clients and servers alike.
//
// A Reader decodes a stream that arrives in chunks of any size. Its work is proportional to the number of bytes, and it
// buffers no more bytes than its Limits allow. For a malformed stream, or a stream that exceeds a limit, it returns a
// *ProtocolError with the offset and the reason; the Reader accepts no further data after that. The Append
// functions encode values. Nothing in this package does I/O.
//
// Limitations: streamed strings and aggregates (a length of '?') and inline commands are rejected. Attributes are
// decoded and dropped. A big number is delivered as its text. Doubles are encoded in the shortest form that decodes
// to the same value.
//
// Reference: the RESP3 specification in the Redis documentation.
package resp
