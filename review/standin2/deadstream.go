//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

// deadStream: four proxies are as many as the instance takes. The machine of one vanishes, so that its connection stays
// open and silent. It comes back as a new process of the same name.
func deadStream(b *testbed) {
	zones := []string{"govan"}
	replicas := replicasOf(zones, 4)
	registry := startRegistry(b, replicas)
	listen := freeAddress()
	file := instanceFile{
		name: "govan-1", listen: listen, registry: registry.address, zones: zones, forwarders: 4,
		channel: "  joined_most = 4\n",
	}
	b.serve("govan-1", b.write("govan-1.hcl", file.text()), listen)
	start := func(name string) *proxy {
		p := newProxy(b, name, "govan", []string{listen}, standing(replicas, "govan"))
		p.start()
		return p
	}
	var proxies []*proxy
	for i := range 4 {
		proxies = append(proxies, start(fmt.Sprintf("govan-till-%d", i)))
	}
	b.waitFor("all proxies are bound", 15*time.Second, allProxies(proxies, isBound))
	b.sleepUntil(8 * time.Second)
	if b.trouble {
		proxies[3].hang()
		b.note("the machine of govan-till-3 has vanished: nothing closes its connection")
	} else {
		proxies[3].stop()
		b.note("the process of govan-till-3 has ended, and its connection is closed")
	}
	b.sleepUntil(12 * time.Second)
	returned := start("govan-till-3")
	b.note("govan-till-3 is back, with a new connection")
	b.sleepUntil(100 * time.Second)
	returned.mu.Lock()
	joins, answers := len(returned.joins), len(returned.answers)
	inTime := 0
	for i, a := range returned.answers {
		b.note("answer %d to its JOIN, at %.1f s: %s", i+1, a.at.Seconds(), a.text)
		if strings.HasPrefix(a.text, "LATER ") {
			inTime++
		}
	}
	returned.mu.Unlock()
	b.note("govan-till-3 joined %d times and was answered by an error %d times since it is back", joins, answers)
	if joins == 0 {
		b.breach("the newer connection of govan-till-3 did not replace the older one within 88 s, in %d joins, each "+
			"after the time that it was given", inTime)
	}
	b.copyLog("govan-1", "statistics", "connection closed")
}
