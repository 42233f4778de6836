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
	f.refuses = lists.isGone
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

// caseShutOutNew: replicas are replaced in steps while the instance starts, so it shuts out the newly started ones
// while it is in safe mode. The disruption is that the streams of two of eight proxies break meanwhile; they hold
// nothing but their standing tables, and come back 3 s later.
func caseShutOutNew(w *world) bool {
	const (
		breakAt  = 600 * time.Millisecond
		redialAt = 3600 * time.Millisecond // noticed within 2.8 s, dialled again within 0.38 s
		endAt    = 20 * time.Second
		local    = "batch-log"
	)
	d := glasgow(8)
	d.extra["class_own_zone"] = []bool{false, true}
	hosts, standing := halls(d.zones)
	now := time.Now()
	for i, started := range []time.Duration{-14 * time.Second, -10 * time.Second, -6 * time.Second} {
		hosts[i].Born = now.Add(started).UnixMilli()
	}
	lists := newDiscovery(w, hosts)
	listen := freeAddress()
	g := w.startGovernor("n0", listen, lists.address, d.config("n0", listen, lists.address, lists.known()))
	defer g.end()
	f := newFleet(w, []string{"recipe-read", local}, 115*time.Millisecond, time.Second)
	f.refuses = lists.isGone
	for i := range 8 {
		site := d.zones[3-i/2]
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
		release(lists, started, 6*time.Second, 6*time.Second, "govan-3", "springburn-0")
	}()
	if w.trouble {
		time.Sleep(time.Until(started.Add(breakAt)))
		for _, p := range f.proxies[6:] {
			p.breakStream()
		}
		time.Sleep(time.Until(started.Add(redialAt)))
		for _, p := range f.proxies[6:] {
			p.join(listen)
		}
	}
	<-released
	time.Sleep(time.Until(started.Add(endAt)))
	return rule.held()
}
