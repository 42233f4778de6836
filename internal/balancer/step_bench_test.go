package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"peppervale/internal/balancer"
	"peppervale/internal/model"
)

// benchPublisher discards updates, and keeps the newest sequence number to be acknowledged.
type benchPublisher struct {
	sequence uint32
	ackDue   bool
}

func (p *benchPublisher) SetWeight(model.TableID, model.ReplicaID, float64)                 {}
func (p *benchPublisher) BindProxy(model.ProxyID, model.TableID, uint16, []model.ReplicaID) {}
func (p *benchPublisher) SetWithdrawn(model.ReplicaID, bool)                                {}
func (p *benchPublisher) SetQuota(uint16, float64, model.RetryPolicy)                       {}
func (p *benchPublisher) RequestAck(sequence uint32, _ bool, _ []model.ProxyID) {
	p.sequence = sequence
	p.ackDue = true
}
func (p *benchPublisher) SetTimer(model.Microseconds) {}
func (p *benchPublisher) Subscribe()                  {}
func (p *benchPublisher) Log(string)                  {}

// benchFleet is a fleet whose proxies acknowledge every message after the step.
type benchFleet struct {
	publisher benchPublisher
	balancer  *balancer.Balancer
	now       model.Microseconds
	endpoints []model.Endpoint
	proxies   int
}

// newBenchFleet starts a balancer with replicas and proxies spread evenly over the zones.
func newBenchFleet(config model.Config, proxies, replicas int) *benchFleet {
	fleet := &benchFleet{now: 100 * model.Second, proxies: proxies}
	config.ProxyCount = proxies
	config.QueueLimit = 1000 * proxies
	fleet.balancer = balancer.New(config, &fleet.publisher, fleet.now)
	for n := range replicas {
		id := model.ReplicaID{Addr: [4]byte{10, 0, byte(n / 100), byte(n % 100)}, Port: 5000}
		fleet.endpoints = append(fleet.endpoints, model.Endpoint{
			ID: id, Zone: n % config.Zones, Status: model.EndpointReady,
		})
	}
	fleet.balancer.EndpointsChanged(fleet.now, model.CachedList, fleet.endpoints)
	for p := range proxies {
		fleet.balancer.ProxyConnected(fleet.now, model.ProxyID(p), p%config.Zones, 5)
	}
	return fleet
}

// report delivers a load report of every replica from each of the given number of zones; round varies the latencies.
func (f *benchFleet) report(zones, attempts, round int) {
	for n, endpoint := range f.endpoints {
		for zone := range zones {
			latency := model.Microseconds(100+(n*7+round+zone)%40) * model.Millisecond
			f.balancer.LoadReported(f.now, model.LoadReport{
				Zone: zone, Replica: endpoint.ID, Attempts: attempts, MeanLatency: latency, Window: model.Second,
			})
		}
	}
}

// tick fires the timer and flushes.
func (f *benchFleet) tick() {
	f.balancer.TimerFired(f.now)
	f.balancer.Flush(f.now)
}

// acknowledge makes every proxy acknowledge the newest message.
func (f *benchFleet) acknowledge() {
	if !f.publisher.ackDue {
		return
	}
	for p := range f.proxies {
		f.balancer.Acknowledged(f.now, model.ProxyID(p), f.publisher.sequence)
	}
	f.publisher.ackDue = false
}

// BenchmarkStepWithReports measures one tick of a warm fleet in which every zone reports every replica.
func BenchmarkStepWithReports(b *testing.B) {
	const (
		proxies     = 2000
		replicas    = 200
		zones       = 3
		attempts    = 17
		warmUpSteps = 40 // steps
	)
	fleet := newBenchFleet(tracedConfig(), proxies, replicas)
	round := 0
	step := func() {
		round++
		fleet.now += model.Second
		fleet.report(zones, attempts, round)
		fleet.tick()
	}
	for range warmUpSteps {
		step()
		fleet.acknowledge()
	}
	b.ReportAllocs()
	for b.Loop() {
		step()
		b.StopTimer()
		fleet.acknowledge()
		b.StartTimer()
	}
}

// BenchmarkStep measures a tick, which is a fifth of a second of the fleet's time. All replicas are reported once a
// second, and proxies acknowledge at once. It reports the mean, the p99 and the longest time over the first hundred
// seconds of a fleet.
func BenchmarkStep(b *testing.B) {
	config := model.Config{
		Seed: 1,
		Operations: []model.Operation{
			{LatencyObjective: 500000, PriorityWeight: 1},
			{LatencyObjective: 750000, PriorityWeight: 3},
		},
		Zones: 4, AdmissionControl: true, FullQuota: 1, StandingTableSize: 6, ReportPeriod: model.Second,
		MessageOverhead: 6, CrossZoneCost: 0.05, UtilizationField: -1, WarmUpPeriod: 17 * model.Second,
		MinReplicaConnections: 200,
	}
	for _, size := range []struct{ proxies, replicas int }{{482, 305}, {2400, 200}, {10000, 2000}} {
		b.Run(fmt.Sprintf("%dx%d", size.proxies, size.replicas), func(b *testing.B) {
			var times []time.Duration
			for b.Loop() {
				times = firstSteps(newBenchFleet(config, size.proxies, size.replicas))
			}
			reportTimes(b, times)
		})
	}
}

// firstSteps measures the ticks of the first hundred seconds of a fleet.
func firstSteps(fleet *benchFleet) (times []time.Duration) {
	const (
		steps          = 500
		stepsPerReport = 5
		stepSpan       = 200 * model.Millisecond
		attempts       = 25
		reportedZones  = 1
	)
	for k := range steps {
		fleet.now += stepSpan
		startedAt := time.Now()
		if k%stepsPerReport == 0 {
			fleet.report(reportedZones, attempts, k)
		}
		fleet.tick()
		times = append(times, time.Since(startedAt))
		fleet.acknowledge()
	}
	return times
}

func reportTimes(b *testing.B, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	total := time.Duration(0)
	for _, elapsed := range times {
		total += elapsed
	}
	count := len(times)
	b.ReportMetric(float64((total / time.Duration(count)).Microseconds()), "us/step")
	b.ReportMetric(float64(times[count*99/100].Microseconds()), "us/p99")
	b.ReportMetric(float64(times[count-1].Microseconds()), "us/worst")
}
