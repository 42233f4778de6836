// Package console serves the web pages of one controller: its state, the tables that it has published to proxies, and
// the reasons for them. The pages are read-only; requests other than GET and HEAD are rejected.
//
// A page is rendered from one immutable view and never waits for the event loop, so that it stays available while the
// controller is overloaded. It states the age of the view. The pages in progress and the live streams are bounded, and
// each has a write deadline, so that a viewer who does not read occupies one goroutine for some seconds and nothing
// else. Names that peers send are escaped by html/template. Every page is also available as JSON, by ?as=json or the
// Accept header. Programs read the JSON: its keys and values must not change.
//
// There is no authentication: the console listens on the configured address, on loopback by default. The time series
// cover 15 minutes; the decision log reaches back as far as that of its source.
//
// Each page has a file of its own: overview.go, replicas.go, proxies.go, tables.go, zones.go, decisions.go,
// settings.go, previous.go and cluster.go, with its template in templates/.
package console
