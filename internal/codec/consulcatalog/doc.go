// Package consulcatalog parses the answer of Consul's health endpoint, as documented for its HTTP API, into an
// endpoint list. Nothing in this package does I/O.
package consulcatalog
