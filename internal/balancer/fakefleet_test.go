package balancer

import (
	"fmt"
	"testing"

	"peppervale/internal/model"
)

const (
	tickSpan       = 200 * model.Millisecond
	ticksPerSecond = 5
)

// fakeFleet is a fleet that a test controls step by step. It records the updates that the balancer publishes. If
// acknowledges is set, its proxies acknowledge them after the flush.
type fakeFleet struct {
	t            *testing.T
	balancer     *Balancer
	now          model.Microseconds
	acknowledges bool

	connected         []model.ProxyID
	pendingAcks       []fakeAck                                     // passed to the balancer after the flush
	weights           map[model.ReplicaID]float64                   // of table 0
	tableWeights      map[model.TableID]map[model.ReplicaID]float64 // of all tables
	binds             map[model.ProxyID]int                         // number of binds
	boundTables       map[bindKey]model.TableID
	withdrawn         map[model.ReplicaID]bool
	quotas            map[uint16]float64
	publishedPolicies map[model.RetryPolicy]bool // published at any time
	updates           []string                   // all updates, in the order published
	messageTimes      []model.Microseconds
	subscriptions     int // number of subscriptions
	logMessages       []string
}

type bindKey struct {
	proxy      model.ProxyID
	operations uint16
}

type fakeAck struct {
	proxy    model.ProxyID
	sequence uint32
}

func (f *fakeFleet) SetWeight(table model.TableID, r model.ReplicaID, weight float64) {
	f.updates = append(f.updates, fmt.Sprint(table, r, weight))
	if !(weight >= 0) || weight > 1e6 {
		f.t.Errorf("weight %v is not between 0 and 1e6", weight)
	}
	if f.tableWeights[table] == nil {
		f.tableWeights[table] = map[model.ReplicaID]float64{}
	}
	f.tableWeights[table][r] = weight
	if table == 0 {
		f.weights[r] = weight
	}
}

func (f *fakeFleet) BindProxy(p model.ProxyID, table model.TableID, operations uint16, _ []model.ReplicaID) {
	f.boundTables[bindKey{p, operations}] = table
	f.updates = append(f.updates, fmt.Sprint(p, table))
	f.binds[p]++
}

func (f *fakeFleet) SetWithdrawn(r model.ReplicaID, withdrawn bool) {
	f.updates = append(f.updates, withdrawalText(r, withdrawn))
	f.withdrawn[r] = withdrawn
}

func withdrawalText(r model.ReplicaID, withdrawn bool) string { return fmt.Sprint(r, withdrawn) }

func (f *fakeFleet) SetQuota(operations uint16, quota float64, policy model.RetryPolicy) {
	f.updates = append(f.updates, fmt.Sprint(operations, quota, policy))
	f.quotas[operations] = quota
	f.publishedPolicies[policy] = true
}

func (f *fakeFleet) RequestAck(sequence uint32, _ bool, _ []model.ProxyID) {
	f.messageTimes = append(f.messageTimes, f.now)
	if !f.acknowledges {
		return
	}
	for _, p := range f.connected {
		f.pendingAcks = append(f.pendingAcks, fakeAck{p, sequence})
	}
}

func (f *fakeFleet) SetTimer(model.Microseconds) {}
func (f *fakeFleet) Subscribe()                  { f.subscriptions++ }
func (f *fakeFleet) Log(text string)             { f.logMessages = append(f.logMessages, text) }

// replicaID returns the ID of the replica with a number; numbers start at 1.
func replicaID(n int) model.ReplicaID {
	return model.ReplicaID{Addr: [4]byte{10, 0, byte(n / 250), byte(n % 250)}, Port: 5000}
}

func readyEndpoint(n, zone int) model.Endpoint {
	return model.Endpoint{ID: replicaID(n), Zone: zone, Status: model.EndpointReady}
}

