// Package proxy is a stand-in for a plain proxy: it applies published tables unchanged and computes no weights itself.
// It joins an instance over the publish-subscribe channel. When the stream breaks it keeps its table and reconnects, to
// another instance if necessary. It sends requests to replicas over HTTP/1.1, and load reports to its instance once per
// report period.
//
// Files of the channel: stream.go handles the connection to the instance, messages.go table messages, report.go load
// reports. Files of the requests: table.go holds the table and picks replicas, request.go handles requests and
// attempts, connection.go the connections to replicas.
package proxy
