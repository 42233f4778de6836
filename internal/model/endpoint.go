package model

// Endpoint is an entry of the endpoint list. It is stored as JSON; its tags are names in stored data and must not
// change.
type Endpoint struct {
	ID        ReplicaID      `json:"ID"`
	Zone      int            `json:"Zone"` // index of its zone in the configuration
	Status    EndpointStatus `json:"Life"`
	StartedAt Microseconds   `json:"Since"` // when it last started, by its own wall clock; 0: long ago
}

// EndpointStatus is what the endpoint list says of a replica. Its numbers stand in stored data.
type EndpointStatus uint8

// The statuses of an endpoint.
const (
	EndpointGone     EndpointStatus = iota // removed; appears in changes only
	EndpointReady                          // takes requests
	EndpointDraining                       // finishes its requests and takes no new ones
)

// EndpointUpdate is the kind of an event of endpoint discovery.
type EndpointUpdate uint8

// The kinds of an endpoint event.
const (
	FullList       EndpointUpdate = iota // the complete list: a replica that it does not name is gone
	ChangedEntries                       // entries that have changed; the others stay
	CachedList                           // the complete list as last known, perhaps out of date
	PollFailed                           // a call failed or the subscription broke; no entries, and the list stays
)
