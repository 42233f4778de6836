package controller

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"peppervale/internal/balancer"
	"peppervale/internal/model"
)

// BenchmarkDetail measures a step alone, with the decision log and with a detail, at three fleet sizes.
func BenchmarkDetail(b *testing.B) {
	for _, size := range []struct{ proxies, replicas int }{{100, 30}, {482, 305}, {5000, 1000}} {
		bench := newStepBenchmark(size.proxies, size.replicas)
		name := fmt.Sprint(size.proxies, "x", size.replicas)
		b.Run(name+"/plain", func(b *testing.B) { bench.measureSteps(b, func() {}) })
		b.Run(name+"/decisions", func(b *testing.B) {
			bench.measureSteps(b, func() {
				bench.controller.decisions.addTimer()
				bench.controller.decisions.closeStep(bench.now, bench.controller.pending.Updates)
			})
		})
		b.Run(name+"/detail", func(b *testing.B) {
			bench.measureSteps(b, func() { bench.controller.views.detail = bench.controller.copyDetail(bench.now) })
		})
	}
}

// stepBenchmark drives a controller's balancer without its event loop.
type stepBenchmark struct {
	controller *Controller
	replicas   []model.Endpoint
	proxies    int
	now        model.Microseconds
}

func newStepBenchmark(proxies, replicas int) *stepBenchmark {
	config := model.Config{
		Seed: 1, Operations: []model.Operation{{LatencyObjective: 500_000, PriorityWeight: 1}},
		Zones: 4, AdmissionControl: true, FullQuota: 1, StandingTableSize: 6, ReportPeriod: model.Second,
		MessageOverhead: 6, QueueLimit: 1000 * proxies, UtilizationField: -1, WarmUpPeriod: 17 * model.Second,
		ProxyCount: proxies, MinReplicaConnections: 200,
	}
	bench := &stepBenchmark{
		controller: New(config, 100_000, NewClock(), zerolog.Nop()),
		proxies:    proxies,
		now:        100 * model.Second,
	}
	controller := bench.controller
	controller.proxyServer = newEnvironment(1)
	controller.pending = newBatch()
	controller.balancer = balancer.New(config, controller, bench.now)
	for n := range replicas {
		address := model.ReplicaID{Addr: [4]byte{10, 0, byte(n / 250), byte(n % 250)}, Port: 80}
		bench.replicas = append(bench.replicas, model.Endpoint{ID: address, Zone: n % 4, Status: model.EndpointReady})
	}
	controller.balancer.EndpointsChanged(bench.now, model.CachedList, bench.replicas)
	for p := range proxies {
		controller.balancer.ProxyConnected(bench.now, model.ProxyID(p), p%4, 5)
		controller.proxies[model.ProxyID(p)] = Proxy{Name: fmt.Sprint("proxy-", p)}
	}
	return bench
}

// measureSteps measures steps that each deliver a load report of every replica; extra is called after each flush.
func (s *stepBenchmark) measureSteps(b *testing.B, extra func()) {
	controller := s.controller
	for b.Loop() {
		s.now += 200 * model.Millisecond
		for _, replica := range s.replicas {
			controller.balancer.LoadReported(s.now, model.LoadReport{
				Replica: replica.ID, Attempts: 10, MeanLatency: 100_000, Window: model.Second,
			})
		}
		controller.balancer.TimerFired(s.now)
		controller.balancer.Flush(s.now)
		extra()
		if sequence := controller.pending.AckSequence; sequence >= 0 {
			for p := range s.proxies {
				controller.balancer.Acknowledged(s.now, model.ProxyID(p), uint32(sequence))
			}
		}
		controller.pending = newBatch()
	}
}
