package config

import (
	"fmt"
	"reflect"
	"strings"
)

// reloadRule defines whether a running instance can adopt a change of one part of a configuration file.
type reloadRule struct {
	name          string
	value         func(*Server) any
	restartReason string // why a change requires a restart; "" if it can be adopted at runtime
}

// Restart reasons that apply to several parts.
const (
	reasonWireFormat = "zone and operation numbers are used on the wire and in the tables of proxies"
	reasonBalancer   = "the balancer is created with these settings, and its statistics depend on them"
	reasonSocket     = "the listening socket is already open"
)

// reloadRules covers every part of a configuration file; Reload compares only these parts.
var reloadRules = []reloadRule{
	{"governor: the name", func(s *Server) any { return s.Name }, "logs, console pages and Consul show the name"},
	{"governor: listen", func(s *Server) any { return s.ListenAddress }, reasonSocket},
	{"governor: state", func(s *Server) any { return s.StateDir }, "the directory is locked and open"},
	{"governor: seed", func(s *Server) any { return s.Balancer.Seed }, "random numbers have been derived from the seed"},
	{"governor: log", func(s *Server) any { return s.LogLevel }, ""},
	{"governor: farewell", func(s *Server) any { return s.ShutdownGracePeriod }, ""},
	{"zones", func(s *Server) any { return s.Zones }, reasonWireFormat},
	{"operation", func(s *Server) any { return s.Operations }, reasonWireFormat},
	{"channel: pace", func(s *Server) any { return s.ChannelRate }, "queued updates were scheduled with the old rate"},
	{"channel: intake", func(s *Server) any { return s.ReportLimit }, ""},
	{
		"channel: connections, observers, unsent_bytes, unsent_all_bytes, greeting, held_bytes, " +
			"held_all_bytes, unfinished, silence, names_most, commands, joins, joined_most",
		func(s *Server) any { return s.PeerLimits }, "",
	},
	{
		"group", func(s *Server) any { return s.Cluster },
		"the replicated state of the cluster depends on these settings; restart the members one at a time",
	},
	{"console: listen", func(s *Server) any { return s.ConsoleAddress }, reasonSocket},
	{"console: connections", func(s *Server) any { return s.ConsoleConnections }, reasonSocket},
	{"machine_list", func(s *Server) any { return s.Discovery }, "the running endpoint poll uses these settings"},
	{"fleet, rules, channel: queue, overhead, period, messages_most", remainingBalancerConfig, reasonBalancer},
	{"fleet, rules: what only checkers read", func(s *Server) any { return s.Guarantees }, reasonBalancer},
}

// remainingBalancerConfig returns the balancer's configuration without the fields that other rules cover.
func remainingBalancerConfig(s *Server) any {
	balancer := s.Balancer
	balancer.Seed = 0
	balancer.Zones = 0
	balancer.Operations = nil
	return balancer
}

// Reload compares the current configuration with the newly read one. The new configuration is adopted completely or not
// at all: if it changes a part that requires a restart, the error names each such part with the reason, and the current
// configuration stays in effect. Otherwise changed describes each part that differs.
func Reload(old, next *Server) (changed []string, err error) {
	var restartRequired []string
	for _, rule := range reloadRules {
		before, after := rule.value(old), rule.value(next)
		switch {
		case reflect.DeepEqual(before, after):
		case rule.restartReason != "":
			restartRequired = append(restartRequired, fmt.Sprintf("%s: %s", rule.name, rule.restartReason))
		default:
			changed = append(changed, fmt.Sprintf("%s: %+v, was %+v", rule.name, after, before))
		}
	}
	if len(restartRequired) > 0 {
		return nil, fmt.Errorf("no setting was changed; changes of these settings require a restart:\n  %s",
			strings.Join(restartRequired, "\n  "))
	}
	return changed, nil
}
