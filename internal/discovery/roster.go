// Package roster follows a machine list and hands it to a governor as whole lists, or as a failed call.
//
// Of the lists there are, Consul's health endpoint is spoken here (consul.go), by its published HTTP interface with
// blocking queries. A second kind needs Follow and Close and the same Receiver.
//
// Guarantees: one call is out at a time; a call that fails, times out, or brings what cannot be read is told once
// as fleet.Failed and ends the subscription until Follow is called again; nothing is handed over in part. The
// answer's size and the number of entries are bounded.
//
// Caveats: an entry that cannot be read (no IPv4 address, an unknown zone) is left out and counted in the log; the
// list does not fail for it.
package discovery

import "peppervale/internal/model"

// Receiver takes the news; governor.Host is the real one.
type Receiver interface {
	EndpointsChanged(scope model.EndpointUpdate, entries []model.Endpoint)
}
