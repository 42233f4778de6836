package main

import (
	"fmt"
	"sync"
	"time"
)

// bareRule checks that no joined proxy is left without a replica: for longer than the limit it has had nothing to pick
// for an operation, while the instance's list shows an open replica as ready that is no longer cold.
type bareRule struct {
	w     *world
	f     *fleet
	lists *discovery
	local string // the operation that stays in the proxy's hall
	limit time.Duration
	cold  time.Duration

	mu       sync.Mutex
	answered time.Time // when the instance first answered since its start
	broken   int
	refused  int // requests that found nothing to pick
	longest  time.Duration
	reported map[string]bool
}

func newBareRule(w *world, f *fleet, lists *discovery, local string) *bareRule {
	rule := &bareRule{
		w: w, f: f, lists: lists, local: local, limit: 2600*time.Millisecond + 300*time.Millisecond, cold: 17 * time.Second,
		answered: time.Now(), reported: map[string]bool{},
	}
	f.onTick = rule.tick
	f.onSend = func(p *proxy, class, replica string, at time.Time) {
		if replica == "" {
			rule.mu.Lock()
			rule.refused++
			rule.mu.Unlock()
		}
	}
	return rule
}

// restarted notes that the instance has started anew and answers.
func (r *bareRule) restarted() {
	r.mu.Lock()
	r.answered = time.Now()
	r.mu.Unlock()
}

// warmReady returns a replica that the instance was told is ready, open to the operation and no longer cold.
func (r *bareRule) warmReady(p *proxy, class string, at time.Time) string {
	r.lists.mu.Lock()
	defer r.lists.mu.Unlock()
	for _, name := range r.lists.order {
		h := r.lists.hosts[name]
		_, changed := r.lists.listedAt[name]
		_, told := r.lists.told[name]
		open := class != r.local || h.Site == p.site
		warm := at.Sub(time.UnixMilli(h.Born)) >= r.cold
		if open && warm && h.Health == "ready" && (told || !changed) {
			return name
		}
	}
	return ""
}

func (r *bareRule) tick(p *proxy, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, class := range r.f.classes {
		replica := r.warmReady(p, class, at)
		excused := p.away || replica == "" || at.Sub(r.answered) < time.Second
		if excused || len(p.lines(class)) > 0 {
			delete(p.bareFrom, class)
			continue
		}
		from, known := p.bareFrom[class]
		if !known {
			p.bareFrom[class] = at
			r.w.logf("proxy %d has nothing to pick for %s; %s is ready and warm; table %v, shut out %v", p.id, class, replica,
				keys(p.tables[class]), keys(p.out))
			continue
		}
		r.longest = max(r.longest, at.Sub(from))
		key := fmt.Sprint(p.id, class)
		if at.Sub(from) > r.limit && !r.reported[key] {
			r.reported[key] = true
			r.broken++
			r.w.logf("BROKEN: proxy %d has had nothing to pick for %s for %.2f s; %s is ready and warm; table %v, shut out %v",
				p.id, class, at.Sub(from).Seconds(), replica, keys(p.tables[class]), keys(p.out))
		}
	}
}

// held reports whether the rule held, and records the figures.
func (r *bareRule) held() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.logf("proxies and operations without a replica for too long: %d, longest %.2f s; requests that found nothing to pick: %d",
		r.broken, r.longest.Seconds(), r.refused)
	return r.broken == 0
}

// halls returns sixteen replicas in the four halls, and their names by hall.
func halls(zones []string) (hosts []host, standing map[string][]string) {
	standing = map[string][]string{}
	for i := range 16 {
		site := zones[i/4]
		name := fmt.Sprintf("%s-%d", site, i%4)
		hosts = append(hosts, host{Host: name, Dial: fmt.Sprintf("127.0.0.1:%d", 9000+i), Site: site, Class: "two-core",
			Block: i / 4, Health: "ready", Share: 1})
		standing[site] = append(standing[site], name)
	}
	return hosts, standing
}

// release replaces replicas one after the other: each drains, is gone and comes back cold under its name.
func release(lists *discovery, started time.Time, first, every time.Duration, names ...string) {
	const (
		goneAfter = 2 * time.Second
		backAfter = 5 * time.Second
	)
	for i, name := range names {
		from := started.Add(first + time.Duration(i)*every)
		h := lists.get(name)
		time.Sleep(time.Until(from))
		h.Health = "draining"
		lists.change(h)
		time.Sleep(time.Until(from.Add(goneAfter)))
		h.Health = "gone"
		lists.change(h)
		time.Sleep(time.Until(from.Add(backAfter)))
		h.Health = "ready"
		h.Born = time.Now().UnixMilli()
		lists.change(h)
	}
}
