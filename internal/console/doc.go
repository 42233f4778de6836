// Package console serves the web pages of one controller: what it knows, what it has published to whom, and why. The
// pages are read-only; requests other than GET and HEAD are rejected.
//
// A page is made from one immutable view and never waits for the event loop, so that it stays readable while the
// controller is overloaded; it states the age of the view. The pages in progress and the live streams are bounded,
// and each has a write deadline, so that a viewer who does not read costs a goroutine for some seconds and nothing
// else. Names from outside are escaped by html/template. Every page is also available as JSON, by ?as=json or the
// Accept header; its keys and values are an interface and stay as they are.
//
// There is no login: the console listens where the configuration says, on loopback by default. The time series go
// back 15 minutes; the decision log goes back as far as its source does.
//
// Each page has a file of its own: overview.go, replicas.go, proxies.go, tables.go, zones.go, decisions.go,
// settings.go, previous.go and cluster.go, with its template in templates/.
package console
