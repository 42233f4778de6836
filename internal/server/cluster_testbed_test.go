package server

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/cluster"
	"peppervale/internal/config"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
	"peppervale/internal/testaddr"
)

const (
	clusterProxies     = 6
	clusterWaitTimeout = 30 * time.Second
)

var clusterZones = []string{"govan", "partick", "dalmarnock"}

// clusterMember is one instance of a clusterTestbed, with its addresses.
type clusterMember struct {
	name    string
	zone    string
	channel string // address for proxies
	request string // address for other members and operators
	gossip  string
	console string
}

// clusterTestbed has three instances, one per zone, that share six proxies. A test can interrupt the links between the
// instances.
type clusterTestbed struct {
	t        *testing.T
	loop     *standin.Loop
	members  []clusterMember
	proxies  []*proxy.Proxy
	registry *registry.Registry

	mu       sync.Mutex
	isolated map[string]bool // members whose links are interrupted in both directions

	observations []invariants.Event // made by the proxies; accessed on the loop only
}

// Open implements cluster.Links.
func (bed *clusterTestbed) Open(from, to string) bool {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	return from == to || !bed.isolated[from] && !bed.isolated[to]
}

// setIsolated interrupts or restores a member's links to the other members.
func (bed *clusterTestbed) setIsolated(name string, isolated bool) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.isolated[name] = isolated
}

// newClusterTestbed starts the instances and proxies. They are ended when the test ends.
func newClusterTestbed(t *testing.T, leaseDuration string) *clusterTestbed {
	t.Helper()
	bed := &clusterTestbed{t: t, isolated: map[string]bool{}, loop: newLoop(t)}
	engine, err := proxy.NewEngine()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Stop)
	bed.registry = newRegistry(t, bed.loop)
	bed.loop.Do(func() {
		for n, zone := range clusterZones {
			bed.registry.Set(registry.Entry{ID: replicaID(byte(n + 1)), Zone: zone})
		}
	})
	for _, zone := range clusterZones {
		bed.members = append(bed.members, clusterMember{
			name:    zone + "-1",
			zone:    zone,
			channel: testaddr.Address(t),
			request: testaddr.Address(t),
			gossip:  testaddr.Address(t),
			console: testaddr.Address(t),
		})
	}
	directory := t.TempDir()
	for _, member := range bed.members {
		bed.startMember(member, directory, leaseDuration)
	}
	bed.loop.Do(func() {
		for k := range clusterProxies {
			bed.startProxy(k, engine)
		}
	})
	killOnCleanup(t, bed.loop, &bed.proxies)
	return bed
}

// startMember starts an instance. It is ended when the test ends.
func (bed *clusterTestbed) startMember(member clusterMember, directory, leaseDuration string) {
	bed.t.Helper()
	path := filepath.Join(directory, member.name+".hcl")
	if err := os.WriteFile(path, []byte(bed.configuration(member, leaseDuration)), 0o644); err != nil {
		bed.t.Fatal(err)
	}
	settings, err := config.LoadServer(path)
	if err != nil {
		bed.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, settings, Environment{Links: bed}, zerolog.Nop()) }()
	bed.t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			bed.t.Error(err)
		}
	})
}

// configuration returns the content of a member's file.
func (bed *clusterTestbed) configuration(member clusterMember, leaseDuration string) string {
	var members strings.Builder
	for _, m := range bed.members {
		fmt.Fprintf(&members, "member %q {\n address = %q\n gossip = %q\n}\n", m.name, m.request, m.gossip)
	}
	return fmt.Sprintf(`governor %q {
  listen = %q
  state = %q
  farewell = "1s"
}
console {
  listen = %q
}
zones = ["govan", "partick", "dalmarnock"]
operation "recipe-read" {
  objective = "500ms"
  timeout = "1200ms"
  effect = "idempotent"
}
fleet {
  forwarders = 6
}
rules {
}
channel {
  period = "200ms"
}
machine_list "consul" {
  address = %q
  service = "recipe"
}
group {
  listen = %q
  gossip = %q
  zone = %q
  parts = 2
  span = %q
  settle = "1s"
  pace = "100ms"
  %s
}
`, member.name, member.channel, member.name+".state", member.console, bed.registry.Addr(), member.request,
		member.gossip, member.zone, leaseDuration, members.String())
}

