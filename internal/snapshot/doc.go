// Package snapshot keeps the state that a controller has published, and how much of it each subscribed proxy has been
// sent. It turns each batch of updates into one message for each affected proxy. It does no I/O: package pubsub sends
// the messages over RESP3, package platform over the operators' platform protocol.
//
// A State and the values that it returns belong to one goroutine at a time.
package snapshot
