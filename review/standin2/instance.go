//go:build review2

package main

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// Limits of the rules, as docs/running.md states them: the defaults of bare and drain_grace.
const (
	bareLimit  = 2600 * time.Millisecond
	drainLimit = 2500 * time.Millisecond
)

// PROTOCOL's excuses for rules on sockets: limits are that much longer, and start no sooner than that after the instance
// first answered. The judges grant them on the publish-subscribe channel too.
const (
	protocolSlack = 300 * time.Millisecond
	startExcuse   = time.Second
)

// limitsFrom is the earliest time from which limits run.
func (b *testbed) limitsFrom() time.Duration { return b.answeredAt + startExcuse }

// shownBreaches is the number of breaches of one check that are written one by one.
const shownBreaches = 20

// instanceFile describes the file of an instance; everything that is left out has its default.
type instanceFile struct {
	name, listen, registry string
	state                  string // state directory; "": state-NAME
	zones                  []string
	forwarders             int
	channel                string // further lines of the block channel
	group                  string // the block group, if any
}

func (f instanceFile) text() string {
	quoted := make([]string, len(f.zones))
	for i, zone := range f.zones {
		quoted[i] = fmt.Sprintf("%q", zone)
	}
	return fmt.Sprintf(`governor %q {
  listen   = %q
  state    = %q
  farewell = "500ms"
}

zones = [%s]

operation "recipe-read" {
  objective = "500ms"
  timeout   = "1200ms"
  effect    = "idempotent"
}

operation "batch-log" {
  objective    = "750ms"
  timeout      = "2s"
  billed_value = 3
  effect       = "fingerprinted"
  window       = "1200ms"
}

fleet {
  forwarders  = %d
  load_report = ["util"]
}

rules {
}

channel {
  pace = 3000
%s}

machine_list "consul" {
  address = %q
  service = "recipe"
}
%s`, f.name, f.listen, cmp.Or(f.state, "state-"+f.name), strings.Join(quoted, ", "), f.forwarders, f.channel, f.registry, f.group)
}

// waitFor waits until a condition holds. It ends the case if it does not hold in time.
func (b *testbed) waitFor(what string, limit time.Duration, holds func() bool) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			b.note("%s", what)
			return
		}
	}
	panic(couldNot{"not within " + limit.String() + ": " + what})
}

func allProxies(proxies []*proxy, holds func(*proxy) bool) func() bool {
	return func() bool {
		for _, p := range proxies {
			p.mu.Lock()
			ok := holds(p)
			p.mu.Unlock()
			if !ok {
				return false
			}
		}
		return true
	}
}

func isBound(p *proxy) bool  { return p.joined && p.bound }
func isJoined(p *proxy) bool { return p.joined }

// readyFrom returns since when the lists that an instance was told have named a ready replica, without interruption, up
// to a time; ok is false if the list of that time names none. All replicas of the cases are warm.
func readyFrom(lists []telling, at time.Duration) (from time.Duration, ok bool) {
	for _, list := range lists {
		if list.at > at {
			break
		}
		ready := false
		for _, entry := range list.entries {
			ready = ready || !entry.draining
		}
		switch {
		case !ready:
			ok = false
		case !ok:
			ok = true
			from = list.at
		}
	}
	return from, ok
}

// judgeBare checks the first rule: no joined proxy is without an entry to pick for longer than the limit while its
// instance was told of a ready replica.
func judgeBare(b *testbed, proxies []*proxy, lists []telling) {
	const limit = bareLimit + protocolSlack
	longest, tooLong := time.Duration(0), 0
	for _, p := range proxies {
		for _, bare := range p.bareSpans() {
			readySince, ok := readyFrom(lists, bare.to)
			if !ok {
				continue
			}
			length := bare.to - max(bare.from, readySince, b.limitsFrom())
			longest = max(longest, length)
			if length <= limit {
				continue
			}
			tooLong++
			if tooLong <= shownBreaches {
				b.breach("%s was joined and had no entry to pick from %.3f to %.3f, of which %.3f s count; allowed are %.1f s",
					p.name, bare.from.Seconds(), bare.to.Seconds(), length.Seconds(), limit.Seconds())
			}
		}
	}
	b.note("%d times one of %d proxies was too long without an entry to pick", tooLong, len(proxies))
	refused := 0
	for _, p := range proxies {
		p.mu.Lock()
		refused += p.refused
		p.mu.Unlock()
	}
	b.note("longest counted time of a joined proxy without an entry to pick: %.3f s of %.1f s; some %d requests found no replica",
		longest.Seconds(), limit.Seconds(), refused)
}

// judgeDrain checks the third rule for one replica that was told as draining or gone at a time: joined proxies send nothing
// to it after the grace.
func judgeDrain(b *testbed, proxies []*proxy, replica string, toldAt time.Duration) {
	late, requests, latest := 0, 0, time.Duration(0)
	limit := max(toldAt, b.limitsFrom()) + drainLimit + protocolSlack
	for _, p := range proxies {
		p.mu.Lock()
		until, held := p.usedUntil[replica]
		sent := 0
		for _, s := range p.sent {
			if s.replica == replica && s.from > limit {
				sent += s.count
			}
		}
		p.mu.Unlock()
		if held {
			latest = max(latest, min(until, b.now())-toldAt)
		}
		if sent > 0 {
			late++
			requests += sent
		}
	}
	b.note("%s: the last of %d proxies could pick it until %.3f s after the instance was told", replica,
		len(proxies), max(0, latest).Seconds())
	if late > 0 {
		b.breach("%d joined proxies sent %d requests to %s, which drains or is gone, later than %.1f s after their instance "+
			"was told", late, requests, replica, (limit - toldAt).Seconds())
	}
}

// replicasOf returns the addresses of replicas that long have been up.
func replicasOf(zones []string, each int) (entries []listed) {
	for i := range each * len(zones) {
		entries = append(entries, listed{replica: fmt.Sprintf("127.0.1.1:%d", 9001+i), zone: zones[i%len(zones)]})
	}
	return entries
}

func addresses(entries []listed) (replicas []string) {
	for _, entry := range entries {
		replicas = append(replicas, entry.replica)
	}
	return replicas
}

// standing returns a standing table of six entries, of the proxy's zone first.
func standing(entries []listed, zone string) (replicas []string) {
	const size = 6
	for _, own := range []bool{true, false} {
		for _, entry := range entries {
			if (entry.zone == zone) == own && len(replicas) < size {
				replicas = append(replicas, entry.replica)
			}
		}
	}
	return replicas
}
