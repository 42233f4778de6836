package platformmsg

import (
	"encoding/json"
	"fmt"

	"peppervale/internal/model"
)

// Endpoint is a replica as discovery lists it.
type Endpoint struct {
	Name      string
	Zone      string
	Status    model.EndpointStatus
	StartedAt model.Microseconds // when it last started, since 1970; 0: long ago
}

// EndpointList is discovery's answer, or one object of a watch. Skipped counts entries that cannot be read.
type EndpointList struct {
	Version   uint64
	Full      bool // all there are; else those that changed
	Endpoints []Endpoint
	Skipped   int
}

// entriesMost bounds a list, nameMost a name in it.
const (
	entriesMost = 10_000
	nameMost    = 200
)

var lives = map[string]model.EndpointStatus{"ready": model.EndpointReady, "draining": model.EndpointDraining, "gone": model.EndpointGone}

// ParseEndpointList reads the JSON of discovery. An entry without a usable name or health is skipped; the list does not fail for it.
func ParseEndpointList(text []byte) (*EndpointList, error) {
	var o struct {
		Seq   *uint64 `json:"seq"`
		Whole bool    `json:"whole"`
		Hosts []struct {
			// Keys are matched without regard to case; the upper case is what a decoding error shows.
			Host   string  `json:"Host"`
			Site   string  `json:"Site"`
			Health string  `json:"Health"`
			Born   float64 `json:"born_ms"`
		} `json:"hosts"`
	}
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if o.Seq == nil {
		return nil, fmt.Errorf("list: no seq")
	}
	if len(o.Hosts) > entriesMost {
		return nil, fmt.Errorf("list: %d entries, %d are taken", len(o.Hosts), entriesMost)
	}
	l := &EndpointList{Version: *o.Seq, Full: o.Whole}
	for _, h := range o.Hosts {
		life, known := lives[h.Health]
		if !known || h.Host == "" || len(h.Host) > nameMost || len(h.Site) > nameMost || !(h.Born >= 0) || h.Born > 1e14 {
			l.Skipped++
			continue
		}
		l.Endpoints = append(l.Endpoints, Endpoint{h.Host, h.Site, life, model.Microseconds(h.Born * float64(model.Millisecond))})
	}
	return l, nil
}
