package balancer

import (
	"fmt"
	"testing"

	"peppervale/internal/model"
)

// silentProxies are the proxies of a fleet that stop to acknowledge, and for how long.
type silentProxies struct {
	name    string
	silent  func(id model.ProxyID) bool
	mode    responsiveness
	silence model.Microseconds
}

func oneOf(count int) func(model.ProxyID) bool {
	return func(id model.ProxyID) bool { return int(id)%count == count-1 }
}

func allButFirst(id model.ProxyID) bool { return id != 0 }

const forGood = 1000 * model.Second

// Guards against proxies that owe acknowledgements and hold up all others (review/6): sound proxies get withdrawals,
// readmissions, binds and weights about as soon as if all acknowledged, and the queue stays short.
func TestSilentProxiesHoldUpNobodyElse(t *testing.T) {
	for _, proxies := range []int{12, 400} {
		usual := newSilencePlay(t, proxies, silentProxies{silent: func(model.ProxyID) bool { return false }}).run()
		t.Logf("%d proxies, all acknowledge: %v", proxies, usual)
		for _, tt := range []silentProxies{
			{"one of ten hung for good", oneOf(10), hung, forGood},
			{"a quarter hung for 8 s", oneOf(4), hung, 8 * model.Second},
			{"a quarter hung for 24 s", oneOf(4), hung, 24 * model.Second},
			{"a quarter hung for 60 s", oneOf(4), hung, 60 * model.Second},
			{"all but one hung for 60 s", allButFirst, hung, 60 * model.Second},
			{"a quarter back within one period", oneOf(4), hung, 900 * model.Millisecond},
			{"a quarter acknowledges nothing", oneOf(4), acknowledgingNone, forGood},
			{"a quarter acknowledges half", oneOf(4), acknowledgingHalf, forGood},
		} {
			t.Run(fmt.Sprintf("%d proxies, %s", proxies, tt.name), func(t *testing.T) {
				t.Parallel()
				waits := newSilencePlay(t, proxies, tt).run()
				t.Logf("%v", waits)
				if limit := usual.plus(model.Second); waits.exceed(limit) {
					t.Errorf("sound proxies wait %v, want at most %v", waits, limit)
				}
			})
		}
	}
}

// updateWaits are the longest times that sound proxies wait for an update.
type updateWaits struct{ readmission, withdrawal, bind, weight model.Microseconds }

func (w updateWaits) String() string {
	const ms = model.Millisecond
	return fmt.Sprintf("readmission %d ms, withdrawal %d ms, bind %d ms, weight %d ms",
		w.readmission/ms, w.withdrawal/ms, w.bind/ms, w.weight/ms)
}

func (w updateWaits) plus(span model.Microseconds) updateWaits {
	return updateWaits{w.readmission + span, w.withdrawal + span, w.bind + span, w.weight + span}
}

func (w updateWaits) exceed(limit updateWaits) bool {
	return w.readmission > limit.readmission || w.withdrawal > limit.withdrawal ||
		w.bind > limit.bind || w.weight > limit.weight
}

// silencePlay is a fleet of which some proxies fall silent. Meanwhile one half of the replicas drains and comes back,
// then the other half, one more proxy joins, and a replica becomes slow.
type silencePlay struct {
	*simulatedFleet
	t          *testing.T
	proxyCount int
	silent     silentProxies
	silentFrom model.Microseconds
	slow       model.ReplicaID // reported with three times the usual latency
}

func newSilencePlay(t *testing.T, proxies int, silent silentProxies) *silencePlay {
	t.Helper()
	const replicas = 16
	fleet := newLargeFleet(t, 4, proxies, replicas, true)
	fleet.drainLimit = max(largeFleetDrainLimit, fleet.channelTime(proxies, replicas/2))
	return &silencePlay{
		simulatedFleet: fleet,
		t:              t,
		proxyCount:     proxies,
		silent:         silent,
		slow:           replicaID(replicas + 1),
	}
}

