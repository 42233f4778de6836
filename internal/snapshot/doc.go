// Package snapshot keeps the state that a controller has published and what each subscribed proxy has been sent of it:
// batches of updates go in, one message for each proxy concerned comes out. It does no I/O; package pubsub sends the
// messages over RESP3, package platform over the operators' platform protocol.
//
// A State and all that it returns belong to one goroutine at a time.
package snapshot
