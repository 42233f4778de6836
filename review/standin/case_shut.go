package main

import (
	"syscall"
	"time"
)

// caseShutOut: half of the replicas are replaced in steps. The disruption is that the instance is restarted meanwhile
// with SIGTERM. One operation stays in the proxy's hall.
func caseShutOut(w *world) bool {
	const (
		firstStep = 4 * time.Second
		stepEvery = 6 * time.Second
		restartAt = 22 * time.Second
		killAfter = 700 * time.Millisecond
		redial    = 250 * time.Millisecond
		endAt     = 58 * time.Second
		local     = "batch-log"
	)
	d := glasgow(8)
	d.extra["class_own_zone"] = []bool{false, true}
	hosts, standing := halls(d.zones)
	lists := newDiscovery(w, hosts)
	listen := freeAddress()
	g := w.startGovernor("n0", listen, lists.address, d.config("n0", listen, lists.address, lists.known()))
	defer func() { g.end() }()
	f := newFleet(w, []string{"recipe-read", local}, 115*time.Millisecond, time.Second)
	for i := range 8 {
		site := d.zones[i/2]
		f.add(i, site, 19, standing[site])
	}
	rule := newBareRule(w, f, lists, local)
	for _, p := range f.proxies {
		p.join(listen)
	}
	f.run(listen, d.zones)
	defer f.stop()

	started := time.Now()
	released := make(chan struct{})
	go func() {
		defer close(released)
		release(lists, started, firstStep, stepEvery, "govan-0", "govan-1", "govan-2", "springburn-0", "govan-3",
			"springburn-1", "springburn-2", "springburn-3")
	}()
	if w.trouble {
		time.Sleep(time.Until(started.Add(restartAt)))
		g.signal(syscall.SIGTERM)
		time.Sleep(killAfter)
		g.end()
		g = w.startGovernor("n0", listen, lists.address, d.config("n0", listen, lists.address, lists.known()))
		rule.restarted()
		time.Sleep(redial)
		for _, p := range f.proxies {
			p.join(listen)
		}
	}
	<-released
	time.Sleep(time.Until(started.Add(endAt)))
	return rule.held()
}
