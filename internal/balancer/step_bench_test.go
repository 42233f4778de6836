package balancer_test

import (
	"testing"

	"peppervale/internal/balancer"
	"peppervale/internal/model"
)

const (
	benchProxies  = 2000
	benchReplicas = 200
	benchZones    = 3
)

// benchHost carries nothing out; it keeps the newest number that is to be acknowledged.
type benchHost struct {
	number uint32
	asked  bool
}

func (h *benchHost) SetWeight(model.TableID, model.ReplicaID, float64)                 {}
func (h *benchHost) BindProxy(model.ProxyID, model.TableID, uint16, []model.ReplicaID) {}
func (h *benchHost) SetWithdrawn(model.ReplicaID, bool)                                {}
func (h *benchHost) SetQuota(uint16, float64, model.RetryPolicy)                       {}
func (h *benchHost) RequestAck(number uint32, _ bool)                                  { h.number, h.asked = number, true }
func (h *benchHost) SetTimer(model.Microseconds)                                       {}
func (h *benchHost) Subscribe()                                                        {}
func (h *benchHost) Log(string)                                                        {}

// benchFleet is a fleet whose proxies acknowledge at once.
type benchFleet struct {
	host     benchHost
	balancer *balancer.Balancer
	now      model.Microseconds
	entries  []model.Endpoint
	beats    int
}

func newBenchFleet() *benchFleet {
	f := &benchFleet{now: 100 * model.Second}
	terms := tracedTerms()
	terms.ProxyCount, terms.QueueLimit = benchProxies, 1000*benchProxies
	f.balancer = balancer.New(terms, &f.host, f.now)
	for n := range benchReplicas {
		id := model.ReplicaID{Addr: [4]byte{10, 0, byte(n / 100), byte(n % 100)}, Port: 5000}
		f.entries = append(f.entries, model.Endpoint{ID: id, Zone: n % benchZones, Status: model.EndpointReady})
	}
	f.balancer.EndpointsChanged(f.now, model.CachedList, f.entries)
	for p := range benchProxies {
		f.balancer.ProxyConnected(f.now, model.ProxyID(p), p%benchZones, 5)
	}
	return f
}

// step is one beat with a load report for every replica and zone, the timer and Settle.
func (f *benchFleet) step() {
	f.beats++
	f.now += model.Second
	for n, e := range f.entries {
		for zone := range benchZones {
			latency := model.Microseconds(100+(n*7+f.beats+zone)%40) * model.Millisecond
			f.balancer.LoadReported(f.now, model.LoadReport{Zone: zone, Replica: e.ID, Attempts: 17, MeanLatency: latency, Window: model.Second})
		}
	}
	f.balancer.TimerFired(f.now)
	f.balancer.Flush(f.now)
}

// acknowledge has every proxy answer the newest number.
func (f *benchFleet) acknowledge() {
	if !f.host.asked {
		return
	}
	for p := range benchProxies {
		f.balancer.Acknowledged(f.now, model.ProxyID(p), f.host.number)
	}
	f.host.asked = false
}

// BenchmarkStepWithReports times one beat of a warm fleet in which every replica is reported by every zone.
func BenchmarkStepWithReports(b *testing.B) {
	f := newBenchFleet()
	for range 40 {
		f.step()
		f.acknowledge()
	}
	b.ReportAllocs()
	for b.Loop() {
		f.step()
		b.StopTimer()
		f.acknowledge()
		b.StartTimer()
	}
}
