//go:build review2

package main

import (
	"fmt"
	"time"
)

// allToOne: two instances have 350 proxies each. One is killed, so that all come to the other. Much later a replica is
// put into maintenance.
func allToOne(b *testbed) {
	const proxyCount = 700
	zones := []string{"govan", "partick"}
	replicas := replicasOf(zones, 4)
	registry := startRegistry(b, replicas)
	var listens []string
	var instances []*process
	for _, name := range []string{"govan-1", "partick-1"} {
		listen := freeAddress()
		listens = append(listens, listen)
		file := instanceFile{name: name, listen: listen, registry: registry.address, zones: zones, forwarders: proxyCount}
		instances = append(instances, b.serve(name, b.write(name+".hcl", file.text()), listen))
	}
	var proxies []*proxy
	for i := range proxyCount {
		zone := zones[i%2]
		known := []string{listens[i/2%2], listens[1-i/2%2]}
		p := newProxy(b, fmt.Sprintf("%s-till-%d", zone, i), zone, known, standing(replicas, zone))
		p.rate = 1
		p.quiet = i >= 2
		p.start()
		proxies = append(proxies, p)
	}
	b.waitFor("all proxies are bound", 30*time.Second, allProxies(proxies, isBound))
	b.sleepUntil(20 * time.Second)
	if b.trouble {
		b.kill(instances[0])
	}
	b.sleepUntil(25 * time.Second)
	b.waitFor("all proxies are joined", 20*time.Second, allProxies(proxies, isJoined))
	b.sleepUntil(60 * time.Second)
	countBound := 0
	for _, p := range proxies {
		p.mu.Lock()
		if life := p.versions[p.joinedTo].life; p.joined && p.bound && life > 0 {
			countBound++
		}
		p.mu.Unlock()
	}
	b.note("%d proxies are joined and hold a table of an instance", countBound)
	drained := replicas[0].replica
	registry.drain(drained+" is in maintenance", drained)
	toldAt := b.now()
	b.sleepUntil(85 * time.Second)
	judgeDrain(b, proxies, drained, toldAt)
	for _, name := range []string{"govan-1", "partick-1"} {
		b.copyLog(name, "statistics", "draining")
	}
}
