//go:build review2

package main

import (
	"fmt"
	"time"
)

// raisedSpan: the three members of a group are restarted one after the other, with a longer lease in the file of each.
func raisedSpan(b *testbed) {
	zones := []string{"govan", "partick", "dalmarnock"}
	replicas := replicasOf(zones, 3)
	registry := startRegistry(b, replicas)
	var members []clusterMember
	var known []string
	for _, zone := range zones {
		member := clusterMember{zone + "-1", zone, freeAddress(), freeAddress(), freeAddress()}
		members = append(members, member)
		known = append(known, member.listen)
	}
	configure := func(member clusterMember, span string) string {
		file := instanceFile{
			name: member.name, listen: member.listen, registry: registry.address, zones: zones, forwarders: 12,
			group: groupBlock(member, members, `  span   = "`+span+`"`),
		}
		return b.write(member.name+".hcl", file.text())
	}
	processes := map[string]*process{}
	for _, member := range members {
		processes[member.name] = b.serve(member.name, configure(member, "2s"), member.listen)
	}
	var proxies []*proxy
	for i := range 12 {
		zone := zones[i%len(zones)]
		p := newProxy(b, fmt.Sprintf("%s-till-%d", zone, i), zone, known, standing(replicas, zone))
		p.start()
		proxies = append(proxies, p)
	}
	b.waitFor("all proxies are bound", 20*time.Second, allProxies(proxies, isBound))
	b.sleepUntil(15 * time.Second)
	restartedFrom := b.now()
	span := "2s"
	if b.trouble {
		span = "3s"
	}
	for _, member := range members {
		b.terminate(processes[member.name])
		b.note("the file of %s says span = %s", member.name, span)
		processes[member.name] = b.serve(member.name, configure(member, span), member.listen)
		time.Sleep(10 * time.Second)
	}
	b.note("all members have been restarted")
	time.Sleep(unansweredLimit + 10*time.Second)
	judgeJoined(b, proxies, restartedFrom)
	for _, member := range members {
		b.logStatus(member)
		b.copyLog(member.name, "cluster member", "serving")
	}
}
