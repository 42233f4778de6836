//go:build review2

package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	// unansweredLimit is how long a proxy may ask without finding the member that has its shard. docs/takeover.md says
	// "within some seconds" after a start of all members, and about the duration of a lease for a takeover.
	unansweredLimit = 15 * time.Second

	memberCount = 5
)

type clusterMember struct {
	name, zone, listen, port, gossip string
}

// correctedFile: one of five members is started with another value of parts. Its file is corrected and it is restarted,
// as its log and docs/oncall.md say.
func correctedFile(b *testbed) {
	zones := []string{"govan", "partick"}
	replicas := replicasOf(zones, 3)
	registry := startRegistry(b, replicas)
	var members []clusterMember
	var known []string
	for i := range memberCount {
		member := clusterMember{fmt.Sprintf("govan-%d", i+1), "govan", freeAddress(), freeAddress(), freeAddress()}
		if i == memberCount-1 {
			member.name, member.zone = "partick-1", "partick"
		}
		members = append(members, member)
		known = append(known, member.listen)
	}
	configure := func(member clusterMember, parts int) string {
		file := instanceFile{
			name: member.name, listen: member.listen, registry: registry.address, zones: zones, forwarders: 12,
			group: groupBlock(member, members, fmt.Sprintf(
				"  parts  = %d\n  span   = \"300ms\"\n  settle = \"2s\"\n  pace   = \"500ms\"", parts)),
		}
		return b.write(member.name+".hcl", file.text())
	}
	for _, member := range members[:memberCount-1] {
		b.serve(member.name, configure(member, 4), member.listen)
	}
	var proxies []*proxy
	for i := range 12 {
		zone := zones[i%2]
		p := newProxy(b, fmt.Sprintf("%s-till-%d", zone, i), zone, known, standing(replicas, zone))
		p.start()
		proxies = append(proxies, p)
	}
	b.waitFor("all proxies are bound", 20*time.Second, allProxies(proxies, isBound))
	b.sleepUntil(20 * time.Second)
	last := members[memberCount-1]
	parts := 4
	if b.trouble {
		parts = 2
		b.note("the file of %s says parts = 2, those of the others 4", last.name)
	}
	lastProcess := b.serve(last.name, configure(last, parts), last.listen)
	snapshots := filepath.Join(b.folder, "state-"+last.name, "group", "snapshots", "snapshots", "*")
	b.waitFor(last.name+" has written a snapshot of its log", 64*time.Second, func() bool {
		found, _ := filepath.Glob(filepath.Join(snapshots, "state.bin"))
		return len(found) > 0 && !strings.HasSuffix(filepath.Dir(found[0]), ".tmp")
	})
	b.terminate(lastProcess)
	restartedAt := b.now()
	b.note("the file of %s says parts = 4 like the others; it starts again", last.name)
	b.serve(last.name, configure(last, 4), last.listen)
	time.Sleep(unansweredLimit + 9*time.Second)
	judgeJoined(b, proxies, restartedAt)
	for _, member := range []clusterMember{members[0], last} {
		b.logStatus(member)
	}
	b.copyLog(last.name, "cluster member", "lease ", "serving")
}

// logStatus writes what `cluster status` says at a member to the record.
func (b *testbed) logStatus(member clusterMember) {
	out, err := exec.Command(b.program, "cluster", "status", "--at", member.port).CombinedOutput()
	b.log("cluster status at %s (%v):\n%s", member.name, err, out)
}

// groupBlock returns the block group of a member's file; lines are its settings beside the addresses.
func groupBlock(own clusterMember, members []clusterMember, lines string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "\ngroup {\n  listen = %q\n  gossip = %q\n  zone   = %q\n", own.port, own.gossip, own.zone)
	fmt.Fprintf(&text, "%s\n", lines)
	for _, member := range members {
		fmt.Fprintf(&text, "  member %q {\n    address = %q\n    gossip  = %q\n  }\n",
			member.name, member.port, member.gossip)
	}
	text.WriteString("}\n")
	return text.String()
}

// judgeJoined checks that no proxy asks for longer than unansweredLimit without being taken by an instance.
func judgeJoined(b *testbed, proxies []*proxy, since time.Duration) {
	longest := time.Duration(0)
	for _, p := range proxies {
		p.mu.Lock()
		gap, from := p.longestGap(since, b.now())
		var last string
		if len(p.answers) > 0 {
			last = p.answers[len(p.answers)-1].text
		}
		answers := 0
		for _, a := range p.answers {
			if a.at >= from {
				answers++
			}
		}
		p.mu.Unlock()
		longest = max(longest, gap)
		if gap > unansweredLimit {
			b.breach("%s asked for %.1f s, from %.1f on, and no instance took it; %d answers, the last was %q", p.name,
				gap.Seconds(), from.Seconds(), answers, last)
		}
	}
	b.note("longest time that a proxy asked and no instance took it: %.1f s of %.0f s", longest.Seconds(),
		unansweredLimit.Seconds())
}

// longestGap returns the longest time that the proxy was joined to nobody, and its begin; p.mu is held.
func (p *proxy) longestGap(since, until time.Duration) (longest, from time.Duration) {
	joined := false
	left := since
	check := func(at time.Duration) {
		if !joined && at-max(left, since) > longest {
			longest, from = at-max(left, since), max(left, since)
		}
	}
	for _, change := range p.joins {
		if change.to != "" {
			check(change.at)
			joined = true
		} else {
			joined = false
			left = change.at
		}
	}
	check(until)
	return longest, from
}
