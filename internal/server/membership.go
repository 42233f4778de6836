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
	// handoverTimeout limits how long handed-over load reports wait for an endpoint list. Older reports are dropped.
	handoverTimeout      = 3 * time.Second
	handoverPollInterval = 5 * time.Millisecond

	incarnationRandomBits = 20 // random low bits of the incarnation that identifies a process in a cluster
)

// membership is an instance's part in a cluster. The controller starts at the first lease, not with the process.
// Therefore it begins in safe mode (it binds no proxy and leaves weights unchanged until each listed replica was
// reported) also after an unplanned takeover by a standby instance.
type membership struct {
	settings    cluster.Settings
	runner      *controllerRunner
	cluster     atomic.Pointer[cluster.Cluster] // nil until the cluster is open; until then no lease is held
	proxyServer *pubsub.Server                  // set by open

	done       chan struct{}
	background sync.WaitGroup

	mu                sync.Mutex
	handedOverReports []model.LoadReport // reports kept for a controller that has not started
}

// memberOptions contains the data of an instance that its membership needs to join the cluster.
type memberOptions struct {
	settings    *config.Server
	incarnation uint64
	proxyServer *pubsub.Server
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

// memberIncarnation returns the incarnation that identifies a process in a cluster: the incarnation of its state store,
// which grows with each start, followed by random bits. The random bits distinguish two processes with the same name
// and a new store each: without these bits, both would have the same incarnation.
func memberIncarnation(incarnation uint64) uint64 {
	return incarnation<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

// open joins the cluster. Lease events may arrive before it returns.
func (m *membership) open(options memberOptions) error {
	m.proxyServer = options.proxyServer
	clusterSettings := options.settings.Cluster
	misroutedProxies := func() map[int]int {
		return m.proxyServer.MisroutedProxies(clusterSettings.LeaseDuration / 2)
	}
	memberConfig := cluster.Config{
		Name:             options.settings.Name,
		Zone:             clusterSettings.Zone,
		ChannelAddress:   m.proxyServer.Addr(),
		ListenAddress:    clusterSettings.ListenAddress,
		GossipAddress:    clusterSettings.GossipAddress,
		Directory:        filepath.Join(options.settings.StateDir, "group"),
		Incarnation:      memberIncarnation(options.incarnation),
		Join:             clusterSettings.Join,
		Settings:         m.settings,
		Capacity:         clusterSettings.Capacity,
		ShardLoads:       m.proxyServer.ExpectedRates,
		MisroutedProxies: misroutedProxies,
		Handover:         cluster.HandoverCallbacks{Export: m.exportHandover, Import: m.importHandover},
		PortLimits: cluster.PortLimits{
			Connections:    clusterSettings.Connections,
			HeldBytes:      clusterSettings.HeldBytes,
			TotalHeldBytes: clusterSettings.TotalHeldBytes,
			RequestTimeout: clusterSettings.RequestTimeout,
		},
		Now:   options.now,
		Links: options.links,
		Log:   options.log,
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

// LeaseGained starts the controller at the first lease, whichever shard and epoch the lease has.
func (m *membership) LeaseGained(_ int, _ uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.runner.start() || len(m.handedOverReports) == 0 {
		return
	}
	reports := m.handedOverReports
	m.handedOverReports = nil
	m.background.Go(func() { m.deliverHandedOver(reports) })
}

// LeaseLost closes the streams of the shard's proxies.
func (m *membership) LeaseLost(shard int) { m.proxyServer.LeaseLost(shard) }

// exportHandover returns the data that the next lease holder receives at a planned move.
func (m *membership) exportHandover() cluster.Handover {
	snapshot := m.proxyServer.Snapshot()
	handover := cluster.Handover{
		LoadReports: m.runner.controller.LatestReports(),
		Withdrawn:   snapshot.Withdrawn,
	}
	if view := m.runner.controller.View(); view != nil && view.Detail != nil {
		handover.UnackedEntries = view.Detail.Balancer.UnackedEntries
	}
	return handover
}

// importHandover keeps the load reports that a lease holder handed over with its shards, if the controller of this
// instance has not started. The reports let the controller leave safe mode early. Without them, at an unplanned
// takeover, it waits for reports as after any start. A running controller needs none, as it receives reports itself.
func (m *membership) importHandover(handover cluster.Handover) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runner.isIdle() {
		m.handedOverReports = handover.LoadReports
	}
}

// deliverHandedOver passes handed-over load reports to the controller as soon as the controller has an endpoint list
// to match them with. It drops them after handoverTimeout or when the membership closes.
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

// Shard implements pubsub.Leases. The server for proxies calls Shard, IsLeaseHolder and Holder while it holds its lock,
// and proxies can connect before the cluster is open. These methods must therefore not wait for the cluster.
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
	return opened.TargetAddress(shard)
}

// transferLeases transfers all leases to other members. It waits until none is held
// or the time limit has passed.
func (m *membership) transferLeases(timeLimit time.Duration) {
	m.cluster.Load().TransferLeases(timeLimit)
}

// close leaves the cluster, then stops the delivery of handed-over load reports and waits until it has stopped.
func (m *membership) close() {
	m.cluster.Load().Close()
	close(m.done)
	m.background.Wait()
}
