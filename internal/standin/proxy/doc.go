// Package proxy is a stand-in for a plain proxy: it obeys its tables to the letter and judges nothing itself. It joins
// an instance over the publish-subscribe channel, keeps what it holds when the stream breaks and dials again, another
// instance if need be; it sends requests to replicas over HTTP/1.1 and its load reports to the instance each period.
//
// Its side of the channel: stream.go the connection, messages.go table messages, report.go load reports. Its side of
// the replicas: table.go what it holds and how it picks, request.go requests and attempts, connection.go connections.
package proxy
