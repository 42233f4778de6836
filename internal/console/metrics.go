package console

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
)

// figures are what /metrics tells, each read from the figures that the pages read. A counter only grows within a life.
var figures = []struct {
	name, help string
	kind       prometheus.ValueType
	of         func(pubsub.Stats, *controller.View, model.Microseconds) float64
}{
	{"forwarders", "Forwarders joined.", prometheus.GaugeValue, func(s pubsub.Stats, _ *controller.View, _ model.Microseconds) float64 { return float64(s.Forwarders) }},
	{"connections", "Connections open on the channel.", prometheus.GaugeValue, func(s pubsub.Stats, _ *controller.View, _ model.Microseconds) float64 { return float64(s.Connections) }},
	{"version", "Version published.", prometheus.CounterValue, func(s pubsub.Stats, _ *controller.View, _ model.Microseconds) float64 { return float64(s.Version) }},
	{"queue_lines", "Lines that wait for the channel's pace.", prometheus.GaugeValue, func(s pubsub.Stats, _ *controller.View, _ model.Microseconds) float64 { return float64(s.Queue) }},
	{"unsent_bytes", "Bytes that wait for peers to read them.", prometheus.GaugeValue, func(s pubsub.Stats, _ *controller.View, _ model.Microseconds) float64 { return float64(s.Unsent) }},
	{"messages_total", "Messages sent to forwarders.", prometheus.CounterValue, func(s pubsub.Stats, _ *controller.View, _ model.Microseconds) float64 { return float64(s.Messages) }},
	{"lines_total", "Lines sent to forwarders, by cost.", prometheus.CounterValue, func(s pubsub.Stats, _ *controller.View, _ model.Microseconds) float64 { return float64(s.Lines) }},
	{"snapshot_folds_total", "Slow readers whose changes were folded.", prometheus.CounterValue, func(s pubsub.Stats, _ *controller.View, _ model.Microseconds) float64 { return float64(s.Folds) }},
	{"resyncs_total", "Snapshots asked for by forwarders.", prometheus.CounterValue, func(s pubsub.Stats, _ *controller.View, _ model.Microseconds) float64 { return float64(s.Resyncs) }},
	{"faults_total", "Connections ended for what came over them.", prometheus.CounterValue, func(s pubsub.Stats, _ *controller.View, _ model.Microseconds) float64 { return float64(s.Faults) }},
	{"joins_deferred_total", "Joins put off.", prometheus.CounterValue, func(s pubsub.Stats, _ *controller.View, _ model.Microseconds) float64 { return float64(s.Deferred) }},
	{"peers_put_off_total", "Peers put off for sending too many commands.", prometheus.CounterValue, func(s pubsub.Stats, _ *controller.View, _ model.Microseconds) float64 { return float64(s.PutOff) }},
	{"gate_open", "1 while the gate is open.", prometheus.GaugeValue, func(_ pubsub.Stats, v *controller.View, _ model.Microseconds) float64 {
		if v.SafeModeEnded {
			return 1
		}
		return 0
	}},
	{"replicas_ready", "Replicas listed as ready.", prometheus.GaugeValue, func(_ pubsub.Stats, v *controller.View, _ model.Microseconds) float64 {
		return float64(v.ReadyReplicas)
	}},
	{"list_age_seconds", "Since a whole machine list came; -1: none in this life.", prometheus.GaugeValue, func(_ pubsub.Stats, v *controller.View, now model.Microseconds) float64 {
		if v.EndpointsAt == 0 {
			return -1
		}
		return (now - v.EndpointsAt).Duration().Seconds()
	}},
	{"sum_folds_total", "Sums folded because the decisions take no more.", prometheus.CounterValue, func(_ pubsub.Stats, v *controller.View, _ model.Microseconds) float64 {
		return float64(v.MergedReports)
	}},
	{"steps_total", "Steps taken.", prometheus.CounterValue, func(_ pubsub.Stats, v *controller.View, _ model.Microseconds) float64 { return float64(v.Steps) }},
	{"worst_step_seconds", "The longest step of this life.", prometheus.GaugeValue, func(_ pubsub.Stats, v *controller.View, _ model.Microseconds) float64 {
		return v.LongestStep.Duration().Seconds()
	}},
}

// collector reads the figures when they are asked for.
type collector struct {
	about Instance
	from  Source
	descs []*prometheus.Desc
}

func newMetrics(about Instance, from Source) http.Handler {
	c := &collector{about: about, from: from}
	for _, f := range figures {
		c.descs = append(c.descs, prometheus.NewDesc("peppervale_"+f.name, f.help, nil, prometheus.Labels{"governor": about.Name}))
	}
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(c)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{Timeout: 2 * time.Second, DisableCompression: true})
}

// Describe is prometheus.Collector's.
func (c *collector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range c.descs {
		to <- d
	}
}

// Collect is prometheus.Collector's. It does not ask for a look.
func (c *collector) Collect(to chan<- prometheus.Metric) {
	st, v, now := c.from.Stats(), c.from.View(), c.about.Now()
	if v == nil {
		v = &controller.View{}
	}
	for i, f := range figures {
		to <- prometheus.MustNewConstMetric(c.descs[i], f.kind, f.of(st, v, now))
	}
}
