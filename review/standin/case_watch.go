package main

import (
	"fmt"
	"sync"
	"time"
)

// caseWatchEnd: the connection of a watch ends right after its first object. Later a replica drains.
func caseWatchEnd(w *world) bool {
	const (
		troubleFor = 4 * time.Second
		drainAt    = 8 * time.Second
		mustAsk    = 40 * time.Second // must_ask_in, four times as long after a failed call
		grace      = 2500*time.Millisecond + 300*time.Millisecond
		observe    = 8 * time.Second
		drained    = "s-00"
	)
	d := glasgow(8)
	var hosts []host
	standing := map[string][]string{}
	for i := range 16 {
		site := d.zones[i%4]
		h := host{Host: fmt.Sprintf("s-%02d", i), Dial: fmt.Sprintf("127.0.0.1:%d", 9000+i), Site: site, Class: "two-core",
			Block: i % 4, Health: "ready", Share: 1}
		hosts = append(hosts, h)
		standing[site] = append(standing[site], h.Host)
	}
	lists := newDiscovery(w, hosts)
	known := lists.known()
	lists.change(host{Host: "s-16", Dial: "127.0.0.1:9016", Site: "govan", Class: "two-core", Health: "ready", Share: 1})
	lists.setEndsAtOne(w.trouble)
	listen := freeAddress()
	g := w.startGovernor("n0", listen, lists.address, d.config("n0", listen, lists.address, known))
	defer g.end()

	f := newFleet(w, []string{"recipe-read", "batch-log"}, 115*time.Millisecond, time.Second)
	f.refuses = lists.isGone
	for i := range 8 {
		site := d.zones[i%4]
		f.add(i, site, 19, standing[site])
	}
	var mu sync.Mutex
	var toldAt time.Time
	late, sentAfterTold := 0, 0
	f.onSend = func(p *proxy, class, replica string, at time.Time) {
		if replica != drained {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if toldAt.IsZero() {
			return
		}
		sentAfterTold++
		if at.Sub(toldAt) > grace {
			late++
			if late <= 20 {
				w.logf("BROKEN: proxy %d sends %s to %s, %.1f s after the instance counts as told", p.id, class, replica,
					at.Sub(toldAt).Seconds())
			}
		}
	}
	for _, p := range f.proxies {
		p.join(listen)
	}
	f.run(listen, d.zones)
	defer f.stop()

	started := time.Now()
	time.Sleep(time.Until(started.Add(troubleFor)))
	lists.setEndsAtOne(false)
	w.logf("discovery: from now on no connection is ended")
	time.Sleep(time.Until(started.Add(drainAt)))
	h := lists.get(drained)
	h.Health = "draining"
	lists.change(h)
	listedAt := time.Now()
	for time.Since(listedAt) < mustAsk {
		time.Sleep(20 * time.Millisecond)
		lists.mu.Lock()
		written := lists.told[drained]
		lists.mu.Unlock()
		if !written.IsZero() {
			w.logf("the instance was told by discovery %.2f s after the change was listed", written.Sub(listedAt).Seconds())
			mu.Lock()
			toldAt = written
			mu.Unlock()
			break
		}
	}
	mu.Lock()
	if toldAt.IsZero() {
		toldAt = time.Now()
		w.logf("the instance has not asked for %.0f s and counts as told", mustAsk.Seconds())
	}
	mu.Unlock()
	time.Sleep(grace + observe)
	mu.Lock()
	defer mu.Unlock()
	w.logf("attempts at the draining replica after the instance was told: %d, of them after the grace: %d; calls to discovery: %d",
		sentAfterTold, late, lists.calls)
	return late == 0
}
