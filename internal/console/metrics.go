package console

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"peppervale/internal/cluster"
	"peppervale/internal/console/httpserver"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
)

const (
	metricsPrefix  = "peppervale_"
	metricsTimeout = 2 * time.Second
)

// metricsState is the state that the metrics of one scrape are read from.
type metricsState struct {
	stats pubsub.Stats
	view  *controller.View
	port  cluster.Status // the zero value without a cluster

	evictedViewers uint64 // connections of the console that were closed because too many were open
	now            model.Microseconds
}

// metric is a metric whose only label is the controller's name. Monitoring relies on its name, type and help text: they
// must not change.
type metric struct {
	name  string
	help  string
	kind  prometheus.ValueType
	value func(state metricsState) float64
}

func gauge(name, help string, value func(metricsState) float64) metric {
	return metric{name: name, help: help, kind: prometheus.GaugeValue, value: value}
}

// counter is a metric that only grows within an incarnation.
func counter(name, help string, value func(metricsState) float64) metric {
	return metric{name: name, help: help, kind: prometheus.CounterValue, value: value}
}

var channelMetrics = []metric{
	gauge("forwarders", "Forwarders joined.",
		func(m metricsState) float64 { return float64(m.stats.Proxies) }),
	gauge("connections", "Connections open on the channel.",
		func(m metricsState) float64 { return float64(m.stats.Connections) }),
	counter("version", "Version published.",
		func(m metricsState) float64 { return float64(m.stats.Version) }),
	gauge("queue_lines", "Lines that wait for the channel's pace.",
		func(m metricsState) float64 { return float64(m.stats.QueuedEntries) }),
	gauge("unsent_bytes", "Bytes that wait for peers to read them.",
		func(m metricsState) float64 { return float64(m.stats.UnsentBytes) }),
	gauge("held_bytes", "Memory of commands that have not arrived completely.",
		func(m metricsState) float64 { return float64(m.stats.HeldBytes) }),
	counter("peers_over_memory_total", "Peers ended because of the memory of such a command.",
		func(m metricsState) float64 { return float64(m.stats.OverMemory) }),
	counter("peers_not_reading_total", "Peers ended because they did not read their replies.",
		func(m metricsState) float64 { return float64(m.stats.UnreadReplies) }),
	counter("names_forgotten_total", "Names of proxies that were forgotten for new ones.",
		func(m metricsState) float64 { return float64(m.stats.NamesForgotten) }),
	counter("streams_silent_total", "Streams ended because their proxies were silent.",
		func(m metricsState) float64 { return float64(m.stats.Silent) }),
	counter("incarnations_raised_total", "Joins that showed that the incarnation was used before.",
		func(m metricsState) float64 { return float64(m.stats.IncarnationsRaised) }),
	counter("messages_total", "Messages sent to forwarders.",
		func(m metricsState) float64 { return float64(m.stats.Messages) }),
	counter("lines_total", "Lines sent to forwarders, by cost.",
		func(m metricsState) float64 { return float64(m.stats.Entries) }),
	counter("snapshot_folds_total", "Slow readers whose changes were folded.",
		func(m metricsState) float64 { return float64(m.stats.SnapshotFolds) }),
	counter("resyncs_total", "Snapshots asked for by forwarders.",
		func(m metricsState) float64 { return float64(m.stats.Resyncs) }),
	counter("faults_total", "Connections ended for what came over them.",
		func(m metricsState) float64 { return float64(m.stats.ProtocolErrors) }),
	counter("joins_deferred_total", "Joins put off.",
		func(m metricsState) float64 { return float64(m.stats.JoinsDeferred) }),
	counter("peers_put_off_total", "Peers put off for sending too many commands.",
		func(m metricsState) float64 { return float64(m.stats.RateLimited) }),
}

var controllerMetrics = []metric{
	gauge("group_held_bytes", "Memory of requests at the cluster port that have not arrived completely.",
		func(m metricsState) float64 { return float64(m.port.HeldBytes) }),
	counter("group_peers_over_memory_total", "Connections to the cluster port ended because of this memory.",
		func(m metricsState) float64 { return float64(m.port.OverMemory) }),
	counter("console_connections_closed_total", "Connections to the console closed because too many were open.",
		func(m metricsState) float64 { return float64(m.evictedViewers) }),
	gauge("gate_open", "1 while the gate is open.",
		func(m metricsState) float64 { return oneIf(m.view.SafeModeEnded) }),
	gauge("replicas_ready", "Replicas listed as ready.",
		func(m metricsState) float64 { return float64(m.view.ReadyReplicas) }),
	gauge("list_age_seconds", "Since a whole machine list came; -1: none in this life.",
		endpointListAge),
	gauge("proxies_deferred", "Proxies that wait for a part of an update, as the send window has no capacity for it.",
		func(m metricsState) float64 { return float64(m.view.DeferredProxies) }),
	counter("list_polls_failed_total", "Failed polls of the endpoint list of which the balancer was notified.",
		func(m metricsState) float64 { return float64(m.view.FailedPolls) }),
	counter("list_subscriptions_total", "Subscriptions to the endpoint list that the balancer started.",
		func(m metricsState) float64 { return float64(m.view.Subscriptions) }),
	counter("sum_folds_total", "Sums folded because the decisions take no more.",
		func(m metricsState) float64 { return float64(m.view.MergedReports) }),
	counter("sums_dropped_total", "Load reports on replicas that no endpoint list has named.",
		func(m metricsState) float64 { return float64(m.view.DroppedReports) }),
	counter("steps_total", "Steps taken.",
		func(m metricsState) float64 { return float64(m.view.Steps) }),
	gauge("worst_step_seconds", "The longest step of this life.",
		func(m metricsState) float64 { return m.view.LongestStep.Duration().Seconds() }),
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// endpointListAge returns the seconds since a full endpoint list was received, or -1 if none has been received.
func endpointListAge(state metricsState) float64 {
	if state.view.EndpointsAt == 0 {
		return -1
	}
	return (state.now - state.view.EndpointsAt).Duration().Seconds()
}

// metricsCollector reads the metrics when they are scraped.
type metricsCollector struct {
	instance     Instance
	source       Source
	server       *httpserver.Server
	metrics      []metric
	descriptions []*prometheus.Desc // in the order of metrics
}

func newMetricsHandler(instance Instance, source Source, server *httpserver.Server) http.Handler {
	collector := &metricsCollector{instance: instance, source: source, server: server}
	collector.metrics = append(collector.metrics, channelMetrics...)
	collector.metrics = append(collector.metrics, controllerMetrics...)
	labels := prometheus.Labels{"governor": instance.Name}
	for _, metric := range collector.metrics {
		description := prometheus.NewDesc(metricsPrefix+metric.name, metric.help, nil, labels)
		collector.descriptions = append(collector.descriptions, description)
	}
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(collector)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{Timeout: metricsTimeout, DisableCompression: true})
}

// Describe implements prometheus.Collector.
func (c *metricsCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range c.descriptions {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector. It does not request a detailed view.
func (c *metricsCollector) Collect(values chan<- prometheus.Metric) {
	state := metricsState{stats: c.source.Stats(), view: c.source.View(), now: c.instance.Now()}
	state.evictedViewers = c.server.EvictedConnections()
	if c.instance.Cluster != nil {
		state.port = c.instance.Cluster()
	}
	if state.view == nil {
		state.view = &controller.View{}
	}
	for i, metric := range c.metrics {
		values <- prometheus.MustNewConstMetric(c.descriptions[i], metric.kind, metric.value(state))
	}
}
