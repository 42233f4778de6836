// Package console serves the web pages of one controller: its state, the tables that it has published to proxies, and
// the reasons for them. The pages are read-only; requests other than GET and HEAD are rejected.
//
// A page is rendered from one immutable view and states the age of that view. The page waits at most 0.5 s for the
// event loop to add recent details, and then uses the newest view, so that it stays available while the controller is
// overloaded. The pages in progress and the live streams are bounded, and each write has a deadline: a viewer who does
// not read is disconnected at the deadline, and occupies one goroutine until then. Names that peers send are escaped by
// html/template. Every page is also available as JSON, by ?as=json or the Accept header. Programs read the JSON: its
// keys and values must not change.
//
// There is no authentication: the console listens on the configured address, on loopback by default. The time series
// cover 15 minutes; the decision log shows the decisions that the Source still has.
//
// Each page has a file of its own: overview.go, replicas.go, proxies.go, tables.go, zones.go, decisions.go,
// settings.go, previous.go and cluster.go, with its template in templates/.
package console
