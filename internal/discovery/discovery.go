// Package discovery follows an endpoint list and passes complete lists or poll failures to a receiver.
//
// There are two clients. ConsulClient polls Consul's health endpoint with blocking queries, using its published HTTP
// interface (consul.go). Watcher keeps a watch on the operators' platform open (watch.go). Both are built on a
// poller (poller.go) and an HTTP client (call.go).
//
// A call is one HTTP request and its response. A poll makes one call: a blocking query of ConsulClient, or a watch of
// Watcher, which lasts until its response ends. A subscription makes one poll after another until one fails.
//
// Guarantees: a client has one call in flight at a time. A poll that fails, times out, or returns data that cannot be
// parsed is reported once as model.PollFailed and ends the subscription. The next subscription begins when Subscribe is
// called or the address of the Watcher changes. The end of a live watch and the unanswered call after it are not
// failures (see maxWatchRetries). A list is passed to the receiver completely or not at all. The size of a response is
// limited.
//
// Limits: an unusable entry (without an IPv4 address, or in an unknown zone) is skipped and counted in the log; the
// other entries are used.
package discovery

import "peppervale/internal/model"

// Receiver is notified of endpoint updates. A client calls it from its own goroutines, one call at a time. The receiver
// must not block and must not close the client; it may keep and change the endpoints.
type Receiver interface {
	// EndpointsChanged reports a complete endpoint list (model.FullList), or a failed poll without a list
	// (model.PollFailed).
	EndpointsChanged(update model.EndpointUpdate, endpoints []model.Endpoint)
}
