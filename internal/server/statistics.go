package server

import (
	"runtime"

	"github.com/rs/zerolog"

	"peppervale/internal/controller"
	"peppervale/internal/platform"
	"peppervale/internal/pubsub"
)

const (
	statisticsMessage = "statistics"

	mebibyte = 1 << 20 // bytes
)

// logStatistics logs the statistics of an instance. It logs nothing before the controller's first step.
func logStatistics(log zerolog.Logger, source *controller.Controller, proxyServer *pubsub.Server) {
	stats := proxyServer.Stats()
	view := source.View()
	if view == nil {
		return
	}
	event := log.Info().
		Int("proxies", stats.Proxies).
		Uint64("version", stats.Version)
	addControllerState(event, view).
		Int("max_queued_entries", stats.MaxQueuedEntries).
		Uint64("messages", stats.Messages).
		Uint64("entries", stats.Entries).
		Uint64("snapshot_fallbacks", stats.SnapshotFolds).
		Uint64("resyncs", stats.Resyncs).
		Uint64("merged_reports", view.MergedReports).
		Uint64("dropped_reports", view.DroppedReports).
		Uint64("protocol_errors", stats.ProtocolErrors).
		Uint64("rate_limited_peers", stats.RateLimited).
		Int64("unsent_bytes", stats.UnsentBytes).
		Int64("held_bytes", stats.HeldBytes).
		Uint64("over_memory_peers", stats.OverMemory).
		Uint64("unread_replies", stats.UnreadReplies).
		Uint64("forgotten_names", stats.NamesForgotten).
		Uint64("silent_streams", stats.Silent).
		Uint64("raised_incarnations", stats.IncarnationsRaised).
		Int64("longest_step_us", int64(view.LongestStep)).
		Msg(statisticsMessage)
}

// addControllerState adds the fields that the statistics of every instance have.
func addControllerState(event *zerolog.Event, view *controller.View) *zerolog.Event {
	return event.
		Bool("safe_mode_ended", view.SafeModeEnded).
		Int("ready_replicas", view.ReadyReplicas).
		Int("deferred_proxies", view.DeferredProxies).
		Uint64("failed_polls", view.FailedPolls).
		Uint64("subscriptions", view.Subscriptions)
}

// logPlatformStatistics logs the statistics of an instance on the operators' platform. It logs nothing before the
// controller's first step.
func logPlatformStatistics(log zerolog.Logger, source *controller.Controller, proxyServer *platform.Server) {
	stats := proxyServer.Stats()
	view := source.DetailedView()
	if view == nil {
		return
	}
	event := addControllerState(log.Info().Interface("server", stats), view).
		Uint64("steps", view.Steps).
		Int64("longest_step_us", int64(view.LongestStep))
	if view.Detail != nil {
		balancer := view.Detail.Balancer
		event = event.
			Float64("saturation", balancer.Saturation).
			Float64("normalized_latency", balancer.NormalizedLatency).
			Int("unacked_entries", balancer.UnackedEntries).
			Int("queue_refusals", balancer.QueueRefusals).
			Int("message_refusals", balancer.MessageRefusals).
			Floats64("quotas", balancer.Quotas).
			Int("unreported_replicas", len(balancer.UnreportedReplicas))
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	event.
		Uint64("heap_mb", memory.HeapAlloc/mebibyte).
		Uint64("sys_mb", memory.Sys/mebibyte).
		Int("goroutines", runtime.NumGoroutine()).
		Msg(statisticsMessage)
}
