// Package listwire is the machine list on the wire: the JSON of Consul's health endpoint, as its HTTP interface is
// published, read into plain listings. Nothing here does I/O.
package consulcatalog

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// Entry is what is read and written of one entry of /v1/health/service/NAME.
type Entry struct {
	Node    Node    `json:"Node"`
	Service Service `json:"Service"`
	Checks  []Check `json:"Checks"`
}

// Node is the machine of an entry.
type Node struct {
	Node    string `json:"Node"`
	Address string `json:"Address"`
}

// Service is the process of an entry.
type Service struct {
	ID      string            `json:"ID"`
	Service string            `json:"Service"`
	Address string            `json:"Address"`
	Port    int               `json:"Port"`
	Meta    map[string]string `json:"Meta"`
}

// Check is one health check of an entry.
type Check struct {
	Node    string `json:"Node"`
	CheckID string `json:"CheckID"`
	Name    string `json:"Name"`
	Status  string `json:"Status"`
}

// entriesMost bounds a list; a deployment of 2,000 replicas fits five times.
const entriesMost = 10_000

// Parse reads the body of Consul's health endpoint. Meta keys: zone (a name), started (RFC 3339 or
// milliseconds since 1970). A maintenance check is draining; any other critical check is a process that does
// not run. skipped counts entries that cannot be read.
func Parse(body []byte, zones []string) (entries []model.Endpoint, skipped int, err error) {
	var all []Entry
	if err := json.Unmarshal(body, &all); err != nil {
		return nil, 0, fmt.Errorf("machine list: %w", err)
	}
	if len(all) > entriesMost {
		return nil, 0, fmt.Errorf("machine list: %d entries, %d are taken", len(all), entriesMost)
	}
	seen := map[model.ReplicaID]bool{}
	for _, e := range all {
		address := e.Service.Address
		if address == "" {
			address = e.Node.Address
		}
		id, err := pubsubmsg.ParseAddress(address + ":" + strconv.Itoa(e.Service.Port))
		zone := slices.Index(zones, e.Service.Meta["zone"])
		if err != nil || zone < 0 || seen[id] {
			skipped++
			continue
		}
		seen[id] = true
		l := model.Endpoint{ID: id, Zone: zone, Status: model.EndpointReady, StartedAt: started(e.Service.Meta["started"])}
		for _, c := range e.Checks {
			switch {
			case c.CheckID == "_node_maintenance" || strings.HasPrefix(c.CheckID, "_service_maintenance"):
				l.Status = model.EndpointDraining
			case c.Status == "critical" && l.Status == model.EndpointReady:
				l.Status = model.EndpointGone
			}
		}
		entries = append(entries, l)
	}
	return entries, skipped, nil
}

// started reads a start time in microseconds since 1970; 0, long ago, if it says none.
func started(text string) model.Microseconds {
	if ms, err := strconv.ParseInt(text, 10, 64); err == nil && ms > 0 {
		return model.Microseconds(ms) * model.Millisecond
	}
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return model.Microseconds(at.UnixMicro())
	}
	return 0
}
