package invariants

import (
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

func (c *checker) proxyStarted(event ProxyStarted) {
	proxy := &proxyState{
		name:          event.Proxy,
		running:       true,
		weights:       map[model.ReplicaID]float64{},
		withdrawn:     map[model.ReplicaID]bool{},
		holderByEpoch: map[uint64]string{},
		emptySince:    noEmptyPeriod,
	}
	for _, entry := range event.Standing {
		proxy.weights[entry.Replica] = entry.Weight
	}
	if previous := c.proxies[event.Proxy]; previous != nil {
		c.endEmptyPeriod(previous, event.At)
	} else {
		c.proxyOrder = append(c.proxyOrder, event.Proxy)
	}
	c.proxies[event.Proxy] = proxy
}

func (c *checker) proxyStopped(e ProxyStopped) {
	p := c.proxies[e.Proxy]
	if p == nil {
		return
	}
	c.endEmptyPeriod(p, e.At)
	p.running = false
	p.instance = nil
}

func (c *checker) streamChanged(event StreamChanged) {
	proxy := c.proxies[event.Proxy]
	if proxy == nil || !proxy.running {
		return
	}
	c.endEmptyPeriod(proxy, event.At)
	proxy.instance = nil
	if event.Up {
		proxy.instance = c.instance(event.Instance)
		proxy.joinedAt = event.At
		proxy.reader = resp.NewReader(resp.Limits{})
		proxy.publicationTimes = nil
	}
	c.updateEmptyPeriod(proxy, event.At)
}

func (c *checker) bytesReceived(e BytesReceived) {
	p := c.proxies[e.Proxy]
	if p == nil || p.instance == nil {
		return
	}
	// A proxy closes a stream whose RESP syntax it cannot parse, which is observed as a StreamChanged event. Like
	// valueReceived, it ignores a push that is not a valid message.
	_ = p.reader.Feed(e.Data, func(v resp.Value) error {
		c.valueReceived(p, v, e.At)
		return nil
	})
}

// valueReceived applies a message to the proxy's state, as docs/channel.md specifies. A message with an older epoch
// than an earlier message is fenced off and ignored.
func (c *checker) valueReceived(p *proxyState, v resp.Value, now model.Microseconds) {
	if !pubsubmsg.IsMessage(v) {
		return
	}
	m, err := pubsubmsg.Parse(v)
	if err != nil || m.Epoch < p.epoch {
		return
	}
	c.checkEpoch(p, m.Epoch, now)
	c.recordMessage(p, m, now)
	p.applyMessage(m)
	c.updateEmptyPeriod(p, now)
}

// checkEpoch checks that only one instance publishes to the proxy in an epoch. Epoch 0 is used by instances without
// leases and is not checked.
func (c *checker) checkEpoch(p *proxyState, epoch uint64, now model.Microseconds) {
	if epoch == 0 {
		return
	}
	previous := p.holderByEpoch[epoch]
	if previous != "" && previous != p.instance.name {
		c.results[SharedEpoch].record(violationRatio, "%s: %s was sent updates in epoch %d by %s and by %s",
			c.sinceStart(now), p.name, epoch, previous, p.instance.name)
	}
	p.epoch = epoch
	p.holderByEpoch[epoch] = p.instance.name
}

// applyMessage applies a message to the proxy's table and withdrawals. Only a snapshot of a bound proxy replaces them.
// A proxy that is not bound keeps its table.
func (p *proxyState) applyMessage(m *pubsubmsg.Message) {
	if m.Full && m.Bound {
		clear(p.weights)
		clear(p.withdrawn)
	}
	for _, entry := range m.Entries {
		if entry.Weight == 0 {
			delete(p.weights, entry.Replica)
		} else {
			p.weights[entry.Replica] = entry.Weight
		}
	}
	for _, w := range m.Withdrawals {
		if w.Withdrawn {
			p.withdrawn[w.Replica] = true
		} else {
			delete(p.withdrawn, w.Replica)
		}
	}
}

// hasUsableEntry reports whether the proxy has an entry of a replica that it may send to.
func (p *proxyState) hasUsableEntry() bool {
	for replica, weight := range p.weights {
		if weight > 0 && !p.withdrawn[replica] {
			return true
		}
	}
	return false
}

// updateEmptyPeriod starts or ends a period in which a joined proxy has no usable entry.
func (c *checker) updateEmptyPeriod(p *proxyState, now model.Microseconds) {
	if p.instance == nil || p.hasUsableEntry() {
		c.endEmptyPeriod(p, now)
		return
	}
	if p.emptySince == noEmptyPeriod {
		p.emptySince = now
	}
}

// checkEmptyPeriod checks the length up to now of a period without a usable entry. The time before a warm replica was
// listed to the proxy's instance does not count.
func (c *checker) checkEmptyPeriod(p *proxyState, now model.Microseconds) {
	if p.emptySince == noEmptyPeriod || p.instance == nil || p.instance.warmListedFrom >= now {
		return
	}
	emptyTime := now - max(p.emptySince, p.instance.warmListedFrom)
	c.results[EmptyTable].record(ratioToLimit(emptyTime, c.limits.MaxEmptyTime),
		"%s: %s, joined to %s, had no usable entry for %s, %s are allowed",
		c.sinceStart(now), p.name, p.instance.name, formatSeconds(emptyTime), formatSeconds(c.limits.MaxEmptyTime))
}

func (c *checker) endEmptyPeriod(p *proxyState, now model.Microseconds) {
	c.checkEmptyPeriod(p, now)
	p.emptySince = noEmptyPeriod
}
