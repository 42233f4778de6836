// Package discovery follows an endpoint list and hands it to a receiver as complete lists, or as a failed poll.
//
// There are two clients: ConsulClient polls Consul's health endpoint with blocking queries, by its published HTTP
// interface (consul.go); Watcher keeps a watch of the operators' platform open (watch.go). Both are driven by one
// poller (poller.go) and make their calls through one HTTP client (call.go).
//
// Guarantees: one call is in flight at a time. A poll that fails, times out, or brings what cannot be parsed is
// reported once as model.PollFailed and ends the subscription until Subscribe is called again. A list is handed over
// completely or not at all. The size of an answer is bounded.
//
// Limits: an entry that cannot be used (no IPv4 address, an unknown zone) is skipped and counted in the log; the list
// does not fail for it.
package discovery

import "peppervale/internal/model"

// Receiver takes what a client receives. It is called from the client's goroutines, one call at a time, must not
// block and must not close the client; the endpoints are the receiver's own.
type Receiver interface {
	// EndpointsChanged takes a complete endpoint list (model.FullList), or none with model.PollFailed.
	EndpointsChanged(update model.EndpointUpdate, endpoints []model.Endpoint)
}