func (s *silencePlay) run() (waits updateWaits) {
	s.startBalancer(s.allReplicas())
	s.connectAll(s.proxyCount)
	s.advance(15 * model.Second)
	s.silentFrom = s.now
	s.setSilent(s.silent.mode)
	first := s.replicasWhere(func(n int) bool { return n <= len(s.replicas)/2 })
	second := s.replicasWhere(func(n int) bool { return n > len(s.replicas)/2 })
	s.advance(9 * model.Second)
	s.changeStatus(model.EndpointDraining, first...)
	s.advance(6 * model.Second)
	s.changeStatus(model.EndpointReady, first...)
	waits.readmission = s.advanceUntil(func(p *simulatedProxy) bool { return p.mayPickOneOf(first) })
	s.advance(3 * model.Second)
	s.changeStatus(model.EndpointDraining, second...)
	waits.withdrawal = s.advanceUntil(func(p *simulatedProxy) bool { return !p.mayPickOneOf(second) })
	s.advance(6 * model.Second)
	joined := model.ProxyID(s.proxyCount)
	s.connect(joined, 0, true)
	s.flush()
	waits.bind = s.advanceUntil(func(p *simulatedProxy) bool { return p.bound && p.readCount > 0 })
	s.changeStatus(model.EndpointReady, second...)
	s.advance(10 * model.Second)
	s.slow = replicaID(1)
	usual := s.proxies[0].weights[s.slow]
	waits.weight = s.advanceUntil(func(p *simulatedProxy) bool { return p != s.proxies[0] || p.weights[s.slow] != usual })
	s.advance(40 * model.Second)
	s.setSilent(responsive)
	s.advance(5 * model.Second)
	s.requireSettled()
	return waits
}

// setSilent sets how the proxies that fall silent treat messages.
func (s *silencePlay) setSilent(mode responsiveness) {
	for id := range model.ProxyID(s.proxyCount) {
		if s.silent.silent(id) {
			s.setResponsiveness(id, mode)
		}
	}
}

// advance advances the fleet, and ends the silence when it is time.
func (s *silencePlay) advance(span model.Microseconds) {
	for end := s.now + span; s.now < end; {
		s.advanceTo(s.now + tickSpan)
		if s.silentFrom > 0 && s.now-s.silentFrom >= s.silent.silence {
			s.setSilent(responsive)
		}
		if int(s.now/tickSpan)%ticksPerSecond == 0 {
			s.reportAll()
		}
		s.tick()
	}
}

// advanceUntil advances the fleet until a condition holds for each sound proxy, and returns how long that took.
func (s *silencePlay) advanceUntil(holds func(*simulatedProxy) bool) model.Microseconds {
	const timeout = 30 * model.Second
	startedAt := s.now
	for !s.soundProxies(holds) && s.now-startedAt < timeout {
		s.advance(tickSpan)
	}
	return s.now - startedAt
}

// soundProxies reports whether a condition holds for each proxy that applies messages.
func (s *silencePlay) soundProxies(holds func(*simulatedProxy) bool) bool {
	for _, p := range s.proxies {
		if p.connected && p.responsiveness != hung && !holds(p) {
			return false
		}
	}
	return true
}

// reportAll reports ten good attempts at each ready replica.
func (s *silencePlay) reportAll() {
	for n := range len(s.replicas) {
		r := s.replicas[replicaID(n+1)]
		if r.status != model.EndpointReady {
			continue
		}
		latency := 120 * model.Millisecond
		if replicaID(n+1) == s.slow {
			latency *= 3
		}
		s.balancer.LoadReported(s.now, model.LoadReport{
			Replica: replicaID(n + 1), Zone: r.zone, Attempts: 10, MeanLatency: latency, Window: model.Second,
		})
	}
}

func (p *simulatedProxy) mayPickOneOf(numbers []int) bool {
	for _, n := range numbers {
		if p.mayPick(replicaID(n)) {
			return true
		}
	}
	return false
}
