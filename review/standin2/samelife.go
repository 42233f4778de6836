//go:build review2

package main

import (
	"fmt"
	"time"
)

// sameLife: the only instance is restarted with another, empty state directory. Later a replica is put into maintenance.
func sameLife(b *testbed) {
	zones := []string{"govan", "partick"}
	replicas := replicasOf(zones, 4)
	registry := startRegistry(b, replicas)
	listen := freeAddress()
	file := instanceFile{name: "govan-1", listen: listen, registry: registry.address, zones: zones, forwarders: 10}
	instance := b.serve("govan-1", b.write("govan-1.hcl", file.text()), listen)
	var proxies []*proxy
	for i := range 10 {
		zone := zones[i%2]
		p := newProxy(b, fmt.Sprintf("%s-till-%d", zone, i), zone, []string{listen}, standing(replicas, zone))
		p.rate = 15
		p.latency = varyingLatency
		p.start()
		proxies = append(proxies, p)
	}
	b.waitFor("all proxies are bound", 15*time.Second, allProxies(proxies, isBound))
	b.sleepUntil(50 * time.Second)
	b.terminate(instance)
	if b.trouble {
		file.state = "state-on-a-new-disk"
		b.note("its file names another state directory, which is empty")
	}
	b.serve("govan-1", b.write("govan-1.hcl", file.text()), listen)
	b.waitFor("all proxies are joined", 15*time.Second, allProxies(proxies, isJoined))
	b.sleepUntil(65 * time.Second)
	drained := replicas[0].replica
	registry.drain(drained+" is in maintenance", drained)
	toldAt := b.now()
	b.sleepUntil(85 * time.Second)
	judgeDrain(b, proxies, drained, toldAt)
	b.copyLog("govan-1", "serving", "safe mode", "draining", "statistics")
}
