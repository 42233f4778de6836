// Package http1 parses and encodes HTTP/1.1 messages (RFC 9112), requests and responses.
//
// A Parser takes a stream in chunks of any size and examines each byte once. A head or a body beyond its Limits,
// contradictory lengths, a length beside a chunked body, and bytes that are not HTTP end in a *ProtocolError with
// the status that a server responds with. Nothing in this package does I/O.
//
// Limitations: bodies are delivered complete, except where Parser.Stream is set. Trailers are parsed and dropped.
// Upgrades, CONNECT and responses that end with their connection are rejected.
package http1
