package model

// Endpoint is an entry of the endpoint list. It is stored as JSON; its tags are names in stored data and must not
// change.
type Endpoint struct {
	ID        ReplicaID      `json:"ID"`
	Zone      int            `json:"Zone"` // index of its zone in the configuration
	Status    EndpointStatus `json:"Life"`
	StartedAt Microseconds   `json:"Since"` // time of its last start, by its own wall clock; 0: long ago
}

// EndpointStatus is the status of a replica in the endpoint list. Its numbers are used in stored data.
type EndpointStatus uint8

// The statuses of an endpoint.
const (
	EndpointGone     EndpointStatus = iota // removed; occurs in changes only
	EndpointReady                          // accepts requests
	EndpointDraining                       // finishes its requests and accepts no new ones
)

// EndpointUpdate is the kind of an event of endpoint discovery.
type EndpointUpdate uint8

// The kinds of an endpoint event.
const (
	FullList       EndpointUpdate = iota // the complete list: a replica that is not in it is gone
	ChangedEntries                       // the changed entries; all other entries stay
	CachedList                           // the last known complete list, which may be out of date
	PollFailed                           // a request failed or the subscription broke; the list stays as it is
)
