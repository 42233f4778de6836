package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"peppervale/fleet"
)

type options struct {
	Zones      []string `json:"zones"`
	Membership string   `json:"membership_mode"`
	Classes    []struct {
		Objective float64 `json:"on_time"`
		Timeout   float64 `json:"give_up"`
		Value     float64 `json:"credit"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		Window    float64 `json:"window"`
	} `json:"classes"`
	Extra struct {
		Admission    string  `json:"admission"`
		BaseMode     int     `json:"base_mode"`
		FirstWait    float64 `json:"first_wait"`
		OwnZone      []bool  `json:"class_own_zone"`
		DefaultSize  int     `json:"default_size"`
		Period       float64 `json:"period"`
		Overhead     float64 `json:"overhead"`
		PendingMax   float64 `json:"pending_max"`
		PushRate     float64 `json:"push_rate"`
		MessagesMost int     `json:"reloads_max"`
		MessagesSpan float64 `json:"reload_span"`
		Bare         float64 `json:"bare"`
		Slices       int     `json:"slices"`
	} `json:"extra"`
	Guarantees struct {
		Grace float64 `json:"stop_sending_within"`
		Cold  float64 `json:"cold"`
	} `json:"guarantees"`
	Stats struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"stats"`
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
}

var repeats = map[string]fleet.Repeat{
	"idempotent": fleet.Idempotent, "deduplicated": fleet.Fingerprinted, "at_most_once": fleet.SideEffecting,
}

var groups = map[string]fleet.Group{"all": fleet.GroupAll, "zone": fleet.GroupZone, "cell": fleet.GroupCell}

func micros(ms float64) fleet.Micros { return fleet.Micros(math.Round(ms * 1000)) }

// Terms decodes the start settings; keys that it does not know are skipped.
func Terms(text []byte) (fleet.Terms, error) {
	var o options
	if err := json.Unmarshal(text, &o); err != nil {
		return fleet.Terms{}, fmt.Errorf("start settings: %w", err)
	}
	x := o.Extra
	switch {
	case len(o.Classes) == 0 || len(o.Classes) > 16:
		return fleet.Terms{}, fmt.Errorf("start settings: %d classes, 1 to 16 are handled", len(o.Classes))
	case len(o.Zones) == 0:
		return fleet.Terms{}, errors.New("start settings: no zones")
	case x.Slices != 0:
		return fleet.Terms{}, errors.New("start settings: slices are not handled")
	case x.Period <= 0 || x.PendingMax <= 0 || x.PushRate <= 0:
		return fleet.Terms{}, errors.New("start settings: period, pending_max and push_rate must be above 0")
	case x.MessagesMost > 0 && x.MessagesSpan <= 0:
		return fleet.Terms{}, errors.New("start settings: reloads_max needs a reload_span above 0")
	case o.Guarantees.Grace <= 0 || o.Guarantees.Cold < 0 || o.Prices.CrossZone < 0 || x.Overhead < 0:
		return fleet.Terms{}, errors.New("start settings: a grace, cold time, price or overhead is out of range")
	}
	t := fleet.Terms{
		Zones: len(o.Zones), Subscribe: o.Membership == "subscribe", Admits: x.Admission == "ratio",
		BaseWay: fleet.Way(x.BaseMode), FirstWait: x.FirstWait, StandingSize: x.DefaultSize,
		Period: micros(x.Period), Overhead: int(math.Ceil(x.Overhead)), QueueMost: int(x.PendingMax),
		LineRate: x.PushRate, MessagesMost: x.MessagesMost, MessagesSpan: micros(x.MessagesSpan),
		CrossPrice: o.Prices.CrossZone, Grace: micros(o.Guarantees.Grace), Cold: micros(o.Guarantees.Cold),
		Bare: micros(x.Bare), BusyField: -1,
	}
	if o.Stats.How == "piggyback" {
		t.BusyField = slices.Index(o.Stats.Fields, "cpu_share")
	}
	for i, c := range o.Classes {
		repeat, ok := repeats[c.Effect]
		if !ok {
			return fleet.Terms{}, fmt.Errorf("start settings: class %d has the unknown effect %q", i, c.Effect)
		}
		group, ok := groups[c.Group]
		if !ok && repeat == fleet.Fingerprinted {
			return fleet.Terms{}, fmt.Errorf("start settings: class %d has the unknown group %q", i, c.Group)
		}
		if !(c.Objective > 0) {
			return fleet.Terms{}, fmt.Errorf("start settings: class %d has no on_time above 0", i)
		}
		t.Operations = append(t.Operations, fleet.Operation{
			Objective: micros(c.Objective), Timeout: micros(c.Timeout), Value: c.Value, Repeat: repeat, Group: group,
			Window: micros(c.Window), OwnZone: i < len(x.OwnZone) && x.OwnZone[i],
		})
	}
	return t, nil
}
