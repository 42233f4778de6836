package cluster

import (
	"fmt"
	"log"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"

	"peppervale/internal/model"
)

// Timing of gossip. The lease duration is divided by PerLease and Divisor constants, and multiplied by leases
// constants; suspicionMultiplier is memberlist's SuspicionMult. Gossip should report a failed member about when its
// lease expires: much earlier, it would report a member that only paused; later, the member's shards would wait for a
// new holder. At the default lease of 2 s, a probe is sent every 250 ms and suspicion lasts about a second.
const (
	probesPerLease         = 8
	probeTimeoutDivisor    = 16
	gossipsPerLease        = 20
	gossipTimeoutDivisor   = 4
	leasesPerFullExchange  = 4
	suspicionMultiplier    = 3
	leasesUntilNameReclaim = 1 // a member may then return under another address
	leasesPerRejoin        = 1
)

// gossip detects with memberlist which members seem alive.
type gossip struct {
	list         *memberlist.Memberlist
	peers        []string // gossip addresses of the other members
	done         chan struct{}
	joinLoopDone chan struct{}
}

func memberlistConfig(lease model.Microseconds) *memberlist.Config {
	duration := lease.Duration()
	config := memberlist.DefaultLANConfig()
	config.ProbeInterval = duration / probesPerLease
	config.ProbeTimeout = duration / probeTimeoutDivisor
	config.SuspicionMult = suspicionMultiplier
	config.GossipInterval = duration / gossipsPerLease
	config.TCPTimeout = duration / gossipTimeoutDivisor
	config.PushPullInterval = leasesPerFullExchange * duration
	config.DeadNodeReclaimTime = leasesUntilNameReclaim * duration
	return config
}

func openGossip(config *Config, logger *log.Logger) (*gossip, error) {
	host, port, err := net.SplitHostPort(config.GossipAddress)
	if err != nil {
		return nil, fmt.Errorf("cluster: gossip: %w", err)
	}
	listConfig := memberlistConfig(config.Settings.Lease.Duration)
	listConfig.Name = config.Name
	listConfig.BindAddr = host
	listConfig.AdvertiseAddr = host
	listConfig.BindPort, _ = strconv.Atoi(port)
	listConfig.AdvertisePort = listConfig.BindPort
	listConfig.Logger = logger
	if config.Links != nil {
		transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
			BindAddrs: []string{host},
			BindPort:  listConfig.BindPort,
			Logger:    logger,
		})
		if err != nil {
			return nil, fmt.Errorf("cluster: gossip: %w", err)
		}
		listConfig.Transport = &gossipLinks{transport, config}
	}
	list, err := memberlist.Create(listConfig)
	if err != nil {
		return nil, fmt.Errorf("cluster: gossip on %s: %w", config.GossipAddress, err)
	}
	g := &gossip{list: list, done: make(chan struct{}), joinLoopDone: make(chan struct{})}
	for _, peer := range config.Peers {
		if peer.Name != config.Name && peer.GossipAddress != "" {
			g.peers = append(g.peers, peer.GossipAddress)
		}
	}
	go g.joinLoop(leasesPerRejoin * config.Settings.Lease.Duration.Duration())
	return g, nil
}

// joinLoop joins the peers, and joins again whenever fewer members are visible than configured: in a long partition
// each side removes the members of the other side.
func (g *gossip) joinLoop(interval time.Duration) {
	defer close(g.joinLoopDone)
	for {
		if g.list.NumMembers() <= len(g.peers) && len(g.peers) > 0 {
			_, _ = g.list.Join(g.peers)
		}
		select {
		case <-time.After(interval):
		case <-g.done:
			return
		}
	}
}

// alive returns the names of the members that seem alive.
func (g *gossip) alive() map[string]bool {
	names := map[string]bool{}
	for _, node := range g.list.Members() {
		names[node.Name] = true
	}
	return names
}

func (g *gossip) close(timeout time.Duration) {
	close(g.done)
	<-g.joinLoopDone
	_ = g.list.Leave(timeout)
	_ = g.list.Shutdown()
}
