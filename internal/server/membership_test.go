package server

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/cluster"
	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
)

// One instance is cut off from the others but not from its proxies: it publishes to them to the end of its leases; then
// others do. No epoch has two holders, as judged from what the proxies were sent.
func TestIsolatedMember(t *testing.T) {
	bed := newClusterTestbed(t, "1s")
	isolated := bed.members[1]
	bed.waitForPlacement("each proxy at home", bed.isHome)
	bed.setIsolated(isolated.name, true)
	bed.waitForPlacement("taken over", func(_ int, instance string) bool {
		return instance != "" && instance != isolated.name
	})
	bed.expectNoMajority(isolated)
	bed.setIsolated(isolated.name, false)
	bed.waitForPlacement("each proxy at home again", bed.isHome)
	bed.loop.Do(func() {
		limits := invariants.Limits{
			Zones:          clusterZones,
			MaxEmptyTime:   2 * model.Second,
			DrainGrace:     2 * model.Second,
			WarmUpPeriod:   model.Second,
			OverloadFactor: 4,
			OverloadWindow: model.Second,
			QueueLimit:     6000,
		}
		for _, verdict := range invariants.Check(bed.observations, limits, bed.loop.Now()) {
			if len(verdict.Violations) > 0 {
				t.Errorf("%s: %v", verdict.Invariant, verdict.Violations)
			}
		}
	})
}

// The proxies of one zone cannot reach their instance, which all others reach: they connect to other instances
// over and over, so their shards move to one that they reach, and are not moved back while that lasts.
func TestProxiesCannotReachTheirLeaseHolder(t *testing.T) {
	bed := newClusterTestbed(t, "1s")
	const unreachable = 1 // number of the zone and of its member
	bed.waitForPlacement("each proxy at home", bed.isHome)
	bed.loop.Do(func() {
		for k, p := range bed.proxies {
			if k%len(clusterZones) == unreachable {
				p.Unreachable[bed.members[unreachable].name] = true
				p.BreakStream()
			}
		}
	})
	bed.waitForPlacement("connected to others", func(k int, instance string) bool {
		if k%len(clusterZones) != unreachable {
			return bed.isHome(k, instance)
		}
		return instance != "" && instance != bed.members[unreachable].name
	})
}

// All links between instances are interrupted: there is no majority anywhere. Each goes on publishing to its own
// proxies to the end of its leases, a withdrawal too; then none does, the proxies keep their tables, and each instance
// says why. With the links restored it all goes on.
func TestNoMajority(t *testing.T) {
	bed := newClusterTestbed(t, "3s")
	bed.waitForPlacement("each proxy at home", bed.isHome)
	for _, member := range bed.members {
		bed.setIsolated(member.name, true)
	}
	draining := replicaID(1)
	bed.loop.Do(func() { bed.registry.Set(registry.Entry{ID: draining, Zone: "govan", Draining: true}) })
	sendsToDraining := func(p *proxy.Proxy) bool {
		for _, held := range p.HeldEntries() {
			if held.Replica == draining && held.Weight > 0 && !held.Withdrawn {
				return true
			}
		}
		return false
	}
	bed.waitForProxies("withdrawn", func(p *proxy.Proxy) bool { return p.JoinedInstance() != "" && !sendsToDraining(p) })
	bed.waitForProxies("disconnected", func(p *proxy.Proxy) bool { return p.JoinedInstance() == "" })
	bed.waitForProxies("on its table", func(p *proxy.Proxy) bool {
		return len(p.HeldEntries()) > 0 && !sendsToDraining(p)
	})
	for _, member := range bed.members {
		bed.expectNoMajority(member)
	}
	for _, member := range bed.members {
		bed.setIsolated(member.name, false)
	}
	bed.waitForPlacement("each proxy at home again", bed.isHome)
}

// A proxy connects when the server's socket is open and the cluster is not: no lease is held, and nothing waits.
func TestNoLeaseBeforeTheClusterIsOpen(t *testing.T) {
	settings := &config.Server{Zones: []string{"govan"}, Cluster: &config.Cluster{ShardsPerZone: 4}}
	member := newMembership(settings, &controllerRunner{})
	shard := member.Shard(0, "till-1")
	if _, ok := member.IsLeaseHolder(shard); ok || member.Holder(0) != "" {
		t.Error("a lease is held before the cluster is open")
	}
}

