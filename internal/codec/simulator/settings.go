package simulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"peppervale/internal/model"
)

// options holds the settings as the simulator sends them, with times in milliseconds. Decoding errors are sent to the
// simulator and contain the name of this type. The name must not change, and the nested types must stay unnamed.
type options struct {
	Zones      []string `json:"zones"`
	Membership string   `json:"membership_mode"`
	Classes    []struct {
		LatencyObjective float64 `json:"on_time"`
		PriorityWeight   float64 `json:"credit"`
	} `json:"classes"`
	Extra struct {
		Admission             string  `json:"admission"`
		ZoneLocal             []bool  `json:"class_own_zone"`
		StandingTableSize     float64 `json:"default_size"`
		FailuresToAvoid       float64 `json:"fails_to_eject"`
		ReportPeriod          float64 `json:"period"`
		MessageOverhead       float64 `json:"overhead"`
		QueueLimit            float64 `json:"pending_max"`
		MessageLimit          float64 `json:"reloads_max"`
		MessageWindow         float64 `json:"reload_span"`
		Slices                float64 `json:"slices"`
		PublishCost           float64 `json:"push_price"`
		Proxies               float64 `json:"proxies"`
		MinReplicaConnections float64 `json:"smallest_conn_table"`
	} `json:"extra"`
	Guarantees struct {
		WarmUpPeriod float64 `json:"cold"`
	} `json:"guarantees"`
	Stats struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"stats"`
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
}

// Values of settings.
const (
	membershipSubscribe = "subscribe" // the endpoint list is sent only to subscribers
	admissionFraction   = "ratio"     // quotas are fractions
	admissionRate       = "rps"       // quotas are requests per second
	statsInReports      = "piggyback" // load reports carry the replicas' readings
	fieldUtilization    = "cpu_share"
)

// maxSettingValue bounds every number of the settings: a count, or a duration in milliseconds (11 days). Larger values
// are mistakes, and their sums could overflow.
const maxSettingValue = 1e9

func isInRange(value float64) bool { return value >= 0 && value <= maxSettingValue }

// ParseSettings decodes an instance's settings. Unknown keys are ignored. The error names the invalid setting.
func ParseSettings(seed uint64, text []byte) (model.Config, error) {
	var decoded options
	err := json.Unmarshal(text, &decoded)
	if err == nil {
		err = decoded.check()
	}
	if err != nil {
		return model.Config{}, fmt.Errorf("start settings: %w", err)
	}
	return decoded.config(seed), nil
}

// check returns an error if the balancer cannot run with the settings.
func (o *options) check() error {
	if err := o.checkRequired(); err != nil {
		return err
	}
	if err := o.checkRanges(); err != nil {
		return err
	}
	return o.checkClasses()
}

// checkRequired returns an error if a required setting is missing or not supported, or if settings contradict each
// other.
func (o *options) checkRequired() error {
	extra := &o.Extra
	switch {
	case len(o.Classes) == 0 || len(o.Classes) > model.MaxOperations:
		return fmt.Errorf("%d classes, 1 to %d are handled", len(o.Classes), model.MaxOperations)
	case len(o.Zones) == 0:
		return errors.New("no zones")
	case extra.Slices != 0:
		return errors.New("slices are not handled")
	case len(extra.ZoneLocal) > len(o.Classes):
		return fmt.Errorf("class_own_zone names %d classes of %d", len(extra.ZoneLocal), len(o.Classes))
	case extra.ReportPeriod <= 0 || extra.QueueLimit <= 0:
		return errors.New("period and pending_max must be above 0")
	case extra.MessageLimit > 0 && extra.MessageWindow <= 0:
		return errors.New("reloads_max needs a reload_span above 0")
	case o.Guarantees.WarmUpPeriod < 0 || o.Prices.CrossZone < 0 || extra.MessageOverhead < 0:
		return errors.New("a cold time, price or overhead is below 0")
	}
	return nil
}

// checkRanges returns an error if a number is not within 0 and maxSettingValue.
func (o *options) checkRanges() error {
	for _, setting := range []struct {
		key   string
		value float64
	}{
		{"extra.period", o.Extra.ReportPeriod},
		{"extra.pending_max", o.Extra.QueueLimit},
		{"extra.reload_span", o.Extra.MessageWindow},
		{"extra.overhead", o.Extra.MessageOverhead},
		{"extra.push_price", o.Extra.PublishCost},
		{"extra.smallest_conn_table", o.Extra.MinReplicaConnections},
		{"guarantees.cold", o.Guarantees.WarmUpPeriod},
		{"prices.cross_zone", o.Prices.CrossZone},
		{"extra.proxies", o.Extra.Proxies},
		{"extra.default_size", o.Extra.StandingTableSize},
		{"extra.reloads_max", o.Extra.MessageLimit},
	} {
		if !isInRange(setting.value) {
			return fmt.Errorf("%s is %g, 0 to %g is handled", setting.key, setting.value, maxSettingValue)
		}
	}
	return nil
}

func (o *options) checkClasses() error {
	for i, class := range o.Classes {
		hasObjective := class.LatencyObjective > 0 && class.LatencyObjective <= maxSettingValue
		if !hasObjective || !isInRange(class.PriorityWeight) {
			return fmt.Errorf("class %d has no on_time above 0, or a credit below; %g at most", i, maxSettingValue)
		}
	}
	return nil
}

// config converts settings for which check returned no error.
func (o *options) config(seed uint64) model.Config {
	config := model.Config{
		Seed:                  seed,
		ZoneLocalOperations:   o.zoneLocalOperations(),
		Zones:                 len(o.Zones),
		ProxyCount:            int(o.Extra.Proxies),
		MinReplicaConnections: int(o.Extra.MinReplicaConnections),
		SubscriptionRequired:  o.Membership == membershipSubscribe,
		WarmUpPeriod:          fromMilliseconds(o.Guarantees.WarmUpPeriod),
		ReportPeriod:          fromMilliseconds(o.Extra.ReportPeriod),
		UtilizationField:      o.utilizationField(),
		AdmissionControl:      o.Extra.Admission == admissionFraction,
		FullQuota:             1,
		ProxiesAvoidFailing:   o.Extra.FailuresToAvoid > 0,
		StandingTableSize:     int(o.Extra.StandingTableSize),
		MessageOverhead:       int(math.Ceil(o.Extra.MessageOverhead)),
		QueueLimit:            int(o.Extra.QueueLimit),
		MessageLimit:          int(o.Extra.MessageLimit),
		MessageWindow:         fromMilliseconds(o.Extra.MessageWindow),
		CrossZoneCost:         o.Prices.CrossZone,
		PublishCost:           o.Extra.PublishCost,
	}
	if o.Extra.Admission == admissionRate {
		config.FullQuota = math.MaxFloat32
	}
	for _, class := range o.Classes {
		config.Operations = append(config.Operations, model.Operation{
			LatencyObjective: fromMilliseconds(class.LatencyObjective),
			PriorityWeight:   class.PriorityWeight,
		})
	}
	return config
}

// zoneLocalOperations returns the operations whose requests stay in the proxy's zone: bit n is set for operation n.
func (o *options) zoneLocalOperations() uint16 {
	mask := uint16(0)
	for i, isZoneLocal := range o.Extra.ZoneLocal {
		if isZoneLocal {
			mask |= 1 << i
		}
	}
	return mask
}

// utilizationField returns the index of the CPU utilization among the readings of a load report, or -1 if load reports
// do not contain it.
func (o *options) utilizationField() int {
	if o.Stats.How != statsInReports {
		return -1
	}
	return slices.Index(o.Stats.Fields, fieldUtilization)
}

func fromMilliseconds(milliseconds float64) model.Microseconds {
	return model.Microseconds(math.Round(milliseconds * float64(model.Millisecond)))
}
