//go:build review2

package main

import (
	"fmt"
	"time"
)

// allToOne: two instances have 200 proxies each. One is killed, so that all come to the other. Later half of the replicas
// are in maintenance for some seconds, and then the other half.
func allToOne(b *testbed) {
	const proxyCount = 400
	zones := []string{"govan", "partick"}
	replicas := replicasOf(zones, 4)
	registry := startRegistry(b, replicas)
	names := []string{"govan-1", "partick-1"}
	var listens []string
	var instances []*process
	for _, name := range names {
		listen := freeAddress()
		listens = append(listens, listen)
		file := instanceFile{name: name, listen: listen, registry: registry.address, zones: zones, forwarders: proxyCount}
		instances = append(instances, b.serve(name, b.write(name+".hcl", file.text()), listen))
	}
	byInstance := map[string][]*proxy{}
	var proxies []*proxy
	for i := range proxyCount {
		zone := zones[i%2]
		own := i / 2 % 2
		p := newProxy(b, fmt.Sprintf("%s-till-%d", zone, i), zone, []string{listens[own], listens[1-own]},
			standing(replicas, zone))
		p.rate = 1
		p.quiet = i >= 4
		p.start()
		proxies = append(proxies, p)
		byInstance[names[own]] = append(byInstance[names[own]], p)
	}
	b.waitFor("all proxies are bound", 30*time.Second, allProxies(proxies, isBound))
	b.sleepUntil(15 * time.Second)
	if b.trouble {
		b.kill(instances[0])
		byInstance = map[string][]*proxy{names[1]: proxies}
	}
	b.sleepUntil(20 * time.Second)
	b.waitFor("all proxies are joined", 20*time.Second, allProxies(proxies, isJoined))
	b.sleepUntil(45 * time.Second)
	first := addresses(replicas[:4])
	second := addresses(replicas[4:])
	registry.drain("the first half is in maintenance", first...)
	b.sleepUntil(53 * time.Second)
	registry.drain("all replicas are ready again")
	b.sleepUntil(68 * time.Second)
	registry.drain("the second half is in maintenance", second...)
	toldAt := b.now()
	b.sleepUntil(83 * time.Second)
	for _, replica := range second {
		judgeDrain(b, proxies, replica, toldAt)
	}
	for name, joined := range byInstance {
		b.note("%d proxies of %s", len(joined), name)
		judgeBare(b, joined, registry.lists(name))
	}
	for _, name := range names {
		b.copyLog(name, "statistics", "draining")
	}
}
