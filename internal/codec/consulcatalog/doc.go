// Package consulcatalog parses the response of the health endpoint of Consul's HTTP API into an endpoint list.
// Nothing in this package does I/O.
package consulcatalog
