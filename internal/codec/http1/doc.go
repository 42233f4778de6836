// Package http1 parses and encodes HTTP/1.1 messages (RFC 9112), requests and responses.
//
// A Parser accepts a stream in chunks of any size and examines each byte once. It returns a *ProtocolError, with the
// status code for a server's response, if the bytes are not HTTP, if a head or a body exceeds its Limits, if lengths
// contradict each other, or if a chunked message has a Content-Length field. Nothing in this package does I/O.
//
// Limitations: bodies are delivered complete, except where Parser.Stream is set. Trailers are parsed and dropped.
// Upgrades, CONNECT and responses whose body is delimited by the end of the connection are rejected.
package http1
