// Package proxy is a stand-in for a plain proxy: it applies its tables as they are and decides nothing itself. It
// joins an instance over the publish-subscribe channel. When the stream breaks it keeps its table and connects again,
// to another instance if necessary. It sends requests to replicas over HTTP/1.1, and load reports to its instance once
// per report period.
//
// Its side of the channel: stream.go the connection, messages.go table messages, report.go load reports. Its side of
// the replicas: table.go what it holds and how it picks, request.go requests and attempts, connection.go connections.
package proxy