// startProxy starts proxy k, in zone k modulo 3. The proxy tries its own zone's instance first. startProxy is called on
// the loop.
func (bed *clusterTestbed) startProxy(k int, engine *netpoll.Engine) {
	zoneIndex := k % len(clusterZones)
	var instances []proxy.Instance
	for n := range bed.members {
		member := bed.members[(zoneIndex+n)%len(bed.members)]
		instances = append(instances, proxy.Instance{Name: member.name, Address: member.channel})
	}
	p := proxy.New(bed.loop, engine, proxy.Config{
		Name:            fmt.Sprint("till-", k),
		Zone:            clusterZones[zoneIndex],
		ZoneIndex:       zoneIndex,
		ExpectedRate:    2,
		RedialInterval:  50 * model.Millisecond,
		DialTimeout:     model.Second,
		OmitLoadReports: true,
		Instances:       instances,
	}, uint64(k), func(seen invariants.Event) { bed.observations = append(bed.observations, seen) })
	p.Start([]invariants.TableEntry{{Replica: replicaID(1), Weight: 1}})
	bed.proxies = append(bed.proxies, p)
}

// ownZoneInstance returns the name of the instance in proxy k's zone.
func (bed *clusterTestbed) ownZoneInstance(k int) string { return bed.members[k%len(bed.members)].name }

// isOwnZoneInstance reports whether an instance is that of proxy k's zone.
func (bed *clusterTestbed) isOwnZoneInstance(k int, instance string) bool {
	return instance == bed.ownZoneInstance(k)
}

// waitForPlacement waits until every proxy is bound and connected to an instance for which isWanted returns true.
func (bed *clusterTestbed) waitForPlacement(description string, isWanted func(k int, instance string) bool) {
	bed.t.Helper()
	for deadline := time.Now().Add(clusterWaitTimeout); ; time.Sleep(10 * time.Millisecond) {
		allWanted := true
		var instances []string
		bed.loop.Do(func() {
			for k, p := range bed.proxies {
				instances = append(instances, p.JoinedInstance())
				allWanted = allWanted && p.Bound() && isWanted(k, p.JoinedInstance())
			}
		})
		if allWanted {
			return
		}
		if time.Now().After(deadline) {
			for _, member := range bed.members {
				text, err := cluster.Request(member.request, time.Second, "STATUS")
				bed.t.Log(text, err)
			}
			bed.t.Fatalf("not reached: %s; the proxies are connected to %v", description, instances)
		}
	}
}

// waitForProxies waits until a condition holds for every proxy.
func (bed *clusterTestbed) waitForProxies(description string, condition func(p *proxy.Proxy) bool) {
	bed.t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(5 * time.Millisecond) {
		allHold := true
		bed.loop.Do(func() {
			for _, p := range bed.proxies {
				allHold = allHold && condition(p)
			}
		})
		if allHold {
			return
		}
		if time.Now().After(deadline) {
			bed.t.Fatalf("not reached: %s", description)
		}
	}
}

// expectNoMajority waits until a member's status reports the missing majority. The lease duration begins at a
// renewal's request, the time without a majority at the later agreement: between the two ends, a member holds no lease
// but does not report the fault yet.
func (bed *clusterTestbed) expectNoMajority(member clusterMember) {
	bed.t.Helper()
	const limit = 5 * time.Second
	for deadline := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		text, err := cluster.Request(member.request, limit, "STATUS")
		if err == nil && strings.Contains(text, "majority") {
			return
		}
		if err != nil || time.Now().After(deadline) {
			bed.t.Errorf("%s: got error %v and status %.300s, want a missing majority", member.name, err, text)
			return
		}
	}
}
