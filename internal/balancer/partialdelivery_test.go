package balancer

import (
	"fmt"
	"testing"

	"peppervale/internal/model"
)

// Times within which every proxy must follow, as the operators' settings have them with 0.3 s for the network.
const (
	largeFleetDrainLimit = 2800 * model.Millisecond
	largeFleetEmptyLimit = 2900 * model.Millisecond
)

// newLargeFleet returns a fleet on a channel of 3,000 entries a second, of which 6,000 may be queued, with
// ready replicas.
func newLargeFleet(t *testing.T, zones, proxies, replicas int, partialDelivery bool) *simulatedFleet {
	t.Helper()
	fleet := newSimulatedFleet(t, model.Config{
		Seed: 7, Operations: invariantOperations(), Zones: zones, FullQuota: 1,
		SubscriptionRequired: true, AdmissionControl: true, StandingTableSize: 6, ReportPeriod: model.Second,
		MessageOverhead: 6, QueueLimit: 6000, CrossZoneCost: 0.08, PublishCost: 0.02, UtilizationField: -1,
		WarmUpPeriod: 17 * model.Second, ProxyCount: proxies, MinReplicaConnections: 153,
		PartialDelivery: partialDelivery,
	})
	fleet.entriesPerSecond = 3000
	fleet.delay = 115 * model.Millisecond
	fleet.drainLimit = largeFleetDrainLimit
	fleet.emptyLimit = largeFleetEmptyLimit
	fleet.addReplicas(replicas)
	return fleet
}

// channelTime is the time in which every proxy has got a message with some entries, if routine updates fill their share
// of the queue before it: the time of the channel for both, the delay, and two ticks.
func (f *simulatedFleet) channelTime(proxies, entries int) model.Microseconds {
	const ackRequest = 1
	messages := proxies * (f.config.MessageOverhead + ackRequest + entries)
	queued := routineShare*float64(f.config.QueueLimit) + float64(messages)
	return model.Microseconds(queued/f.entriesPerSecond*float64(model.Second)) + f.delay + 2*tickSpan
}

func (f *simulatedFleet) allReplicas() (numbers []int) {
	for n := range len(f.replicas) {
		numbers = append(numbers, n+1)
	}
	return numbers
}

// connectAll connects proxies with standing tables of their zones.
func (f *simulatedFleet) connectAll(proxies int) {
	for p := range proxies {
		f.connect(model.ProxyID(p), p%f.config.Zones, f.proxies[model.ProxyID(p)] == nil)
	}
	f.flush()
}

// advanceFor advances the fleet, with ticks, and with reports of all ready replicas once a second.
func (f *simulatedFleet) advanceFor(span model.Microseconds) {
	f.advanceWithReports(span, f.allReplicas)
}

// advanceWithReports advances the fleet, with ticks, and once a second with reports of those of the given replicas that
// are ready.
func (f *simulatedFleet) advanceWithReports(span model.Microseconds, reported func() []int) {
	for tick := 1; tick <= int(span/tickSpan); tick++ {
		f.advanceTo(f.now + tickSpan)
		if tick%ticksPerSecond == 0 {
			f.reportReady(reported())
		}
		f.tick()
	}
}

// replicasInUse returns the replicas that a connected proxy may pick.
func (f *simulatedFleet) replicasInUse() []int {
	return f.replicasWhere(func(n int) bool {
		for _, p := range f.proxies {
			if p.connected && p.mayPick(replicaID(n)) {
				return true
			}
		}
		return false
	})
}

// changeStatus changes the status of replicas and flushes, as the controller does.
func (f *simulatedFleet) changeStatus(status model.EndpointStatus, numbers ...int) {
	f.setStatus(status, numbers...)
	f.flush()
}

