package invariants

import (
	"peppervale/internal/codec/consulcatalog"
	"peppervale/internal/model"
)

// endpointsSent records an endpoint list that was sent to an instance. A list that cannot be parsed is ignored, as the
// instance ignores it too.
func (c *checker) endpointsSent(list EndpointsSent) {
	endpoints, _, err := consulcatalog.Parse(list.Body, c.limits.Zones)
	if err != nil {
		return
	}
	instance := c.instance(list.Instance)
	// The list may change instance.warmListedFrom, so the periods without a usable entry are checked up to now first.
	for _, name := range c.proxyOrder {
		if p := c.proxies[name]; p.instance == instance {
			c.checkEmptyPeriod(p, list.At)
		}
	}
	ready, warmFrom := instance.readyEndpoints(endpoints, list.At, c.limits.WarmUpPeriod)
	for id := range instance.everListed {
		if _, known := instance.drainNotifiedAt[id]; !known && !ready[id] {
			instance.drainNotifiedAt[id] = list.At
		}
	}
	if warmFrom > list.At || instance.warmListedFrom > list.At {
		instance.warmListedFrom = warmFrom
	}
}

// readyEndpoints records the listed replicas and their start times, and removes the drain notifications of the ready
// replicas. It returns the ready replicas and the earliest time from now on at which one of them is warm.
func (i *instanceState) readyEndpoints(
	endpoints []model.Endpoint, now, warmUp model.Microseconds,
) (ready map[model.ReplicaID]bool, warmFrom model.Microseconds) {
	ready = map[model.ReplicaID]bool{}
	warmFrom = never
	for _, endpoint := range endpoints {
		i.everListed[endpoint.ID] = true
		if endpoint.Status != model.EndpointReady {
			continue
		}
		ready[endpoint.ID] = true
		warmFrom = min(warmFrom, max(now, endpoint.StartedAt+warmUp))
		delete(i.drainNotifiedAt, endpoint.ID)
		if endpoint.StartedAt > 0 && i.newestStartAt[endpoint.ID] != endpoint.StartedAt {
			i.newestStartAt[endpoint.ID] = endpoint.StartedAt
			i.startNotifiedAt[endpoint.ID] = now
		}
	}
	return ready, warmFrom
}
