package config

import (
	"fmt"
	"reflect"
	"strings"
)

// reloadRule says whether a running instance can adopt a change of one part of a file.
type reloadRule struct {
	name          string
	value         func(*Server) any
	restartReason string // why a change needs a restart; "" if it can be adopted
}

// Reasons that several parts share.
const (
	reasonOnWire   = "its numbers are on the wire and in tables that proxies hold"
	reasonBalancer = "the balancer starts with it, and its statistics depend on it"
	reasonSocket   = "its socket is open"
)

// reloadRules covers every part of a file; Reload compares no other.
var reloadRules = []reloadRule{
	{"governor: the name", func(s *Server) any { return s.Name }, "logs, pages and the endpoint list's log carry it"},
	{"governor: listen", func(s *Server) any { return s.ListenAddress }, reasonSocket},
	{"governor: state", func(s *Server) any { return s.StateDir }, "the directory is locked and open"},
	{"governor: seed", func(s *Server) any { return s.Balancer.Seed }, "random numbers are drawn from it since the start"},
	{"governor: log", func(s *Server) any { return s.LogLevel }, ""},
	{"governor: farewell", func(s *Server) any { return s.ShutdownGracePeriod }, ""},
	{"zones", func(s *Server) any { return s.Zones }, reasonOnWire},
	{"operation", func(s *Server) any { return s.Operations }, reasonOnWire},
	{"channel: pace", func(s *Server) any { return s.ChannelRate }, "what waits was given its time by it"},
	{"channel: intake", func(s *Server) any { return s.ReportLimit }, ""},
	{
		"channel: connections, observers, unsent_bytes, unsent_all_bytes, greeting, commands, joins, joined_most",
		func(s *Server) any { return s.PeerLimits }, "",
	},
	{
		"group", func(s *Server) any { return s.Cluster },
		"what the cluster has agreed on depends on it; restart one member after the other",
	},
	{"console: listen", func(s *Server) any { return s.ConsoleAddress }, reasonSocket},
	{"machine_list", func(s *Server) any { return s.Discovery }, "a poll is in flight"},
	{"fleet, rules, channel: queue, overhead, period, messages_most", remainingBalancerConfig, reasonBalancer},
	{"fleet, rules: what only checkers read", func(s *Server) any { return s.Guarantees }, reasonBalancer},
}

// remainingBalancerConfig is the balancer's configuration without what other rules cover.
func remainingBalancerConfig(s *Server) any {
	balancer := s.Balancer
	balancer.Seed = 0
	balancer.Zones = 0
	balancer.Operations = nil
	return balancer
}

// Reload compares the file in force with a new reading of it. The file is adopted completely or not at all: if
// anything in it cannot change while the instance runs, the error names each such part with its reason, and the old
// file stays in force. Otherwise changed describes each part that differs.
func Reload(old, next *Server) (changed []string, err error) {
	var needRestart []string
	for _, rule := range reloadRules {
		before, after := rule.value(old), rule.value(next)
		switch {
		case reflect.DeepEqual(before, after):
		case rule.restartReason != "":
			needRestart = append(needRestart, fmt.Sprintf("%s: %s", rule.name, rule.restartReason))
		default:
			changed = append(changed, fmt.Sprintf("%s: %+v, was %+v", rule.name, after, before))
		}
	}
	if len(needRestart) > 0 {
		return nil, fmt.Errorf("the old settings stay in force, all of them; these need a restart:\n  %s",
			strings.Join(needRestart, "\n  "))
	}
	return changed, nil
}
