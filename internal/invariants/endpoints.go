package invariants

import (
	"peppervale/internal/codec/consulcatalog"
	"peppervale/internal/model"
)

// endpointsSent takes in an endpoint list that an instance was sent. A list that cannot be read tells it nothing.
func (c *checker) endpointsSent(list EndpointsSent) {
	endpoints, _, err := consulcatalog.Parse(list.Body, c.limits.Zones)
	if err != nil {
		return
	}
	instance := c.instance(list.Instance)
	// What counts as warm is about to change: spells are counted up to now by what was listed so far.
	for _, name := range c.proxyOrder {
		if p := c.proxies[name]; p.instance == instance {
			c.checkEmptySpell(p, list.At)
		}
	}
	ready, warmFrom := instance.readyEndpoints(endpoints, list.At, c.limits.WarmUpPeriod)
	for id := range instance.listed {
		if _, known := instance.goneAt[id]; !known && !ready[id] {
			instance.goneAt[id] = list.At
		}
	}
	if warmFrom > list.At || instance.warmFrom > list.At {
		instance.warmFrom = warmFrom
	}
}

// readyEndpoints notes which replicas are listed as ready and when they started. It gives them, and the time from which
// one of them is warm.
func (i *instanceState) readyEndpoints(
	endpoints []model.Endpoint, now, warmUp model.Microseconds,
) (ready map[model.ReplicaID]bool, warmFrom model.Microseconds) {
	ready = map[model.ReplicaID]bool{}
	warmFrom = never
	for _, endpoint := range endpoints {
		i.listed[endpoint.ID] = true
		if endpoint.Status != model.EndpointReady {
			continue
		}
		ready[endpoint.ID] = true
		warmFrom = min(warmFrom, max(now, endpoint.StartedAt+warmUp))
		delete(i.goneAt, endpoint.ID)
		if endpoint.StartedAt > 0 && i.startedAt[endpoint.ID] != endpoint.StartedAt {
			i.startedAt[endpoint.ID] = endpoint.StartedAt
			i.startSeen[endpoint.ID] = now
		}
	}
	return ready, warmFrom
}