// fakeFleetConfig returns the configuration of a fakeFleet, which tests may change.
func fakeFleetConfig() model.Config {
	return model.Config{
		Operations: []model.Operation{
			{LatencyObjective: 500000, PriorityWeight: 1},
			{LatencyObjective: 500000, PriorityWeight: 3},
		},
		Zones: 2, SubscriptionRequired: true, ProxiesAvoidFailing: true, AdmissionControl: true, FullQuota: 1,
		StandingTableSize: 4, ReportPeriod: model.Second, MessageOverhead: 6, QueueLimit: 5000, CrossZoneCost: 0.05,
		UtilizationField: -1, WarmUpPeriod: 17 * model.Second,
	}
}

// startFleet starts a balancer with n replicas, 1 to n, that are ready in zone 0, and connects proxies 1 and 2 in
// that zone.
func startFleet(t *testing.T, n int, change func(*model.Config)) *fakeFleet {
	t.Helper()
	config := fakeFleetConfig()
	if change != nil {
		change(&config)
	}
	fleet := &fakeFleet{
		t: t, now: model.Second, acknowledges: true,
		weights:           map[model.ReplicaID]float64{},
		tableWeights:      map[model.TableID]map[model.ReplicaID]float64{},
		binds:             map[model.ProxyID]int{},
		boundTables:       map[bindKey]model.TableID{},
		withdrawn:         map[model.ReplicaID]bool{},
		quotas:            map[uint16]float64{},
		publishedPolicies: map[model.RetryPolicy]bool{},
	}
	fleet.balancer = New(config, fleet, fleet.now)
	var endpoints []model.Endpoint
	for k := range n {
		endpoints = append(endpoints, readyEndpoint(k+1, 0))
	}
	fleet.updateEndpoints(model.CachedList, endpoints...)
	fleet.connect(1)
	fleet.connect(2)
	fleet.flush()
	return fleet
}

// startWarmFleet starts a fleet and lets twelve seconds with good reports pass. Afterwards safe mode is over and
// weights are stable.
func startWarmFleet(t *testing.T, n int, change func(*model.Config)) *fakeFleet {
	t.Helper()
	fleet := startFleet(t, n, change)
	fleet.advance(12, fleet.goodReports(n))
	return fleet
}

func (f *fakeFleet) connect(p model.ProxyID) {
	f.connected = append(f.connected, p)
	f.balancer.ProxyConnected(f.now, p, 0, 10)
}

// connectMore connects count proxies, numbered from 3.
func (f *fakeFleet) connectMore(count int) {
	for k := range count {
		f.connect(model.ProxyID(k + 3))
	}
}

func (f *fakeFleet) disconnect(p model.ProxyID) { f.balancer.ProxyDisconnected(f.now, p) }

func (f *fakeFleet) flush() {
	f.balancer.Flush(f.now)
	for _, ack := range f.pendingAcks {
		f.balancer.Acknowledged(f.now, ack.proxy, ack.sequence)
	}
	f.pendingAcks = nil
}

// acknowledge makes every proxy acknowledge messages up to a sequence number.
func (f *fakeFleet) acknowledge(sequence int) {
	for _, p := range f.connected {
		f.balancer.Acknowledged(f.now, p, uint32(sequence))
	}
}

// advance lets a number of seconds pass, tick by tick, and calls report once a second.
func (f *fakeFleet) advance(seconds int, report func()) {
	for k := range seconds * ticksPerSecond {
		f.now += tickSpan
		if report != nil && k%ticksPerSecond == 0 {
			report()
		}
		f.balancer.TimerFired(f.now)
		f.flush()
	}
}

// report delivers a load report on one second of attempts at a replica.
func (f *fakeFleet) report(n, attempts, errors int, latency model.Microseconds) {
	f.balancer.LoadReported(f.now, model.LoadReport{
		Replica: replicaID(n), Attempts: attempts, Errors: errors, MeanLatency: latency, Window: model.Second,
		Readings: []float64{0.5},
	})
}

