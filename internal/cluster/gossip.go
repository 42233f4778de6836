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

// gossip is who seems alive, by memberlist.
type gossip struct {
	list  *memberlist.Memberlist
	peers []string
	done  chan struct{}
	over  chan struct{}
}

// Probing is fit to the lease: a member that died is to seem dead when its lease ends, not much before (it would be given up for a
// pause) and not after (its parts would wait). At the usual span of 2 s: a probe each 250 ms, suspicion for about a second.
func probing(span model.Microseconds) *memberlist.Config {
	conf := memberlist.DefaultLANConfig()
	conf.ProbeInterval = span.Duration() / 8
	conf.ProbeTimeout = span.Duration() / 16
	conf.SuspicionMult = 3
	conf.GossipInterval = span.Duration() / 20
	conf.TCPTimeout = span.Duration() / 4
	conf.PushPullInterval = 4 * span.Duration()
	conf.DeadNodeReclaimTime = span.Duration() // a member may come back under another address
	return conf
}

func openGossip(l *Config, quiet *log.Logger) (*gossip, error) {
	host, port, err := net.SplitHostPort(l.Gossip)
	if err != nil {
		return nil, fmt.Errorf("group: gossip: %w", err)
	}
	conf := probing(l.Settings.Lease.Duration)
	conf.Name, conf.BindAddr, conf.AdvertiseAddr = l.Name, host, host
	conf.BindPort, _ = strconv.Atoi(port)
	conf.AdvertisePort = conf.BindPort
	conf.Logger = quiet
	if l.Links != nil {
		nt, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: conf.BindPort, Logger: quiet})
		if err != nil {
			return nil, fmt.Errorf("group: gossip: %w", err)
		}
		conf.Transport = &gossipLinks{nt, l}
	}
	list, err := memberlist.Create(conf)
	if err != nil {
		return nil, fmt.Errorf("group: gossip on %s: %w", l.Gossip, err)
	}
	g := &gossip{list: list, done: make(chan struct{}), over: make(chan struct{})}
	for _, p := range l.Peers {
		if p.Name != l.Name && p.Gossip != "" {
			g.peers = append(g.peers, p.Gossip)
		}
	}
	go g.run(l.Settings.Lease.Duration.Duration())
	return g, nil
}

// run joins, and joins again as long as fewer are seen than are known: both sides of a cut forget each other after a while.
func (g *gossip) run(every time.Duration) {
	defer close(g.over)
	for {
		if g.list.NumMembers() <= len(g.peers) && len(g.peers) > 0 {
			_, _ = g.list.Join(g.peers)
		}
		select {
		case <-time.After(every):
		case <-g.done:
			return
		}
	}
}

// alive gives the names that seem alive.
func (g *gossip) alive() map[string]bool {
	all := map[string]bool{}
	for _, n := range g.list.Members() {
		all[n.Name] = true
	}
	return all
}

func (g *gossip) close(within time.Duration) {
	close(g.done)
	<-g.over
	_ = g.list.Leave(within)
	_ = g.list.Shutdown()
}
