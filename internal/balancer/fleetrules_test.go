package balancer

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/model"
)

// invariantOperations are the operations of the fleets that the invariants are checked for.
func invariantOperations() []model.Operation {
	return []model.Operation{
		{LatencyObjective: 500_000, PriorityWeight: 1},
		{LatencyObjective: 750_000, PriorityWeight: 3},
	}
}

// fleetCourse is a random fleet and what happens to it.
type fleetCourse struct {
	t        *rapid.T
	fleet    *simulatedFleet
	replicas []int // numbers
	proxies  int
}

// drawCourse draws a fleet whose limits follow from its configuration.
func drawCourse(t *rapid.T) *fleetCourse {
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	replicas := rapid.IntRange(4, 24).Draw(t, "replicas")
	proxies := rapid.IntRange(2, 60).Draw(t, "proxies")
	delay := model.Microseconds(rapid.IntRange(1, 300).Draw(t, "delay")) * model.Millisecond
	// What can't be put off fits twice, with all proxies on this balancer: the limits are set so for each deployment.
	entriesPerSecond := float64(proxies*(9+replicas)) * rapid.Float64Range(1, 4).Draw(t, "speed")
	fleet := newSimulatedFleet(t, model.Config{
		Seed:                  rapid.Uint64().Draw(t, "seed"),
		Operations:            invariantOperations(),
		Zones:                 zones,
		SubscriptionRequired:  true,
		AdmissionControl:      rapid.Bool().Draw(t, "admission control"),
		FullQuota:             1,
		ProxiesAvoidFailing:   rapid.Bool().Draw(t, "proxies avoid failing"),
		StandingTableSize:     6,
		ReportPeriod:          model.Microseconds(rapid.IntRange(1, 3).Draw(t, "period")) * model.Second,
		MessageOverhead:       rapid.IntRange(0, 8).Draw(t, "overhead"),
		QueueLimit:            int(2 * entriesPerSecond),
		CrossZoneCost:         0.05,
		UtilizationField:      -1,
		WarmUpPeriod:          10 * model.Second,
		ProxyCount:            proxies,
		MinReplicaConnections: 200,
	})
	fleet.delay = delay
	fleet.entriesPerSecond = entriesPerSecond
	course := &fleetCourse{t: t, fleet: fleet, proxies: proxies}
	// A message waits for the whole queue and its delay, and the balancer acts five times a second; binds take a queue
	// too.
	fleet.drainLimit = 3*model.Second + delay + 2*course.tick()
	// A proxy may come back with withdrawals of an earlier incarnation, unknown to this one until it binds the proxy.
	fleet.emptyLimit = max(4*model.Second, 3*fleet.config.ReportPeriod+model.Second) + delay + 2*course.tick()
	course.replicas = fleet.addReplicas(replicas)
	return course
}

// tick is the time from one tick to the next.
func (c *fleetCourse) tick() model.Microseconds { return c.fleet.config.ReportPeriod / ticksPerReport }

func (c *fleetCourse) start() {
	c.fleet.startBalancer(c.replicas)
	for p := range c.proxies {
		c.fleet.connect(model.ProxyID(p), p%c.fleet.config.Zones, true)
	}
	c.fleet.flush()
}

// someReplicas draws up to so many replicas, each once.
func (c *fleetCourse) someReplicas(most int, name string) (numbers []int) {
	for range rapid.IntRange(1, most).Draw(c.t, name) {
		numbers = append(numbers, rapid.IntRange(1, len(c.replicas)).Draw(c.t, "replica"))
	}
	slices.Sort(numbers)
	return slices.Compact(numbers)
}

