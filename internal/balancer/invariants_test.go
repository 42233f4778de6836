package balancer

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/model"
)

// invariantOperations are the operations of the fleets in these tests.
func invariantOperations() []model.Operation {
	return []model.Operation{
		{LatencyObjective: 500_000, PriorityWeight: 1},
		{LatencyObjective: 750_000, PriorityWeight: 3},
	}
}

// randomRun is a random fleet with the random events that happen to it.
type randomRun struct {
	t        *rapid.T
	fleet    *simulatedFleet
	replicas []int // replica numbers
	proxies  int
}

// drawRun draws a fleet and sets the limits that follow from its configuration.
func drawRun(t *rapid.T, partialDelivery bool) *randomRun {
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	replicas := rapid.IntRange(4, 24).Draw(t, "replicas")
	proxies := rapid.IntRange(2, 60).Draw(t, "proxies")
	delay := model.Microseconds(rapid.IntRange(1, 300).Draw(t, "delay")) * model.Millisecond
	// Without partial delivery the queue limit must be at least twice the cost of urgent updates to all proxies. With it,
	// the first bind of each zone, which is charged too little, must fit into a tenth of the queue.
	entriesPerSecond := float64(proxies*(9+replicas)) * rapid.Float64Range(1, 4).Draw(t, "speed")
	queueLimit := int(2 * entriesPerSecond)
	if partialDelivery {
		queueLimit = max(int(rapid.Float64Range(0.1, 2).Draw(t, "queue")*entriesPerSecond), 10*zones*(12+2*replicas))
	}
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
		QueueLimit:            queueLimit,
		CrossZoneCost:         0.05,
		UtilizationField:      -1,
		WarmUpPeriod:          10 * model.Second,
		ProxyCount:            proxies,
		MinReplicaConnections: 200,
		MessageLimit:          rapid.SampledFrom([]int{0, 0, 8, 12, 30}).Draw(t, "message limit"),
		MessageWindow:         10 * model.Second,
		PartialDelivery:       partialDelivery,
	})
	fleet.delay = delay
	fleet.entriesPerSecond = entriesPerSecond
	run := &randomRun{t: t, fleet: fleet, proxies: proxies}
	// A message waits for the whole queue and arrives after the delay, the balancer acts only at ticks, and binds may fill
	// the queue a second time. With a message limit, a message waits for an interval of the pacing.
	interval := newMessagePacing(fleet.config).interval
	fleet.drainLimit = 3*model.Second + delay + 2*run.tick() + interval
	if partialDelivery {
		fleet.drainLimit += run.roundTrips() * (delay + run.tick())
	}
	// A proxy may reconnect with withdrawals of an earlier incarnation, which this incarnation does not know until it
	// binds the proxy.
	fleet.emptyLimit = max(4*model.Second, 3*fleet.config.ReportPeriod+model.Second) + delay + 2*run.tick() + interval
	if partialDelivery {
		fleet.emptyLimit += run.roundTrips() * (delay + run.tick())
	}
	run.replicas = fleet.addReplicas(replicas)
	return run
}

// roundTrips is the number of times that the queue is filled and acknowledged until an update with all withdrawals has
// been sent to all proxies in parts.
func (c *randomRun) roundTrips() model.Microseconds {
	const urgentEntries = 9 + 24 // overhead of a message, and all replicas
	perQueue := max(1, c.fleet.config.QueueLimit*9/10/urgentEntries)
	return model.Microseconds((c.proxies + perQueue - 1) / perQueue)
}

// tick is the time between two ticks.
func (c *randomRun) tick() model.Microseconds { return c.fleet.config.ReportPeriod / ticksPerReport }

func (c *randomRun) start() {
	c.fleet.startBalancer(c.replicas)
	for p := range c.proxies {
		c.fleet.connect(model.ProxyID(p), p%c.fleet.config.Zones, true)
	}
	c.fleet.flush()
}

// drawReplicas draws up to limit different replicas.
func (c *randomRun) drawReplicas(limit int, name string) (numbers []int) {
	for range rapid.IntRange(1, limit).Draw(c.t, name) {
		numbers = append(numbers, rapid.IntRange(1, len(c.replicas)).Draw(c.t, "replica"))
	}
	slices.Sort(numbers)
	return slices.Compact(numbers)
}

