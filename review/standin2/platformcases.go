//go:build review2

package main

import (
	"fmt"
	"time"
)

// hostsOf returns replicas that long have been up.
func hostsOf(zones []string, each int) (hosts []host) {
	for i := range each * len(zones) {
		hosts = append(hosts, host{
			Host: fmt.Sprintf("s-%s-%d", zones[i%len(zones)], i/len(zones)), Dial: fmt.Sprintf("127.0.1.1:%d", 9001+i),
			Site: zones[i%len(zones)], Class: "two-core", Block: i / len(zones) / 3, Health: "ready", Share: 1,
		})
	}
	return hosts
}

func namesOf(hosts []host, site string) (names []string) {
	for _, h := range hosts {
		if h.Site == site {
			names = append(names, h.Host)
		}
	}
	return names
}

// judgePlatformDrain checks the third rule for one replica: joined proxies send nothing to it once the grace has passed
// since the instance was told, since they joined, or since the time from which limits run.
func judgePlatformDrain(b *testbed, proxies []*platformProxy, replica string, toldAt time.Duration) {
	const grace = drainLimit + protocolSlack
	late, requests, latest := 0, 0, time.Duration(0)
	for _, p := range proxies {
		p.mu.Lock()
		deadline := max(toldAt, p.joinedAt, b.limitsFrom()) + grace
		sent := 0
		for _, s := range p.sent {
			if s.replica == replica && s.from > deadline {
				sent++
				latest = max(latest, s.from-(deadline-grace))
			}
		}
		p.mu.Unlock()
		if sent > 0 {
			late++
			requests += sent
		}
	}
	if late > 0 {
		b.breach("%d joined proxies sent %d requests to %s, which drains or is gone, up to %.2f s after the instance was told; "+
			"allowed are %.1f s", late, requests, replica, latest.Seconds(), grace.Seconds())
		return
	}
	b.note("%s got no request after the grace", replica)
}

// platformLost: one of four halls is lost with the only governor. The governor comes back 4 s later with its last list, and
// the hall's replicas leave the list 0.7 s after that. Much later another replica drains.
func platformLost(b *testbed) {
	const proxyCount = 400
	zones := []string{"govan", "partick", "dalmarnock", "springburn"}
	hosts := hostsOf(zones, 7)
	discovery := startDiscovery(b, hosts)
	listen := freeAddress()
	known, _ := discovery.since(0)
	config := b.write("n1.json", platformConfig(listen, discovery.address, "8c1f30d27a5be964", proxyCount, zones, known))
	instance := b.platform("n1", config, listen)
	fleet := newPlatformFleet(b, listen, zones)
	for i := range proxyCount {
		site := zones[i%len(zones)]
		fleet.add(site, 2, namesOf(hosts, site)[:6])
	}
	b.waitFor("all proxies hold a table that was ordered", 30*time.Second, fleet.all(func(p *platformProxy) bool {
		return p.ordered
	}))
	b.sleepUntil(20 * time.Second)
	gone := namesOf(hosts, "springburn")
	fleet.lose(gone...)
	if b.trouble {
		b.kill(instance)
	}
	b.sleepUntil(24 * time.Second)
	if b.trouble {
		b.platform("n1", b.write("n1.json",
			platformConfig(listen, discovery.address, "8c1f30d27a5be965", proxyCount, zones, known)), listen)
	}
	b.waitFor("all proxies are joined", 15*time.Second, fleet.all(func(p *platformProxy) bool { return p.joined }))
	b.sleepUntil(24700 * time.Millisecond)
	discovery.change("gone", gone...)
	b.sleepUntil(50 * time.Second)
	drained := "s-govan-0"
	discovery.change("draining", drained)
	b.sleepUntil(70 * time.Second)
	for _, replica := range gone {
		toldAt, _ := discovery.toldAt(replica, "gone")
		judgePlatformDrain(b, fleet.proxies, replica, toldAt)
	}
	toldAt, _ := discovery.toldAt(drained, "draining")
	judgePlatformDrain(b, fleet.proxies, drained, toldAt)
	b.copyLog("n1", "serving", "safe mode", "statistics", "silent", "closed")
}

// twoHalves: half of the replicas drain for 6 s, and 3 s later the other half. TROUBLE=0 leaves the other half out.
func twoHalves(b *testbed) {
	const proxyCount = 400
	zones := []string{"govan", "partick", "dalmarnock", "springburn"}
	hosts := hostsOf(zones, 5)
	discovery := startDiscovery(b, hosts)
	listen := freeAddress()
	known, _ := discovery.since(0)
	config := b.write("n1.json", platformConfig(listen, discovery.address, "8c1f30d27a5be964", proxyCount, zones, known))
	b.platform("n1", config, listen)
	fleet := newPlatformFleet(b, listen, zones)
	for i := range proxyCount {
		site := zones[i%len(zones)]
		fleet.add(site, 2, namesOf(hosts, site)[:5])
	}
	b.waitFor("all proxies hold a table that was ordered", 30*time.Second, fleet.all(func(p *platformProxy) bool {
		return p.ordered
	}))
	var first, second []string
	for i, h := range hosts {
		if i < len(hosts)/2 {
			first = append(first, h.Host)
		} else {
			second = append(second, h.Host)
		}
	}
	b.sleepUntil(15 * time.Second)
	discovery.change("draining", first...)
	b.sleepUntil(21 * time.Second)
	discovery.change("ready", first...)
	if b.trouble {
		b.sleepUntil(24 * time.Second)
		discovery.change("draining", second...)
	}
	b.sleepUntil(45 * time.Second)
	if b.trouble {
		for _, replica := range second {
			toldAt, _ := discovery.toldAt(replica, "draining")
			judgePlatformDrain(b, fleet.proxies, replica, toldAt)
		}
	}
	judgePlatformBare(b, fleet.proxies)
	b.copyLog("n1", "serving", "safe mode", "statistics", "silent", "closed")
}

// judgePlatformBare checks the first rule where ready and warm replicas are listed all the time: no proxy is joined without
// a replica to pick for longer than the limit.
func judgePlatformBare(b *testbed, proxies []*platformProxy) {
	const limit = bareLimit + protocolSlack
	longest, broken, refused := time.Duration(0), 0, 0
	for _, p := range proxies {
		p.mu.Lock()
		p.joined = false
		p.updateBare()
		refused += p.refused
		tooLong := false
		for _, bare := range p.bare {
			length := bare.to - max(bare.from, b.limitsFrom())
			longest = max(longest, length)
			tooLong = tooLong || length > limit
		}
		p.mu.Unlock()
		if tooLong {
			broken++
		}
	}
	b.note("longest time of a joined proxy without a replica to pick: %.3f s of %.1f s; %d requests found no replica",
		longest.Seconds(), limit.Seconds(), refused)
	if broken > 0 {
		b.breach("%d of %d joined proxies had no replica to pick for longer than %.1f s", broken, len(proxies), limit.Seconds())
	}
}
