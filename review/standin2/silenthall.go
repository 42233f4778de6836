//go:build review2

package main

import (
	"fmt"
	"time"
)

// Times of silentHall, since its start.
const (
	hallLostAt      = 14 * time.Second
	hallNoticedAt   = hallLostAt + 6*time.Second
	firstDrainedAt  = hallLostAt + 9*time.Second
	firstReadyAt    = hallLostAt + 15*time.Second
	secondDrainedAt = hallLostAt + 18*time.Second
	hallBackAt      = hallLostAt + 23500*time.Millisecond
)

// silentHall: one of four halls is lost for 23.5 s with its forwarders, silently. Meanwhile half of the replicas of the other
// halls are in maintenance for 6 s, and 3 s later the other half.
func silentHall(b *testbed) {
	zones := []string{"govan", "partick", "dalmarnock", "springburn"}
	lost := zones[3]
	replicas := replicasOf(zones, 4)
	registry := startRegistry(b, replicas)
	listen := freeAddress()
	file := instanceFile{name: "govan-1", listen: listen, registry: registry.address, zones: zones, forwarders: 12}
	b.serve("govan-1", b.write("govan-1.hcl", file.text()), listen)
	lostReplicas := map[string]bool{}
	for _, entry := range replicas {
		lostReplicas[entry.replica] = entry.zone == lost
	}
	var all, healthy, inLostHall []*proxy
	for i := range 12 {
		zone := zones[i%4]
		p := newProxy(b, fmt.Sprintf("%s-till-%d", zone, i), zone, []string{listen}, standing(replicas, zone))
		p.rate = 12
		p.latency = varyingLatency
		p.failing = func(replica string, at time.Duration) bool {
			return b.trouble && lostReplicas[replica] && at >= hallLostAt && at < hallBackAt
		}
		p.start()
		all = append(all, p)
		if zone == lost {
			inLostHall = append(inLostHall, p)
		} else {
			healthy = append(healthy, p)
		}
	}
	b.waitFor("all proxies are bound", 12*time.Second, allProxies(all, isBound))
	var left, first, second []string
	var leftEntries []listed
	for i, entry := range replicas {
		if entry.zone == lost {
			continue
		}
		left = append(left, entry.replica)
		leftEntries = append(leftEntries, entry)
		if i < len(replicas)/2 {
			first = append(first, entry.replica)
		} else {
			second = append(second, entry.replica)
		}
	}
	b.sleepUntil(hallLostAt)
	if b.trouble {
		for _, p := range inLostHall {
			p.hang()
		}
		b.sleepUntil(hallNoticedAt)
		registry.set("the replicas of "+lost+" are gone", leftEntries)
	}
	b.sleepUntil(firstDrainedAt)
	registry.drain("the first half of the others is in maintenance", first...)
	b.sleepUntil(firstReadyAt)
	registry.drain("these are ready again")
	b.sleepUntil(secondDrainedAt)
	registry.drain("the second half of the others is in maintenance", second...)
	toldAt := b.now()
	b.sleepUntil(hallBackAt)
	judgeBare(b, healthy, registry.lists("govan-1"))
	for _, replica := range second {
		judgeDrain(b, healthy, replica, toldAt)
	}
	b.note("%d replicas outside of %s", len(left), lost)
	for _, p := range inLostHall {
		if b.trouble {
			p.wake()
		}
	}
	time.Sleep(4 * time.Second)
	b.copyLog("govan-1", "statistics", "reads slowly", "draining", "gone")
}