func (c *randomRun) replicasOfZone(zone int) (numbers []int) {
	for _, n := range c.replicas {
		if c.fleet.replicas[replicaID(n)].zone == zone {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// startReplicas starts the given replicas that are not ready.
func (c *randomRun) startReplicas(numbers []int) {
	for _, n := range numbers {
		if r := c.fleet.replicas[replicaID(n)]; r.status != model.EndpointReady {
			r.status = model.EndpointReady
			r.startedAt = c.fleet.now
		}
	}
	c.fleet.updateEndpoints(model.ChangedEntries, numbers...)
}

func (c *randomRun) disconnectSome() {
	for range rapid.IntRange(1, 1+c.proxies/2).Draw(c.t, "disconnects") {
		c.fleet.disconnect(model.ProxyID(rapid.IntRange(0, c.proxies-1).Draw(c.t, "proxy")))
	}
}

// reconnectSome reconnects some of the disconnected proxies, some of them with a new standing table.
func (c *randomRun) reconnectSome() {
	remaining := 1 + rapid.IntRange(0, c.proxies-1).Draw(c.t, "reconnects")
	for id := range model.ProxyID(c.proxies) {
		if remaining == 0 {
			return
		}
		if p := c.fleet.proxies[id]; !p.connected {
			c.fleet.connect(id, p.zone, rapid.Bool().Draw(c.t, "new standing table"))
			remaining--
		}
	}
}

// restartBalancer starts the balancer again with its last endpoint list. Some proxies reconnect at once and keep
// their tables.
func (c *randomRun) restartBalancer() {
	c.fleet.restartBalancer(c.replicas)
	for id := range model.ProxyID(c.proxies) {
		if rapid.Bool().Draw(c.t, "back at once") {
			c.fleet.connect(id, c.fleet.proxies[id].zone, false)
		}
	}
}

// applyRandomEvent triggers a random event of the fleet, or none.
func (c *randomRun) applyRandomEvent() {
	count := len(c.replicas)
	switch rapid.IntRange(0, 19).Draw(c.t, "event") {
	case 0:
		c.fleet.setStatus(model.EndpointDraining, c.drawReplicas(1+count/3, "drains")...)
	case 1:
		c.fleet.setStatus(model.EndpointGone, c.drawReplicas(1+count/4, "gone")...)
	case 2:
		c.startReplicas(c.drawReplicas(1+count/4, "start"))
	case 3:
		c.disconnectSome()
	case 4, 5:
		c.reconnectSome()
	case 6:
		c.fleet.balancer.EndpointsChanged(c.fleet.now, model.PollFailed, nil)
	case 7: // the endpoint list loses all replicas of a zone
		zone := rapid.IntRange(0, c.fleet.config.Zones-1).Draw(c.t, "zone")
		c.fleet.setStatus(model.EndpointGone, c.replicasOfZone(zone)...)
	case 8:
		c.restartBalancer()
	case 9:
		c.drawSilence()
	}
}

// drawSilence changes how some proxies treat messages. Without partial delivery all are responsive: a silent proxy
// holds up each update that concerns it there.
func (c *randomRun) drawSilence() {
	if !c.fleet.config.PartialDelivery {
		return
	}
	mode := rapid.SampledFrom([]responsiveness{
		responsive, hung, acknowledgingNone, acknowledgingHalf,
	}).Draw(c.t, "responsiveness")
	for range rapid.IntRange(1, c.proxies).Draw(c.t, "changes") {
		id := model.ProxyID(rapid.IntRange(0, c.proxies-1).Draw(c.t, "proxy"))
		if c.fleet.proxies[id].connected {
			c.fleet.setResponsiveness(id, mode)
		}
	}
}

// deliverRandomReports delivers load reports of all ready replicas, or no report, as if all reports were late.
func (c *randomRun) deliverRandomReports() {
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

// Checks the invariants on random fleets with random drains, losses, starts, broken streams, reconnects and load
// reports, with late and lost acknowledgements. The limits follow from the configuration.
func TestInvariantsHoldForRandomFleets(t *testing.T) {
	checkRandomFleets(t, false)
}

// Checks the same where an update may be sent to some of its proxies now and to others later.
func TestInvariantsHoldForRandomFleetsWithPartialDelivery(t *testing.T) {
	checkRandomFleets(t, true)
}

func checkRandomFleets(t *testing.T, partialDelivery bool) {
	const ticks = 75
	rapid.Check(t, func(t *rapid.T) {
		run := drawRun(t, partialDelivery)
		run.start()
		startedAt := run.fleet.now
		for k := range ticks {
			if k == 1 && rapid.IntRange(0, 3).Draw(t, "early loss") == 0 { // in safe mode
				run.fleet.setStatus(model.EndpointDraining, run.replicasOfZone(0)...)
			}
			run.fleet.advanceTo(startedAt + model.Microseconds(k+1)*run.tick())
			run.applyRandomEvent()
			if k%ticksPerReport == 0 {
				run.deliverRandomReports()
			}
			run.fleet.tick()
		}
	})
}

// Guards against a release whose last withdrawals wait because the messages that a limit allows are used up: the limit
// on drains of a fleet with twelve messages to a proxy within 10 s holds at each pace of a release.
func TestDrainLimitHoldsInReleaseWithMessageLimit(t *testing.T) {
	for name, tt := range map[string]struct {
		replicas, proxies, replaced int
		releaseAt, pace             model.Microseconds
	}{
		"six in ten within 7 s":            {15, 18, 9, 6 * model.Second, 430 * model.Millisecond},
		"six in ten, later":                {15, 18, 9, 12 * model.Second, 430 * model.Millisecond},
		"six in ten, between two updates":  {15, 18, 9, 20300 * model.Millisecond, 430 * model.Millisecond},
		"six in ten of forty":              {40, 24, 24, 9 * model.Second, 290 * model.Millisecond},
		"one a second":                     {20, 40, 12, 9 * model.Second, model.Second},
		"one each 1.7 s, as weights go":    {20, 40, 10, 9100 * model.Millisecond, 1700 * model.Millisecond},
		"in safe mode, before any binding": {15, 18, 9, 300 * model.Millisecond, 430 * model.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newSimulatedFleet(t, model.Config{
				Seed: 7, Operations: invariantOperations(), Zones: 3, FullQuota: 1,
				SubscriptionRequired: true, ProxiesAvoidFailing: true,
				StandingTableSize: 8, ReportPeriod: model.Second, MessageOverhead: 4, QueueLimit: 3700,
				MessageLimit: 12, MessageWindow: 10 * model.Second, CrossZoneCost: 0.01, PublishCost: 0.08,
				UtilizationField: -1, WarmUpPeriod: 17 * model.Second, ProxyCount: tt.proxies, MinReplicaConnections: 260,
			})
			fleet.entriesPerSecond = 3700
			fleet.delay = 200 * model.Millisecond
			fleet.drainLimit = 1800 * model.Millisecond // grace of 1.5 s, 0.3 s for the network
			fleet.emptyLimit = 2900 * model.Millisecond
			release := newRollingRelease(fleet, fleet.addReplicas(tt.replicas), tt.replaced)
			fleet.startBalancer(release.all)
			for p := range tt.proxies {
				fleet.connect(model.ProxyID(p), p%fleet.config.Zones, true)
			}
			release.run(fleet.now+tt.releaseAt, tt.pace)
		})
	}
}

// Four of five balancers fail during a release, so 185 proxies connect to the fifth and keep the tables of the failed
// ones; then sixty replicas drain or are removed at once. Notifying the unbound proxies of each withdrawal costs
// eight messages for each proxy, which takes 8.9 s at the speed of the channel, where 3 s are allowed. If the proxies
// are bound first, they need no separate withdrawals (scenario herd+mass, 30 nodes, seed 2).
func TestDrainLimitHoldsWhenReplicasDrainWhileProxiesReconnect(t *testing.T) {
	const (
		replicas      = 200
		ownProxies    = 19
		proxiesMoving = 185
		allProxies    = ownProxies + proxiesMoving
		ticks         = 90
		movesFrom     = 50 // tick; all proxies have moved six ticks later
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
	startedAt, connected := fleet.now, 0
	for tick := 1; tick <= ticks; tick++ {
		fleet.advanceTo(startedAt + model.Microseconds(tick)*tickSpan)
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
			t.Fatalf("proxy %d is not bound at the end", id)
		}
	}
}

// connectWithEntries connects a proxy that has further entries in addition to its standing table; entries is
// the number of further entries.
func (f *simulatedFleet) connectWithEntries(number, entries int) {
	id := model.ProxyID(number)
	f.connect(id, number%f.config.Zones, true)
	for k := range entries {
		f.proxies[id].weights[replicaID((number*37+k*17)%len(f.replicas)+1)] = 1
	}
}

// rollingRelease replaces replicas one after the other: each drains, is gone 2.5 s later and comes back 1 s after that.
type rollingRelease struct {
	fleet    *simulatedFleet
	all      []int
	replaced int // number of replicas that are replaced
}

func newRollingRelease(fleet *simulatedFleet, all []int, replaced int) *rollingRelease {
	return &rollingRelease{fleet, all, replaced}
}

// statusChange is a change of a replica's status at a time.
type statusChange struct {
	at      model.Microseconds
	replica int
	status  model.EndpointStatus
}

// run runs the fleet until 10 s after the last replica has come back. The first drains at a time, each further one a
// pace later.
func (r *rollingRelease) run(at, pace model.Microseconds) {
	const (
		goneAfter = 2500 * model.Millisecond
		backAfter = 3500 * model.Millisecond
	)
	var changes []statusChange
	for n := range r.replaced {
		drainsAt := at + model.Microseconds(n)*pace
		changes = append(changes,
			statusChange{drainsAt, r.all[n], model.EndpointDraining},
			statusChange{drainsAt + goneAfter, r.all[n], model.EndpointGone},
			statusChange{drainsAt + backAfter, r.all[n], model.EndpointReady})
	}
	slices.SortStableFunc(changes, func(a, b statusChange) int { return cmp.Compare(a.at, b.at) })
	startedAt := r.fleet.now
	end := changes[len(changes)-1].at + 10*model.Second
	for tick := 1; r.fleet.now < end; tick++ {
		tickAt := startedAt + model.Microseconds(tick)*tickSpan
		for len(changes) > 0 && changes[0].at <= tickAt {
			r.apply(changes[0])
			changes = changes[1:]
		}
		r.fleet.advanceTo(tickAt)
		if tick%ticksPerSecond == 0 {
			r.fleet.reportReady(r.all)
		}
		r.fleet.tick()
	}
}

// apply changes a replica's status at the time of the change and flushes, as the controller does.
func (r *rollingRelease) apply(change statusChange) {
	r.fleet.advanceTo(change.at)
	if change.status == model.EndpointReady {
		r.fleet.replicas[replicaID(change.replica)].startedAt = change.at
	}
	r.fleet.setStatus(change.status, change.replica)
	r.fleet.flush()
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
