package simulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"peppervale/internal/model"
)

type options struct {
	Zones      []string `json:"zones"`
	Membership string   `json:"membership_mode"`
	Classes    []struct {
		Objective float64 `json:"on_time"`
		Value     float64 `json:"credit"`
	} `json:"classes"`
	Extra struct {
		Admission    string  `json:"admission"`
		OwnZone      []bool  `json:"class_own_zone"`
		DefaultSize  float64 `json:"default_size"`
		Ejects       float64 `json:"fails_to_eject"`
		Period       float64 `json:"period"`
		Overhead     float64 `json:"overhead"`
		PendingMax   float64 `json:"pending_max"`
		MessagesMost float64 `json:"reloads_max"`
		MessagesSpan float64 `json:"reload_span"`
		Slices       float64 `json:"slices"`
		PushPrice    float64 `json:"push_price"`
		Proxies      float64 `json:"proxies"`
		ConnsLeast   float64 `json:"smallest_conn_table"`
	} `json:"extra"`
	Guarantees struct {
		Cold float64 `json:"cold"`
	} `json:"guarantees"`
	Stats struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"stats"`
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
}

// figureMost bounds every figure: a span of 11 days, or as many lines. Beyond it is a slip, and sums of them would not fit their types.
const figureMost = 1e9

func micros(ms float64) model.Microseconds { return model.Microseconds(math.Round(ms * 1000)) }

// Terms decodes the start settings; keys that it does not know are skipped.
func Terms(seed uint64, text []byte) (model.Config, error) {
	var o options
	if err := json.Unmarshal(text, &o); err != nil {
		return model.Config{}, fmt.Errorf("start settings: %w", err)
	}
	x := o.Extra
	switch {
	case len(o.Classes) == 0 || len(o.Classes) > 16:
		return model.Config{}, fmt.Errorf("start settings: %d classes, 1 to 16 are handled", len(o.Classes))
	case len(o.Zones) == 0:
		return model.Config{}, errors.New("start settings: no zones")
	case x.Slices != 0:
		return model.Config{}, errors.New("start settings: slices are not handled")
	case len(x.OwnZone) > len(o.Classes):
		return model.Config{}, fmt.Errorf("start settings: class_own_zone names %d classes of %d", len(x.OwnZone), len(o.Classes))
	case x.Period <= 0 || x.PendingMax <= 0:
		return model.Config{}, errors.New("start settings: period and pending_max must be above 0")
	case x.MessagesMost > 0 && x.MessagesSpan <= 0:
		return model.Config{}, errors.New("start settings: reloads_max needs a reload_span above 0")
	case o.Guarantees.Cold < 0 || o.Prices.CrossZone < 0 || x.Overhead < 0:
		return model.Config{}, errors.New("start settings: a cold time, price or overhead is below 0")
	}
	for name, figure := range map[string]float64{"extra.period": x.Period, "extra.pending_max": x.PendingMax, "extra.reload_span": x.MessagesSpan,
		"extra.overhead": x.Overhead, "extra.push_price": x.PushPrice, "extra.smallest_conn_table": x.ConnsLeast, "guarantees.cold": o.Guarantees.Cold,
		"prices.cross_zone": o.Prices.CrossZone, "extra.proxies": x.Proxies, "extra.default_size": x.DefaultSize, "extra.reloads_max": x.MessagesMost} {
		if figure < 0 || figure > figureMost {
			return model.Config{}, fmt.Errorf("start settings: %s is %g, 0 to %g is handled", name, figure, figureMost)
		}
	}
	t := model.Config{
		Seed: seed, ProxyCount: int(x.Proxies), MinReplicaConnections: int(x.ConnsLeast),
		Zones: len(o.Zones), SubscriptionRequired: o.Membership == "subscribe", AdmissionControl: x.Admission == "ratio",
		FullQuota: 1, ProxiesAvoidFailing: x.Ejects > 0, StandingTableSize: int(x.DefaultSize), ReportPeriod: micros(x.Period),
		MessageOverhead: int(math.Ceil(x.Overhead)), QueueLimit: int(x.PendingMax),
		MessageLimit: int(x.MessagesMost), MessageWindow: micros(x.MessagesSpan),
		CrossZoneCost: o.Prices.CrossZone, PublishCost: x.PushPrice, UtilizationField: -1, WarmUpPeriod: micros(o.Guarantees.Cold),
	}
	if x.Admission == "rps" {
		t.FullQuota = math.MaxFloat32
	}
	if o.Stats.How == "piggyback" {
		t.UtilizationField = slices.Index(o.Stats.Fields, "cpu_share")
	}
	for i, own := range x.OwnZone {
		if own {
			t.ZoneLocalOperations |= 1 << i
		}
	}
	for i, c := range o.Classes {
		if !(c.Objective > 0) || c.Objective > figureMost || c.Value < 0 || c.Value > figureMost {
			return model.Config{}, fmt.Errorf("start settings: class %d has no on_time above 0, or a credit below; %g at most", i, figureMost)
		}
		t.Operations = append(t.Operations, model.Operation{LatencyObjective: micros(c.Objective), PriorityWeight: c.Value})
	}
	return t, nil
}
