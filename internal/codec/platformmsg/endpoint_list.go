package platformmsg

import (
	"encoding/json"
	"errors"
	"fmt"

	"peppervale/internal/model"
)

const (
	// maxEndpoints bounds the entries of an endpoint list.
	maxEndpoints = 10_000

	// maxEndpointNameLength bounds the names of replicas and zones in a list, in bytes.
	maxEndpointNameLength = 200

	// maxStartMilliseconds bounds the start time of a replica, in milliseconds since 1970.
	maxStartMilliseconds = 1e14
)

// EndpointList is a response of discovery, or one object of an endpoint watch.
type EndpointList struct {
	Version      uint64
	Full         bool // Endpoints has all endpoints, not only the changed ones
	Endpoints    []Endpoint
	SkippedCount int // number of invalid entries
}

// Endpoint is a replica in an endpoint list.
type Endpoint struct {
	Name      string
	Zone      string
	Status    model.EndpointStatus
	StartedAt model.Microseconds // time of the last start, since 1970; 0: long ago
}

var endpointStatuses = map[string]model.EndpointStatus{
	"ready":    model.EndpointReady,
	"draining": model.EndpointDraining,
	"gone":     model.EndpointGone,
}

var errNoVersion = errors.New("list: no seq")

type listObject struct {
	Version *uint64      `json:"seq"`
	Full    bool         `json:"whole"`
	Hosts   []hostObject `json:"hosts"`
}

// hostObject is an entry of a list. Keys match in any case; decoding errors show them as they are written here.
type hostObject struct {
	Name                string  `json:"Host"`
	Zone                string  `json:"Site"`
	Status              string  `json:"Health"`
	StartedMilliseconds float64 `json:"born_ms"`
}

// ParseEndpointList parses the JSON of discovery. Invalid entries are skipped and counted; they do not make the list
// invalid.
func ParseEndpointList(text []byte) (*EndpointList, error) {
	var object listObject
	if err := json.Unmarshal(text, &object); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if object.Version == nil {
		return nil, errNoVersion
	}
	if len(object.Hosts) > maxEndpoints {
		return nil, fmt.Errorf("list: %d entries; at most %d are accepted", len(object.Hosts), maxEndpoints)
	}
	list := &EndpointList{Version: *object.Version, Full: object.Full}
	for _, host := range object.Hosts {
		endpoint, ok := host.endpoint()
		if !ok {
			list.SkippedCount++
			continue
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// endpoint converts an entry; ok is false if the entry is invalid.
func (h hostObject) endpoint() (endpoint Endpoint, ok bool) {
	status, known := endpointStatuses[h.Status]
	nameOK := h.Name != "" && len(h.Name) <= maxEndpointNameLength
	zoneOK := len(h.Zone) <= maxEndpointNameLength
	startOK := h.StartedMilliseconds >= 0 && h.StartedMilliseconds <= maxStartMilliseconds
	if !known || !nameOK || !zoneOK || !startOK {
		return Endpoint{}, false
	}
	return Endpoint{
		Name:      h.Name,
		Zone:      h.Zone,
		Status:    status,
		StartedAt: model.Microseconds(h.StartedMilliseconds * float64(model.Millisecond)),
	}, true
}