func (f *simulatedFleet) replicasWhere(matches func(n int) bool) (numbers []int) {
	for _, n := range f.allReplicas() {
		if matches(n) {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// requireSettled fails unless every proxy is bound, and may pick exactly ready replicas.
func (f *simulatedFleet) requireSettled() {
	for id, p := range f.proxies {
		if !p.bound {
			f.t.Fatalf("proxy %d is not bound at the end", id)
		}
		for r := range p.weights {
			if p.mayPick(r) && f.replicas[r].status != model.EndpointReady {
				f.t.Fatalf("proxy %d may pick %v at the end, which is not ready", id, r)
			}
		}
	}
}

// Guards against withdrawals that no proxy ever gets as they exceed the queue limit for all proxies together: a zone's
// replicas leave the list in safe mode, after a restart, and another replica drains later (review/8).
func TestDrainReachesEveryProxyWhenItExceedsTheQueueForAll(t *testing.T) {
	for _, tt := range []struct {
		proxies         int
		partialDelivery bool
		messages        int // to each proxy, with the withdrawals
	}{
		{400, true, 1},
		{700, true, 1},
		{400, false, 2},
	} {
		t.Run(fmt.Sprintf("%d proxies, partial delivery %t", tt.proxies, tt.partialDelivery), func(t *testing.T) {
			const replicas = 28
			fleet := newLargeFleet(t, 4, tt.proxies, replicas, tt.partialDelivery)
			if tt.proxies > 400 || tt.messages > 1 { // more than the channel carries within the operators' limit
				fleet.drainLimit = fleet.channelTime(tt.messages*tt.proxies, replicas/4)
			}
			fleet.startBalancer(fleet.allReplicas())
			fleet.connectAll(tt.proxies)
			fleet.advanceFor(15 * model.Second)
			fleet.restartBalancer(fleet.allReplicas())
			fleet.connectAll(tt.proxies)
			fleet.advanceFor(600 * model.Millisecond)
			fleet.changeStatus(model.EndpointGone, fleet.replicasWhere(func(n int) bool { return n%4 == 0 })...)
			fleet.advanceFor(25 * model.Second)
			fleet.changeStatus(model.EndpointDraining, 1)
			fleet.advanceFor(10 * model.Second)
			fleet.requireSettled()
		})
	}
}

// Guards against readmissions and new entries that no proxy ever gets: half of the replicas drain and come back, then
// the other half drains, so that proxies without the first half have nothing to pick (all-to-one, two-halves).
func TestReplicasThatComeBackReachEveryProxyOfALargeFleet(t *testing.T) {
	for _, tt := range []struct {
		zones, proxies, replicas int
		partialDelivery          bool
		pause                    model.Microseconds // from the return of the first half until the second half drains
	}{
		{2, 400, 8, true, 15 * model.Second},
		{4, 400, 20, true, 3 * model.Second},
		{4, 700, 20, true, 15 * model.Second},
		{2, 400, 8, false, 15 * model.Second},
	} {
		name := fmt.Sprintf("%d proxies, %d replicas, partial delivery %t", tt.proxies, tt.replicas, tt.partialDelivery)
		t.Run(name, func(t *testing.T) {
			fleet := newLargeFleet(t, tt.zones, tt.proxies, tt.replicas, tt.partialDelivery)
			fleet.drainLimit = max(largeFleetDrainLimit, fleet.channelTime(tt.proxies, tt.replicas/2))
			fleet.startBalancer(fleet.allReplicas())
			fleet.connectAll(tt.proxies)
			fleet.advanceFor(15 * model.Second)
			firstHalf := fleet.replicasWhere(func(n int) bool { return n <= tt.replicas/2 })
			secondHalf := fleet.replicasWhere(func(n int) bool { return n > tt.replicas/2 })
			fleet.changeStatus(model.EndpointDraining, firstHalf...)
			fleet.advanceFor(6 * model.Second)
			fleet.changeStatus(model.EndpointReady, firstHalf...)
			fleet.advanceFor(tt.pause)
			fleet.changeStatus(model.EndpointDraining, secondHalf...)
			fleet.advanceFor(20 * model.Second)
			fleet.requireSettled()
		})
	}
}
