package config

import (
	"fmt"
	"reflect"
	"strings"
)

// setting is a part of a governor's file: where it stands, what it holds, and why it cannot change in service; "" if it can.
type setting struct {
	name string
	of   func(*Governor) any
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
	{"governor: the name", func(g *Governor) any { return g.Name }, "logs, pages and the list's caller carry it"},
	{"governor: listen", func(g *Governor) any { return g.Listen }, bound},
	{"governor: state", func(g *Governor) any { return g.State }, "the folder is locked and open"},
	{"governor: seed", func(g *Governor) any { return g.Terms.Seed }, "chance is drawn from it since the start"},
	{"governor: log", func(g *Governor) any { return g.LogLevel }, ""},
	{"governor: farewell", func(g *Governor) any { return g.FarewellSpan }, ""},
	{"zones", func(g *Governor) any { return g.Zones }, onWire},
	{"operation", func(g *Governor) any { return g.Operations }, onWire},
	{"channel: pace", func(g *Governor) any { return g.Pace }, "what waits was given its time by it"},
	{"channel: intake", func(g *Governor) any { return g.Intake }, ""},
	{"channel: connections, observers, unsent_bytes, unsent_all_bytes, greeting, commands, joins, joined_most", func(g *Governor) any { return g.Peers }, ""},
	{"group", func(g *Governor) any { return g.Group }, "what the group has agreed on rests on it; restart one member after the other"},
	{"console: listen", func(g *Governor) any { return g.Console }, bound},
	{"machine_list", func(g *Governor) any { return g.List }, "a call to it is under way"},
	{"fleet, rules, channel: queue, overhead, period, messages_most", func(g *Governor) any {
		t := g.Terms
		t.Seed, t.Zones, t.Operations = 0, 0, nil
		return t
	}, decides},
	{"fleet, rules: what only checkers read", func(g *Governor) any { return g.Guarantees }, decides},
}

// Reload compares the file in force with a new reading of it. The file is taken as a whole: if anything in it cannot change in service
// the error names each such setting with its reason, and the old file stays in force. Otherwise changed names what did.
func Reload(old, next *Governor) (changed []string, err error) {
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
