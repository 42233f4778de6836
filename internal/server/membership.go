package server

import (
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/cluster"
	"peppervale/internal/config"
	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/placement"
	"peppervale/internal/pubsub"
)

const (
	// handoverTimeout is how long handed-over load reports wait for an endpoint list; later they are too old.
	handoverTimeout      = 3 * time.Second
	handoverPollInterval = 5 * time.Millisecond

	incarnationRandomBits = 20 // of the incarnation that a cluster knows a process by
)

// membership is an instance's place in a cluster. The controller starts with the first lease, not with the process:
// what the design says of a start (bind no proxy, hold weights until each listed replica was reported) is then true of
// an unplanned takeover by an instance that stood by.
type membership struct {
	settings cluster.Settings
	runner   *controllerRunner
	cluster  atomic.Pointer[cluster.Cluster] // nil until it is open: no lease is held before
	proxies  *pubsub.Server                  // set by open

	done       chan struct{}
	background sync.WaitGroup

	mu         sync.Mutex
	handedOver []model.LoadReport // received before the controller started; it gets them once it has an endpoint list
}

// memberOptions is what a membership needs of the instance when it opens.
type memberOptions struct {
	settings    *config.Server
	incarnation uint64
	proxies     *pubsub.Server
	now         func() model.Microseconds
	links       cluster.Links
	log         zerolog.Logger
}

func newMembership(settings *config.Server, runner *controllerRunner) *membership {
	clusterSettings := settings.Cluster
	return &membership{
		settings: cluster.Settings{
			Lease: lease.Config{
				Duration:      clusterSettings.LeaseDuration,
				MaxClockDrift: clusterSettings.MaxClockDrift,
			},
			Placement: placement.Config{
				StabilizationPeriod: clusterSettings.StabilizationPeriod,
				MoveInterval:        clusterSettings.MoveInterval,
			},
			Zones:         settings.Zones,
			ShardsPerZone: clusterSettings.ShardsPerZone,
		},
		runner: runner,
		done:   make(chan struct{}),
	}
}

// memberIncarnation returns the incarnation that a cluster knows a process by: that of its state store, which grows
// with each start, and a random part, as two processes that were given one name and a new store each begin with the
// same number there.
func memberIncarnation(incarnation uint64) uint64 {
	return incarnation<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

// open joins the cluster. Events may come before it returns.
func (m *membership) open(options memberOptions) error {
	m.proxies = options.proxies
	clusterSettings := options.settings.Cluster
	misroutedProxies := func() map[int]int {
		return m.proxies.MisroutedProxies(clusterSettings.LeaseDuration / 2)
	}
	memberConfig := cluster.Config{
		Name:             options.settings.Name,
		Zone:             clusterSettings.Zone,
		ChannelAddress:   m.proxies.Addr(),
		ListenAddress:    clusterSettings.ListenAddress,
		GossipAddress:    clusterSettings.GossipAddress,
		Directory:        filepath.Join(options.settings.StateDir, "group"),
		Incarnation:      memberIncarnation(options.incarnation),
		Join:             clusterSettings.Join,
		Settings:         m.settings,
		Capacity:         clusterSettings.Capacity,
		ShardLoads:       m.proxies.ExpectedRates,
		MisroutedProxies: misroutedProxies,
		Handover:         cluster.HandoverCallbacks{Export: m.exportHandover, Import: m.importHandover},
		Now:              options.now,
		Links:            options.links,
		Log:              options.log,
	}
	for _, member := range clusterSettings.Members {
		peer := cluster.Peer{Name: member.Name, Address: member.Address, GossipAddress: member.GossipAddress}
		memberConfig.Peers = append(memberConfig.Peers, peer)
	}
	opened, err := cluster.Open(memberConfig, m)
	if err != nil {
		return err
	}
	m.cluster.Store(opened)
	return nil
}

// LeaseGained starts the controller with the first lease.
func (m *membership) LeaseGained(_ int, _ uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.runner.start() || len(m.handedOver) == 0 {
		return
	}
	reports := m.handedOver
	m.handedOver = nil
	m.background.Go(func() { m.deliverHandedOver(reports) })
}

// LeaseLost ends the streams of a shard's proxies.
func (m *membership) LeaseLost(shard int) { m.proxies.LeaseLost(shard) }

// exportHandover returns what the next lease holder of shards gets at a planned move.
func (m *membership) exportHandover() cluster.Handover {
	snapshot := m.proxies.Snapshot()
	handover := cluster.Handover{
		LoadReports: m.runner.controller.LatestReports(),
		Withdrawn:   snapshot.Withdrawn,
	}
	if view := m.runner.controller.View(); view != nil && view.Detail != nil {
		handover.UnackedEntries = view.Detail.Balancer.UnackedEntries
	}
	return handover
}

// importHandover keeps the load reports that a lease holder handed over with its shards, if the controller here has
// not started: it leaves safe mode on what is reported there, while an unplanned takeover waits as after any start. A
// controller that runs has received its own reports.
func (m *membership) importHandover(handover cluster.Handover) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runner.isIdle() {
		m.handedOver = handover.LoadReports
	}
}

// deliverHandedOver gives the controller handed-over load reports as soon as it has an endpoint list to know the
// replicas by, unless that takes longer than handoverTimeout or the membership closes.
func (m *membership) deliverHandedOver(reports []model.LoadReport) {
	timeout := time.After(handoverTimeout)
	for {
		if view := m.runner.controller.View(); view != nil && view.EndpointsAt > 0 {
			m.runner.controller.AddHandedOverReports(reports)
			return
		}
		select {
		case <-time.After(handoverPollInterval):
		case <-timeout:
			return
		case <-m.done:
			return
		}
	}
}

// Shard implements pubsub.Leases. The server for proxies calls it, IsLeaseHolder and Holder under its lock, and proxies
// connect from the moment that its socket is open: nothing here may wait for the cluster.
func (m *membership) Shard(zone int, name string) int { return m.settings.ShardOf(zone, name) }

// IsLeaseHolder implements pubsub.Leases.
func (m *membership) IsLeaseHolder(shard int) (epoch uint64, ok bool) {
	opened := m.cluster.Load()
	if opened == nil {
		return 0, false
	}
	return opened.IsLeaseHolder(shard)
}

// Holder implements pubsub.Leases.
func (m *membership) Holder(shard int) string {
	opened := m.cluster.Load()
	if opened == nil {
		return ""
	}
	return opened.TargetChannel(shard)
}

// transferLeases gives all leases to other members, within a time.
func (m *membership) transferLeases(within time.Duration) { m.cluster.Load().TransferLeases(within) }

// close leaves the cluster, then ends the delivery of handed-over load reports and waits for it.
func (m *membership) close() {
	m.cluster.Load().Close()
	close(m.done)
	m.background.Wait()
}
