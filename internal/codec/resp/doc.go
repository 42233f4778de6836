// Package resp reads and writes RESP3, the published serialisation protocol of Redis, in its client and server
// directions.
//
// Guarantees: a Reader takes bytes in pieces of any size, does work in proportion to the bytes that it was
// given, and keeps no more of them than Limits say; bytes that are no RESP end in one *Fault that names the
// place in the stream and the cause, and a Reader that faulted takes nothing more. Nothing here does I/O.
//
// Caveats: the streamed forms of RESP3 (lengths given as '?') and inline commands are turned down. Attributes
// are read and dropped. A big number is handed over as its text. Doubles are written in the shortest form that
// reads back the same.
//
// Source: the RESP3 specification, as published with the Redis documentation.
package resp