func (c *fleetCourse) replicasOfZone(zone int) (numbers []int) {
	for _, n := range c.replicas {
		if c.fleet.replicas[replicaID(n)].zone == zone {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// startReplicas starts those of some replicas that are not ready.
func (c *fleetCourse) startReplicas(numbers []int) {
	for _, n := range numbers {
		if r := c.fleet.replicas[replicaID(n)]; r.status != model.EndpointReady {
			r.status = model.EndpointReady
			r.startedAt = c.fleet.now
		}
	}
	c.fleet.updateEndpoints(model.ChangedEntries, numbers...)
}

func (c *fleetCourse) disconnectSome() {
	for range rapid.IntRange(1, 1+c.proxies/2).Draw(c.t, "disconnects") {
		c.fleet.disconnect(model.ProxyID(rapid.IntRange(0, c.proxies-1).Draw(c.t, "proxy")))
	}
}

// reconnectSome reconnects the first disconnected proxies, some of them with a new standing table.
func (c *fleetCourse) reconnectSome() {
	left := 1 + rapid.IntRange(0, c.proxies-1).Draw(c.t, "reconnects")
	for id := range model.ProxyID(c.proxies) {
		if left == 0 {
			return
		}
		if p := c.fleet.proxies[id]; !p.connected {
			c.fleet.connect(id, p.zone, rapid.Bool().Draw(c.t, "fresh"))
			left--
		}
	}
}

// restartBalancer starts the balancer again with its last list; some proxies return at once with what they have.
func (c *fleetCourse) restartBalancer() {
	c.fleet.restartBalancer(c.replicas)
	for id := range model.ProxyID(c.proxies) {
		if rapid.Bool().Draw(c.t, "back at once") {
			c.fleet.connect(id, c.fleet.proxies[id].zone, false)
		}
	}
}

// drawEvent has one of the events of a fleet happen, or none.
func (c *fleetCourse) drawEvent() {
	count := len(c.replicas)
	switch rapid.IntRange(0, 19).Draw(c.t, "event") {
	case 0:
		c.fleet.setStatus(model.EndpointDraining, c.someReplicas(1+count/3, "drains")...)
	case 1:
		c.fleet.setStatus(model.EndpointGone, c.someReplicas(1+count/4, "gone")...)
	case 2:
		c.startReplicas(c.someReplicas(1+count/4, "start"))
	case 3:
		c.disconnectSome()
	case 4, 5:
		c.reconnectSome()
	case 6:
		c.fleet.balancer.EndpointsChanged(c.fleet.now, model.PollFailed, nil)
	case 7: // a zone is lost, seen from here
		zone := rapid.IntRange(0, c.fleet.config.Zones-1).Draw(c.t, "zone")
		c.fleet.setStatus(model.EndpointGone, c.replicasOfZone(zone)...)
	case 8:
		c.restartBalancer()
	}
}

// drawReports has load reports of all ready replicas come, or be late.
func (c *fleetCourse) drawReports() {
	if rapid.IntRange(0, 4).Draw(c.t, "reports") == 0 {
		return
	}
	for _, n := range c.replicas {
		if c.fleet.replicas[replicaID(n)].status != model.EndpointReady {
			continue
		}
		c.fleet.balancer.LoadReported(c.fleet.now, model.LoadReport{
			Replica: replicaID(n), Attempts: 10, Errors: rapid.IntRange(0, 1).Draw(c.t, "errors"),
			MeanLatency: model.Microseconds(rapid.IntRange(50, 300).Draw(c.t, "latency")) * model.Millisecond,
			Window:      model.Second,
		})
	}
}

// Any fleet, any course of drains, losses, starts, streams that break and return, late and missing acknowledgements
// and load reports: what proxies have keeps the invariants, within limits that follow from the configuration.
func TestInvariantsOfAnyFleet(t *testing.T) {
	const ticks = 75
	rapid.Check(t, func(t *rapid.T) {
		course := drawCourse(t)
		course.start()
		began := course.fleet.now
		for k := range ticks {
			if k == 1 && rapid.IntRange(0, 3).Draw(t, "early loss") == 0 { // in safe mode
				course.fleet.setStatus(model.EndpointDraining, course.replicasOfZone(0)...)
			}
			course.fleet.advanceTo(began + model.Microseconds(k+1)*course.tick())
			course.drawEvent()
			if k%ticksPerReport == 0 {
				course.drawReports()
			}
			course.fleet.tick()
		}
	})
}

// Four of five balancers die amid a release, so 185 proxies come over to the fifth, with the tables that those made;
// then sixty replicas are drained or gone at once. Notified one by one, on tables that this balancer did not make, that
// costs each of them eight messages: at the channel's speed 8.9 s, where 3 s are allowed (figures of herd+mass, 30
// nodes, seed 2). Bound first, they need be notified of none.
func TestManyDrainsMeetManyNewProxies(t *testing.T) {
	const (
		replicas      = 200
		ownProxies    = 19
		proxiesMoving = 185
		allProxies    = ownProxies + proxiesMoving
		ticks         = 90
		movesFrom     = 50 // tick; within six ticks all have moved
		drainsAt      = 58 // tick
	)
	fleet := newSimulatedFleet(t, model.Config{
		Seed: 7, Operations: invariantOperations(), Zones: 4, FullQuota: 1,
		SubscriptionRequired: true, AdmissionControl: true,
		StandingTableSize: 6, ReportPeriod: model.Second, MessageOverhead: 6, QueueLimit: 6300, CrossZoneCost: 0.08,
		PublishCost: 0.02, UtilizationField: -1, WarmUpPeriod: 17 * model.Second, ProxyCount: 240,
		MinReplicaConnections: 200,
	})
	fleet.entriesPerSecond = 2900
	fleet.delay = 122 * model.Millisecond
	fleet.drainLimit = 3 * model.Second
	fleet.emptyLimit = 4100 * model.Millisecond
	all := fleet.addReplicas(replicas)
	var drained []int
	for _, n := range all {
		if (n-1)%10 < 3 {
			drained = append(drained, n)
		}
	}
	fleet.startBalancer(all)
	began, connected := fleet.now, 0
	for tick := 1; tick <= ticks; tick++ {
		fleet.advanceTo(began + model.Microseconds(tick)*tickSpan)
		for connected < min(ownProxies+max(0, (tick-movesFrom)*proxiesMoving/6), allProxies) {
			fleet.connectWithEntries(connected, 12)
			connected++
		}
		if tick == drainsAt {
			fleet.setStatus(model.EndpointDraining, drained...)
		}
		if tick%ticksPerSecond == 0 {
			fleet.reportReady(all)
		}
		fleet.tick()
	}
	for id, p := range fleet.proxies {
		if !p.bound {
			t.Fatalf("proxy %d is not bound", id)
		}
	}
}

// connectWithEntries connects a proxy that has so many entries more than its standing table.
func (f *simulatedFleet) connectWithEntries(number, entries int) {
	id := model.ProxyID(number)
	f.connect(id, number%f.config.Zones, true)
	for k := range entries {
		f.proxies[id].weights[replicaID((number*37+k*17)%len(f.replicas)+1)] = 1
	}
}

// reportReady reports ten good attempts at each ready replica.
func (f *simulatedFleet) reportReady(numbers []int) {
	for _, n := range numbers {
		r := f.replicas[replicaID(n)]
		if r.status != model.EndpointReady {
			continue
		}
		f.balancer.LoadReported(f.now, model.LoadReport{
			Replica: replicaID(n), Zone: r.zone, Attempts: 10, MeanLatency: 120 * model.Millisecond, Window: model.Second,
		})
	}
}
