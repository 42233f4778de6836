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

// One instance loses its links to the other instances but not to its proxies. It publishes to them until its leases
// expire; then other instances take over. The messages that the proxies received show that no epoch had two holders.
func TestIsolatedMemberIsReplacedWhenItsLeasesExpire(t *testing.T) {
	bed := newClusterTestbed(t, "1s")
	isolated := bed.members[1]
	bed.waitForPlacement("each proxy on its own zone's instance", bed.isOwnZoneInstance)
	bed.setIsolated(isolated.name, true)
	bed.waitForPlacement("no proxy on the isolated instance", func(_ int, instance string) bool {
		return instance != "" && instance != isolated.name
	})
	bed.expectNoMajority(isolated)
	bed.setIsolated(isolated.name, false)
	bed.waitForPlacement("each proxy on its own zone's instance again", bed.isOwnZoneInstance)
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

// The proxies of one zone cannot reach their zone's instance, while the other instances can reach it. The proxies
// repeatedly connect to other instances, so their shards move to an instance that they can reach.
func TestShardsMoveWhenProxiesCannotReachTheirLeaseHolder(t *testing.T) {
	bed := newClusterTestbed(t, "1s")
	const unreachableIndex = 1 // index of the zone and of its member
	bed.waitForPlacement("each proxy on its own zone's instance", bed.isOwnZoneInstance)
	bed.loop.Do(func() {
		for k, p := range bed.proxies {
			if k%len(clusterZones) == unreachableIndex {
				p.Unreachable[bed.members[unreachableIndex].name] = true
				p.BreakStream()
			}
		}
	})
	bed.waitForPlacement("proxies of the zone on other instances", func(k int, instance string) bool {
		if k%len(clusterZones) != unreachableIndex {
			return bed.isOwnZoneInstance(k, instance)
		}
		return instance != "" && instance != bed.members[unreachableIndex].name
	})
}

// All links between instances are interrupted, so that no instance has a majority. Each instance publishes to its own
// proxies, including a withdrawal, until its leases expire. Then the streams end, the proxies keep their tables, and
// each instance's status names the missing majority. After the links are restored, all proxies are bound again.
func TestPublishingEndsWithLeasesWithoutMajority(t *testing.T) {
	bed := newClusterTestbed(t, "3s")
	bed.waitForPlacement("each proxy on its own zone's instance", bed.isOwnZoneInstance)
	for _, member := range bed.members {
		bed.setIsolated(member.name, true)
	}
	draining := replicaID(1)
	bed.loop.Do(func() { bed.registry.Set(registry.Entry{ID: draining, Zone: "govan", Draining: true}) })
	sendsToDraining := func(p *proxy.Proxy) bool {
		for _, entry := range p.HeldEntries() {
			if entry.Replica == draining && entry.Weight > 0 && !entry.Withdrawn {
				return true
			}
		}
		return false
	}
	bed.waitForProxies("replica withdrawn", func(p *proxy.Proxy) bool {
		return p.JoinedInstance() != "" && !sendsToDraining(p)
	})
	bed.waitForProxies("disconnected", func(p *proxy.Proxy) bool { return p.JoinedInstance() == "" })
	bed.waitForProxies("table kept, replica withdrawn", func(p *proxy.Proxy) bool {
		return len(p.HeldEntries()) > 0 && !sendsToDraining(p)
	})
	for _, member := range bed.members {
		bed.expectNoMajority(member)
	}
	for _, member := range bed.members {
		bed.setIsolated(member.name, false)
	}
	bed.waitForPlacement("each proxy on its own zone's instance again", bed.isOwnZoneInstance)
}

// If a proxy connects after the server's socket is open but before the cluster is, membership reports no lease and does
// not block.
func TestNoLeaseIsHeldBeforeTheClusterIsOpen(t *testing.T) {
	settings := &config.Server{Zones: []string{"govan"}, Cluster: &config.Cluster{ShardsPerZone: 4}}
	member := newMembership(settings, &controllerRunner{})
	shard := member.Shard(0, "till-1")
	if _, ok := member.IsLeaseHolder(shard); ok || member.Holder(0) != "" {
		t.Error("membership reports a lease before the cluster is open")
	}
}

// Two processes with the same name and a new state store each have different incarnations in the cluster. A later start
// of either process has a higher incarnation.
func TestMemberIncarnationsOfProcessesWithOneNameDiffer(t *testing.T) {
	equalPairs := 0
	for range 100 {
		first, second := memberIncarnation(1), memberIncarnation(1)
		if first == second {
			equalPairs++
		}
		if laterIncarnation := memberIncarnation(2); laterIncarnation <= first || laterIncarnation <= second {
			t.Fatalf("incarnation of the second start is %d, want above %d and %d", laterIncarnation, first, second)
		}
	}
	if equalPairs > 1 { // with a million possible numbers, one equal pair may be chance
		t.Errorf("%d of 100 pairs of incarnations are equal, want at most 1", equalPairs)
	}
}

// noopDiscovery is a discovery that never sends an endpoint list.
type noopDiscovery struct{}

// Subscribe implements controller.Discovery.
func (noopDiscovery) Subscribe() {}

// noopProxyServer is a server for proxies without any proxy.
type noopProxyServer struct{}

// AdmitProxy implements controller.ProxyServer.
func (noopProxyServer) AdmitProxy(model.ProxyID, uint64) {}

// Publish implements controller.ProxyServer.
func (noopProxyServer) Publish(*snapshot.Batch) {}

// A standby instance starts its controller with the first lease. At a planned move it received the load reports of the
// previous holder, and with them leaves safe mode early. At an unplanned takeover it waits as after any start.
func TestSafeModeEndsEarlyOnlyAfterPlannedTakeover(t *testing.T) {
	t.Run("planned", func(t *testing.T) {
		source := startControllerByLease(t, []model.LoadReport{loadReport(1, 50), loadReport(2, 50)})
		for deadline := time.Now().Add(6 * time.Second); !hasSafeModeEnded(source); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("safe mode did not end within 6 s, although a report of each replica was handed over")
			}
		}
	})
	t.Run("unplanned", func(t *testing.T) {
		source := startControllerByLease(t, nil)
		for {
			if view := source.View(); view != nil && view.EndpointsAt > 0 {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if hasSafeModeEnded(source) {
			t.Error("safe mode ended at once after an unplanned takeover")
		}
	})
}

// loadReport returns a load report for a replica.
func loadReport(replica byte, attempts int) model.LoadReport {
	return model.LoadReport{
		Replica: replicaID(replica), Attempts: attempts, MeanLatency: 1000, Window: model.Second,
	}
}

func hasSafeModeEnded(source *controller.Controller) bool {
	view := source.View()
	return view != nil && view.SafeModeEnded
}

// startControllerByLease returns a controller that is started by a lease, after a handover if handedOver is not nil. It
// then receives an endpoint list of two replicas and a load report for the first. It stops when the test ends.
func startControllerByLease(t *testing.T, handedOver []model.LoadReport) *controller.Controller {
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
		run:        func() { source.Run(noopProxyServer{}, noopDiscovery{}, nil) },
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
	source.LoadReported(0, []model.LoadReport{loadReport(1, 1)}) // from a proxy that connected after the lease was gained
	return source
}