// Two processes of one name, each with a new state store, are two incarnations to the cluster; a later start of either
// is a later one.
func TestMemberIncarnationsDiffer(t *testing.T) {
	equal := 0
	for range 100 {
		first, second := memberIncarnation(1), memberIncarnation(1)
		if first == second {
			equal++
		}
		if later := memberIncarnation(2); later <= first || later <= second {
			t.Fatalf("%d after %d and %d", later, first, second)
		}
	}
	if equal > 1 { // of a million numbers
		t.Errorf("%d of 100 pairs are equal", equal)
	}
}

// silentDiscovery is an endpoint list that never changes.
type silentDiscovery struct{}

// Subscribe implements controller.Discovery.
func (silentDiscovery) Subscribe() {}

// silentProxies is a server for proxies to which none connects.
type silentProxies struct{}

// AdmitProxy implements controller.ProxyServer.
func (silentProxies) AdmitProxy(model.ProxyID, uint64) {}

// Publish implements controller.ProxyServer.
func (silentProxies) Publish(*snapshot.Batch) {}

// An instance that stood by starts its controller with a lease. At a planned move it received the load reports of the
// holder before, and leaves safe mode on them; unplanned it waits, as after any start.
func TestSafeModeAtTakeover(t *testing.T) {
	t.Run("planned", func(t *testing.T) {
		source := startedByLease(t, []model.LoadReport{loadReport(1, 50), loadReport(2, 50)})
		for deadline := time.Now().Add(6 * time.Second); !isSafeModeOver(source); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("safe mode waits for its window of three periods, though each replica was reported")
			}
		}
	})
	t.Run("unplanned", func(t *testing.T) {
		source := startedByLease(t, nil)
		for {
			if view := source.View(); view != nil && view.EndpointsAt > 0 {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if isSafeModeOver(source) {
			t.Error("safe mode ends at once after an unplanned takeover")
		}
	})
}

// loadReport returns a report of a replica.
func loadReport(replica byte, attempts int) model.LoadReport {
	return model.LoadReport{
		Replica: replicaID(replica), Attempts: attempts, MeanLatency: 1000, Window: model.Second,
	}
}

func isSafeModeOver(source *controller.Controller) bool {
	view := source.View()
	return view != nil && view.SafeModeEnded
}

// startedByLease returns a controller that starts with a lease, after a handover if there are reports of one. It then
// gets an endpoint list of two replicas and a load report of the first. It ends with the test.
func startedByLease(t *testing.T, handedOver []model.LoadReport) *controller.Controller {
	t.Helper()
	balancerConfig := model.Config{
		Seed:                  1,
		Operations:            []model.Operation{{LatencyObjective: model.Second, PriorityWeight: 1}},
		Zones:                 1,
		SubscriptionRequired:  true,
		FullQuota:             1,
		StandingTableSize:     6,
		ReportPeriod:          2500 * model.Millisecond,
		QueueLimit:            1000,
		ProxyCount:            10,
		MinReplicaConnections: 100,
		UtilizationField:      -1,
		WarmUpPeriod:          model.Second,
	}
	source := controller.New(balancerConfig, 1000, controller.NewClock(), zerolog.Nop())
	runner := &controllerRunner{
		controller: source,
		run:        func() { source.Run(silentProxies{}, silentDiscovery{}, nil) },
	}
	settings := &config.Server{Zones: []string{"govan"}, Cluster: &config.Cluster{ShardsPerZone: 1}}
	member := newMembership(settings, runner)
	t.Cleanup(func() {
		close(member.done)
		member.background.Wait()
		runner.stop()
	})
	if handedOver != nil {
		member.importHandover(cluster.Handover{LoadReports: handedOver})
	}
	member.LeaseGained(0, 1)
	source.EndpointsChanged(model.FullList, []model.Endpoint{
		{ID: replicaID(1), Status: model.EndpointReady},
		{ID: replicaID(2), Status: model.EndpointReady},
	})
	source.LoadReported(0, []model.LoadReport{loadReport(1, 1)}) // of a proxy that connected since
	return source
}
