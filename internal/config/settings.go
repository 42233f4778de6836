package config

import (
	"fmt"
	"strings"
)

// settingList collects names and values of settings for display, in order.
type settingList [][2]string

func (l *settingList) add(name string, value any) {
	*l = append(*l, [2]string{name, fmt.Sprint(value)})
}

func (l *settingList) addf(name, format string, args ...any) {
	l.add(name, fmt.Sprintf(format, args...))
}

// Settings returns the names and values, including defaults, of the settings that the console shows. These texts use
// the terms of the file format.
func (s *Server) Settings() [][2]string {
	var list settingList
	list.add("governor", s.Name)
	list.add("listen", s.ListenAddress)
	list.add("state", s.StateDir)
	list.add("console", s.ConsoleAddress)
	list.add("zones", strings.Join(s.Zones, ", "))
	for _, operation := range s.Operations {
		list.add("operation "+operation.Name, operation.summary())
	}
	s.addFleetSettings(&list)
	s.addChannelSettings(&list)
	if s.Cluster != nil {
		s.Cluster.addSettings(&list)
	}
	discovery := s.Discovery
	list.addf("machine list", "%s at %s, service %s, wait %s",
		discovery.Kind, discovery.Address, discovery.Service, discovery.Wait)
	return list
}

func (o *Operation) summary() string {
	text := fmt.Sprintf("objective %s, timeout %s, billed value %g, %s",
		o.LatencyObjective.Duration(), o.Timeout.Duration(), o.PriorityWeight, o.Effect)
	if o.IdempotencyWindow > 0 {
		text += fmt.Sprintf(", window %s", o.IdempotencyWindow.Duration())
	}
	return text
}

func (s *Server) addFleetSettings(list *settingList) {
	list.add("forwarders", s.Balancer.ProxyCount)
	list.add("standing", s.Balancer.StandingTableSize)
	list.add("connections_least", s.Balancer.MinReplicaConnections)
	list.add("avoids", s.Balancer.ProxiesAvoidFailing)
	list.add("admits a share", s.Balancer.AdmissionControl)
	list.add("crossing_price", s.Balancer.CrossZoneCost)
	list.add("order_price", s.Balancer.PublishCost)
	list.add("bare", s.Guarantees.MaxTimeWithoutReplica.Duration())
	list.add("drain_grace", s.Guarantees.DrainGracePeriod.Duration())
	list.add("cold", s.Guarantees.WarmUpPeriod.Duration())
}

func (s *Server) addChannelSettings(list *settingList) {
	list.addf("pace", "%g lines a second", s.ChannelRate)
	list.addf("queue", "%d lines", s.Balancer.QueueLimit)
	list.addf("overhead", "%d lines a message", s.Balancer.MessageOverhead)
	list.add("period", s.Balancer.ReportPeriod.Duration())
	list.addf("intake", "%d sums a second", s.ReportLimit)
	list.add("messages_most", s.Balancer.MessageLimit)
}

func (c *Cluster) addSettings(list *settingList) {
	list.addf("group", "listen %s, gossip %s, zone %s, %d parts a zone, "+
		"span %s, drift %s, settle %s, pace %s, limit %g",
		c.ListenAddress, c.GossipAddress, c.Zone, c.ShardsPerZone,
		c.LeaseDuration.Duration(), c.MaxClockDrift.Duration(),
		c.StabilizationPeriod.Duration(), c.MoveInterval.Duration(), c.Capacity)
	for _, member := range c.Members {
		list.addf("member "+member.Name, "%s, gossip %s", member.Address, member.GossipAddress)
	}
}
