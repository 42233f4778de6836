package discovery

import (
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// endpointCache is the endpoint list as of the last watch event.
type endpointCache struct {
	zones   []string
	names   *platformmsg.ReplicaNames
	log     zerolog.Logger
	entries map[string]platformmsg.Endpoint // by name
	version uint64                          // of the list; 0: the next watch requests the complete list
}

// merge applies a watch event, which is a complete list or a list of changed entries.
func (c *endpointCache) merge(list *platformmsg.EndpointList) {
	if list.Full {
		clear(c.entries)
	}
	skipped := list.SkippedCount
	for _, endpoint := range list.Endpoints {
		if !c.registerIfUsable(endpoint) {
			skipped++
			continue
		}
		if endpoint.Status == model.EndpointGone {
			delete(c.entries, endpoint.Name)
		} else {
			c.entries[endpoint.Name] = endpoint
		}
	}
	c.version = list.Version
	if skipped > 0 {
		c.log.Warn().Int("entries", skipped).Msg("endpoint list entries skipped: no usable name, zone or health")
	}
}

// registerIfUsable registers the replica of an entry. It reports whether the entry is usable: its zone is known and its
// name can be registered.
func (c *endpointCache) registerIfUsable(endpoint platformmsg.Endpoint) bool {
	if !slices.Contains(c.zones, endpoint.Zone) {
		return false
	}
	_, ok := c.names.Register(endpoint.Name)
	return ok
}

// endpoints returns the cached list, ordered by name.
func (c *endpointCache) endpoints() []model.Endpoint {
	var endpoints []model.Endpoint
	for _, name := range slices.Sorted(maps.Keys(c.entries)) {
		entry := c.entries[name]
		id, _ := c.names.ID(name)
		endpoints = append(endpoints, model.Endpoint{
			ID:        id,
			Zone:      slices.Index(c.zones, entry.Zone),
			Status:    entry.Status,
			StartedAt: entry.StartedAt,
		})
	}
	return endpoints
}