// reportsOf returns a function that delivers the same load report for each of the replicas first to last.
func (f *fakeFleet) reportsOf(first, last, attempts, errors int, latency model.Microseconds) func() {
	return func() {
		for n := first; n <= last; n++ {
			f.report(n, attempts, errors, latency)
		}
	}
}

// goodReports returns a function that reports ten quick attempts without errors at each of the replicas 1 to n.
func (f *fakeFleet) goodReports(n int) func() { return f.reportsOf(1, n, 10, 0, 100*model.Millisecond) }

// reportUtilization reports ten good attempts and a utilization of the cores at each of the replicas first to last.
func (f *fakeFleet) reportUtilization(first, last int, latency model.Microseconds, utilization float64) {
	for n := first; n <= last; n++ {
		f.balancer.LoadReported(f.now, model.LoadReport{
			Replica: replicaID(n), Attempts: 10, MeanLatency: latency, Window: model.Second,
			Readings: []float64{utilization},
		})
	}
}

func (f *fakeFleet) updateEndpoints(update model.EndpointUpdate, endpoints ...model.Endpoint) {
	f.balancer.EndpointsChanged(f.now, update, endpoints)
}

// updateStatus delivers an endpoint update with a status and a start time for replicas of zone 0.
func (f *fakeFleet) updateStatus(status model.EndpointStatus, startedAt model.Microseconds, numbers ...int) {
	var endpoints []model.Endpoint
	for _, n := range numbers {
		endpoints = append(endpoints, model.Endpoint{ID: replicaID(n), Status: status, StartedAt: startedAt})
	}
	f.updateEndpoints(model.ChangedEntries, endpoints...)
}

// listAsStarted delivers an endpoint update in which replicas of zone 0 are ready and started the given age ago.
func (f *fakeFleet) listAsStarted(age model.Microseconds, numbers ...int) {
	f.updateStatus(model.EndpointReady, f.now-age, numbers...)
}

func (f *fakeFleet) remove(numbers ...int) {
	f.updateStatus(model.EndpointGone, 0, numbers...)
	f.flush()
}

func (f *fakeFleet) drain(numbers ...int) {
	f.updateStatus(model.EndpointDraining, 0, numbers...)
	f.flush()
}

// weight returns the weight of a replica in table 0.
func (f *fakeFleet) weight(n int) float64 { return f.weights[replicaID(n)] }

func (f *fakeFleet) isWithdrawn(n int) bool { return f.withdrawn[replicaID(n)] }

// require ends a test with a message if a condition does not hold.
func require(t *testing.T, holds bool, format string, args ...any) {
	t.Helper()
	if !holds {
		t.Fatalf(format, args...)
	}
}

func (f *fakeFleet) requireWithdrawn(t *testing.T, n int, why string) {
	t.Helper()
	require(t, f.isWithdrawn(n), "replica %d is not withdrawn, though %s", n, why)
}

func (f *fakeFleet) requireNotWithdrawn(t *testing.T, n int, why string) {
	t.Helper()
	require(t, !f.isWithdrawn(n), "replica %d is withdrawn, though %s", n, why)
}

// requireNeverWithdrawn fails if any replica was withdrawn or readmitted at any time.
func (f *fakeFleet) requireNeverWithdrawn(t *testing.T) {
	t.Helper()
	require(t, len(f.withdrawn) == 0, "replicas were withdrawn or readmitted: %v", f.withdrawn)
}

// requireBound fails unless exactly count proxies were bound.
func (f *fakeFleet) requireBound(t *testing.T, count int, when string) {
	t.Helper()
	require(t, len(f.binds) == count, "%d proxies are bound %s, want %d: %v", len(f.binds), when, count, f.binds)
}

// requireUnacked fails if more entries than limit are unacknowledged.
func (f *fakeFleet) requireUnacked(t *testing.T, limit int, when string) {
	t.Helper()
	unacked := f.balancer.window.unackedEntries
	require(t, unacked <= limit, "%d entries are unacknowledged %s, more than the limit of this check", unacked, when)
}
