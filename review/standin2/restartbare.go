//go:build review2

package main

import (
	"fmt"
	"time"
)

// restartBare: half of the replicas are in maintenance when the only instance is killed. When it is back these are ready,
// and the other half is in maintenance.
func restartBare(b *testbed) {
	const proxyCount = 150
	zones := []string{"govan", "partick", "dalmarnock", "springburn"}
	replicas := replicasOf(zones, 5)
	registry := startRegistry(b, replicas)
	listen := freeAddress()
	file := instanceFile{name: "govan-1", listen: listen, registry: registry.address, zones: zones, forwarders: proxyCount}
	config := b.write("govan-1.hcl", file.text())
	instance := b.serve("govan-1", config, listen)
	var proxies []*proxy
	for i := range proxyCount {
		zone := zones[i%len(zones)]
		p := newProxy(b, fmt.Sprintf("%s-till-%d", zone, i), zone, []string{listen}, standing(replicas, zone))
		p.quiet = i >= 4
		p.start()
		proxies = append(proxies, p)
	}
	b.waitFor("all proxies are bound", 15*time.Second, allProxies(proxies, isBound))
	b.sleepUntil(10 * time.Second)
	first := addresses(replicas[:10])
	second := addresses(replicas[10:])
	registry.drain("the first half is in maintenance", first...)
	b.sleepUntil(14 * time.Second)
	if b.trouble {
		b.kill(instance)
	}
	b.sleepUntil(15 * time.Second)
	registry.drain("all replicas are ready again")
	b.sleepUntil(17 * time.Second)
	registry.drain("the second half is in maintenance", second...)
	b.sleepUntil(18 * time.Second)
	if b.trouble {
		b.serve("govan-1", config, listen)
	}
	b.sleepUntil(30 * time.Second)
	judgeBare(b, proxies, registry.lists("govan-1"))
	b.copyLog("govan-1", "serving", "safe mode", "draining")
}
