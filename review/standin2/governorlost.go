//go:build review2

package main

import (
	"fmt"
	"time"
)

// governorLost: one of four halls is lost with its governor, which is the only one. The governor comes back 4 s later with
// its last list, and the hall's replicas leave the list 1.5 s after that. Much later another replica is put into
// maintenance.
func governorLost(b *testbed) {
	const proxyCount = 400
	zones := []string{"govan", "partick", "dalmarnock", "springburn"}
	lost := zones[3]
	replicas := replicasOf(zones, 7)
	registry := startRegistry(b, replicas)
	listen := freeAddress()
	name := lost + "-1"
	file := instanceFile{name: name, listen: listen, registry: registry.address, zones: zones, forwarders: proxyCount}
	config := b.write(name+".hcl", file.text())
	instance := b.serve(name, config, listen)
	lostReplicas := map[string]bool{}
	for _, entry := range replicas {
		lostReplicas[entry.replica] = entry.zone == lost
	}
	var proxies []*proxy
	for i := range proxyCount {
		zone := zones[i%len(zones)]
		p := newProxy(b, fmt.Sprintf("%s-till-%d", zone, i), zone, []string{listen}, standing(replicas, zone))
		p.rate = 2
		p.failing = func(replica string, at time.Duration) bool {
			return lostReplicas[replica] && at >= 20*time.Second
		}
		p.quiet = i >= 4
		p.start()
		proxies = append(proxies, p)
	}
	b.waitFor("all proxies are bound", 30*time.Second, allProxies(proxies, isBound))
	b.sleepUntil(20 * time.Second)
	if b.trouble {
		b.kill(instance)
	}
	b.sleepUntil(24 * time.Second)
	if b.trouble {
		b.serve(name, config, listen)
	}
	b.waitFor("all proxies are joined", 15*time.Second, allProxies(proxies, isJoined))
	b.sleepUntil(25500 * time.Millisecond)
	var left []listed
	var gone []string
	for _, entry := range replicas {
		if entry.zone == lost {
			gone = append(gone, entry.replica)
		} else {
			left = append(left, entry)
		}
	}
	registry.set(fmt.Sprintf("the %d replicas of %s have left the list", len(gone), lost), left)
	goneAt := b.now()
	b.sleepUntil(50 * time.Second)
	drained := left[0].replica
	registry.drain(drained+" is in maintenance", drained)
	drainedAt := b.now()
	b.sleepUntil(70 * time.Second)
	for _, replica := range gone {
		judgeDrain(b, proxies, replica, goneAt)
	}
	judgeDrain(b, proxies, drained, drainedAt)
	b.copyLog(name, "serving", "safe mode", "statistics", " gone")
}
