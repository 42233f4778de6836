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

// maxEntries bounds an endpoint list: five times a deployment of 2,000 replicas.
const maxEntries = 10_000

// Keys of a service's metadata.
const (
	metaZone      = "zone"    // the name of a zone
	metaStartedAt = "started" // RFC 3339, or milliseconds since 1970
)

// Ids of the checks by which Consul marks nodes and services in maintenance.
const (
	checkNodeMaintenance          = "_node_maintenance"
	checkServiceMaintenancePrefix = "_service_maintenance"
)

const statusCritical = "critical"

// Parse parses the body of a response. A zone is identified by its index in zones. An instance in maintenance is
// draining; one with any other critical check is gone. Instances without a usable address, in an unknown zone or
// listed twice are skipped and counted.
func Parse(body []byte, zones []string) (endpoints []model.Endpoint, skippedCount int, err error) {
	var entries []ServiceEntry
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, 0, fmt.Errorf("health endpoint response: %w", err)
	}
	if len(entries) > maxEntries {
		return nil, 0, fmt.Errorf("health endpoint response: %d entries; at most %d are accepted", len(entries), maxEntries)
	}
	seenReplicas := map[model.ReplicaID]bool{}
	for i := range entries {
		endpoint, ok := entries[i].endpoint(zones)
		if !ok || seenReplicas[endpoint.ID] {
			skippedCount++
			continue
		}
		seenReplicas[endpoint.ID] = true
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, skippedCount, nil
}

// endpoint converts an entry; ok is false if its address or zone is invalid.
func (e *ServiceEntry) endpoint(zones []string) (endpoint model.Endpoint, ok bool) {
	id, err := pubsubmsg.ParseAddress(e.address() + ":" + strconv.Itoa(e.Service.Port))
	zone := slices.Index(zones, e.Service.Meta[metaZone])
	if err != nil || zone < 0 {
		return model.Endpoint{}, false
	}
	return model.Endpoint{
		ID:        id,
		Zone:      zone,
		Status:    statusOf(e.Checks),
		StartedAt: parseStartTime(e.Service.Meta[metaStartedAt]),
	}, true
}

// statusOf derives an instance's status from its checks. Maintenance takes precedence over critical checks.
func statusOf(checks []Check) model.EndpointStatus {
	status := model.EndpointReady
	for _, check := range checks {
		if check.isMaintenance() {
			return model.EndpointDraining
		}
		if check.Status == statusCritical {
			status = model.EndpointGone
		}
	}
	return status
}

func (c Check) isMaintenance() bool {
	return c.CheckID == checkNodeMaintenance || strings.HasPrefix(c.CheckID, checkServiceMaintenancePrefix)
}

// parseStartTime returns a start time since 1970, or 0 (long ago) if the text is neither RFC 3339 nor a positive
// number of milliseconds.
func parseStartTime(text string) model.Microseconds {
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err == nil && milliseconds > 0 {
		return model.Microseconds(milliseconds) * model.Millisecond
	}
	startedAt, err := time.Parse(time.RFC3339Nano, text)
	if err == nil {
		return model.Microseconds(startedAt.UnixMicro())
	}
	return 0
}
