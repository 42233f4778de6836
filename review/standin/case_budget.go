package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// caseBudget: six in ten replicas are replaced within 7 s. No more than 12 messages may go to one proxy within 10 s.
// Without the disruption one replica is replaced.
func caseBudget(w *world) bool {
	const (
		proxies   = 18
		replicas  = 15
		releaseAt = 6 * time.Second
		every     = 430 * time.Millisecond
		goneAfter = 2500 * time.Millisecond // a replaced replica drains, is gone and comes back cold under its name
		backAfter = 3500 * time.Millisecond
		grace     = 1500*time.Millisecond + 300*time.Millisecond
	)
	replaced := 9
	if !w.trouble {
		replaced = 1
	}
	d := manila(proxies)
	var hosts []host
	standing := map[string][]string{}
	for i := range replicas {
		site := d.zones[i%3]
		h := host{Host: fmt.Sprintf("r-%02d", i), Dial: fmt.Sprintf("127.0.0.1:%d", 9000+i), Site: site, Class: "std-2c",
			Block: i % 3, Health: "ready", Share: 1}
		hosts = append(hosts, h)
		standing[site] = append(standing[site], h.Host)
	}
	lists := newDiscovery(w, hosts)
	listen := freeAddress()
	g := w.startGovernor("n0", listen, lists.address, d.config("n0", listen, lists.address, lists.known()))
	defer g.end()
	f := newFleet(w, []string{"balance-lookup", "payment-post"}, 200*time.Millisecond, time.Second)
	f.refuses, f.reading = lists.isGone, "busy_reqs:1"
	f.avoidAfter, f.avoidFor = 5, 5*time.Second
	for i := range proxies {
		site := d.zones[i%3]
		f.add(i, site, 7, standing[site])
	}
	rule := newDrainRule(w, f, lists, grace)
	for _, p := range f.proxies {
		time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
		p.join(listen)
	}
	f.run(listen, d.zones)
	defer f.stop()

	started := time.Now()
	var wait sync.WaitGroup
	for i := range replaced {
		wait.Go(func() {
			from := started.Add(releaseAt + time.Duration(i)*every)
			h := lists.get(hosts[i].Host)
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
		})
	}
	wait.Wait()
	time.Sleep(6 * time.Second)
	most := 0
	for _, p := range f.proxies {
		p.mu.Lock()
		most = max(most, p.most)
		p.mu.Unlock()
	}
	w.logf("most messages to one proxy within 10 s: %d, 12 are allowed", most)
	return rule.held()
}
