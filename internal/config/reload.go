package config

import (
	"fmt"
	"reflect"
	"strings"
)

// setting is a part of a governor's file: where it stands, what it holds, and why it cannot change in service; "" if it can.
type setting struct {
	name string
	of   func(*Server) any
	held string
}

const (
	onWire  = "its numbers stand on the wire and in what forwarders hold"
	decides = "the decisions start with it, and what was learnt rests on it"
	bound   = "its socket is open"
)

// inService tells of each setting whether a running governor can take another one. What is not here cannot: Reload compares the
// rest of the file too.
var inService = []setting{
	{"governor: the name", func(g *Server) any { return g.Name }, "logs, pages and the list's caller carry it"},
	{"governor: listen", func(g *Server) any { return g.Listen }, bound},
	{"governor: state", func(g *Server) any { return g.State }, "the folder is locked and open"},
	{"governor: seed", func(g *Server) any { return g.Balancer.Seed }, "chance is drawn from it since the start"},
	{"governor: log", func(g *Server) any { return g.LogLevel }, ""},
	{"governor: farewell", func(g *Server) any { return g.ShutdownGracePeriod }, ""},
	{"zones", func(g *Server) any { return g.Zones }, onWire},
	{"operation", func(g *Server) any { return g.Operations }, onWire},
	{"channel: pace", func(g *Server) any { return g.Pace }, "what waits was given its time by it"},
	{"channel: intake", func(g *Server) any { return g.ReportLimit }, ""},
	{"channel: connections, observers, unsent_bytes, unsent_all_bytes, greeting, commands, joins, joined_most", func(g *Server) any { return g.Limits }, ""},
	{"group", func(g *Server) any { return g.Cluster }, "what the group has agreed on rests on it; restart one member after the other"},
	{"console: listen", func(g *Server) any { return g.Console }, bound},
	{"machine_list", func(g *Server) any { return g.Discovery }, "a call to it is under way"},
	{"fleet, rules, channel: queue, overhead, period, messages_most", func(g *Server) any {
		t := g.Balancer
		t.Seed, t.Zones, t.Operations = 0, 0, nil
		return t
	}, decides},
	{"fleet, rules: what only checkers read", func(g *Server) any { return g.Guarantees }, decides},
}

// Reload compares the file in force with a new reading of it. The file is taken as a whole: if anything in it cannot change in service
// the error names each such setting with its reason, and the old file stays in force. Otherwise changed names what did.
func Reload(old, next *Server) (changed []string, err error) {
	var refused []string
	for _, s := range inService {
		was, is := s.of(old), s.of(next)
		switch {
		case reflect.DeepEqual(was, is):
		case s.held != "":
			refused = append(refused, fmt.Sprintf("%s: %s", s.name, s.held))
		default:
			changed = append(changed, fmt.Sprintf("%s: %+v, was %+v", s.name, is, was))
		}
	}
	if len(refused) > 0 {
		return nil, fmt.Errorf("the old settings stay in force, all of them; these need a restart:\n  %s", strings.Join(refused, "\n  "))
	}
	return changed, nil
}
