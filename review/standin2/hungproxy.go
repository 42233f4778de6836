//go:build review2

package main

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"
)

// hungProxy: one of ten proxies reads nothing any more. Later half of the replicas are in maintenance for some seconds,
// and then the other half.
func hungProxy(b *testbed) {
	zones := []string{"govan", "partick"}
	replicas := replicasOf(zones, 4)
	registry := startRegistry(b, replicas)
	listen := freeAddress()
	file := instanceFile{name: "govan-1", listen: listen, registry: registry.address, zones: zones, forwarders: 10}
	b.serve("govan-1", b.write("govan-1.hcl", file.text()), listen)
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
	b.sleepUntil(10 * time.Second)
	healthy := proxies
	if b.trouble {
		proxies[9].hang()
		healthy = proxies[:9]
	}
	b.sleepUntil(50 * time.Second)
	first := addresses(replicas[:4])
	second := addresses(replicas[4:])
	registry.drain("the first half is in maintenance", first...)
	b.sleepUntil(58 * time.Second)
	registry.drain("all replicas are ready again")
	b.sleepUntil(73 * time.Second)
	registry.drain("the second half is in maintenance", second...)
	toldAt := b.now()
	b.sleepUntil(88 * time.Second)
	for _, replica := range second {
		judgeDrain(b, healthy, replica, toldAt)
	}
	judgeBare(b, healthy, registry.lists("govan-1"))
	b.copyLog("govan-1", "statistics", "reads slowly", "draining")
}

// varyingLatency is the time of a request at a replica whose speed changes by a quarter within half a minute.
func varyingLatency(replica string, at time.Duration) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(replica))
	phase := float64(hash.Sum32()%628) / 100
	factor := 1 + 0.25*math.Sin(phase+at.Seconds()*2*math.Pi/30)
	return time.Duration(float64(100*time.Millisecond) * factor)
}
