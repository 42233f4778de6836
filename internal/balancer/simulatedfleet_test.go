package balancer

import (
	"slices"

	"peppervale/internal/model"
)

// never is the time of what did not happen.
const never model.Microseconds = -1

// fataler is what a test and a property check have in common.
type fataler interface{ Fatalf(string, ...any) }

// simulatedFleet is a fleet behind a channel of limited speed: it carries a balancer's updates to proxies late,
// acknowledges them, and checks by what proxies have. It knows nothing of the balancer but its updates.
type simulatedFleet struct {
	t        fataler
	config   model.Config
	balancer *Balancer
	now      model.Microseconds

	drainLimit model.Microseconds // from the update with a drain to the last proxy that may pick the replica
	emptyLimit model.Microseconds // for a proxy without an entry that it may pick

	entriesPerSecond float64            // of the channel
	delay            model.Microseconds // of a message once it has left
	channelFreeAt    model.Microseconds
	drafts           map[model.ProxyID]*simulatedMessage // of the moment
	queue            []*simulatedMessage
	inFlight         []*simulatedMessage

	replicas  map[model.ReplicaID]*simulatedReplica
	proxies   map[model.ProxyID]*simulatedProxy
	tables    map[model.TableID]map[model.ReplicaID]float64
	users     map[model.TableID]map[model.ProxyID]bool
	withdrawn map[model.ReplicaID]bool
	quotas    int // published
}

type simulatedReplica struct {
	zone       int
	status     model.EndpointStatus
	leftListAt model.Microseconds // when the balancer was notified of its drain or end; never: it is ready
	startedAt  model.Microseconds
}

type simulatedProxy struct {
	zone        int
	connected   bool
	connectedAt model.Microseconds
	stream      int // number of its stream
	weights     map[model.ReplicaID]float64
	withdrawn   map[model.ReplicaID]bool
	emptySince  model.Microseconds
	table       model.TableID
	bound       bool // by the balancer's updates
}

// simulatedMessage is what its proxy applies once it arrives.
type simulatedMessage struct {
	to        model.ProxyID
	stream    int
	cost      int
	changes   []func(*simulatedProxy)
	sequence  uint32
	asksAck   bool
	leavesAt  model.Microseconds
	arrivesAt model.Microseconds
}

func newSimulatedFleet(t fataler, config model.Config) *simulatedFleet {
	return &simulatedFleet{
		t:         t,
		config:    config,
		now:       100 * model.Second,
		drafts:    map[model.ProxyID]*simulatedMessage{},
		replicas:  map[model.ReplicaID]*simulatedReplica{},
		proxies:   map[model.ProxyID]*simulatedProxy{},
		tables:    map[model.TableID]map[model.ReplicaID]float64{},
		users:     map[model.TableID]map[model.ProxyID]bool{},
		withdrawn: map[model.ReplicaID]bool{},
	}
}

// addReplicas adds replicas 1 to n, ready, spread over the zones, and returns their numbers.
func (f *simulatedFleet) addReplicas(n int) (numbers []int) {
	for k := range n {
		f.replicas[replicaID(k+1)] = &simulatedReplica{
			zone: k % f.config.Zones, status: model.EndpointReady, leftListAt: never,
		}
		numbers = append(numbers, k+1)
	}
	return numbers
}

// startBalancer starts a balancer with a cached list of replicas.
func (f *simulatedFleet) startBalancer(numbers []int) {
	f.balancer = New(f.config, f, f.now)
	f.updateEndpoints(model.CachedList, numbers...)
}

// draft is the message being written to a proxy.
func (f *simulatedFleet) draft(p model.ProxyID) *simulatedMessage {
	if f.drafts[p] == nil {
		f.drafts[p] = &simulatedMessage{to: p, stream: f.proxies[p].stream, cost: f.config.MessageOverhead}
	}
	return f.drafts[p]
}

func (f *simulatedFleet) SetWeight(table model.TableID, changed model.ReplicaID, weight float64) {
	if f.tables[table] == nil {
		f.tables[table] = map[model.ReplicaID]float64{}
	}
	_, known := f.tables[table][changed]
	f.tables[table][changed] = weight
	if weight == 0 {
		delete(f.tables[table], changed)
	}
	withdrawn := f.withdrawn[changed]
	apply := func(p *simulatedProxy) {
		p.weights[changed] = weight
		if !known { // a new entry is as withdrawn as its replica is by then
			p.withdrawn[changed] = withdrawn
		}
	}
	for p := range f.users[table] {
		message := f.draft(p)
		message.cost++
		message.changes = append(message.changes, apply)
	}
}

func (f *simulatedFleet) BindProxy(id model.ProxyID, table model.TableID, _ uint16, readmitted []model.ReplicaID) {
	p := f.proxies[id]
	if p == nil || !p.connected {
		f.t.Fatalf("a bind for proxy %d, which is not connected", id)
	}
	if p.bound {
		f.t.Fatalf("proxy %d is bound twice in one stream", id)
	}
	p.bound = true
	p.table = table
	if f.users[table] == nil {
		f.users[table] = map[model.ProxyID]bool{}
	}
	f.users[table][id] = true
	message := f.draft(id)
	// Entries that follow in the same message come with it.
	message.cost += 1 + len(f.tables[table]) + f.quotas + len(f.withdrawn) + len(readmitted)
	message.changes = append(message.changes, func(p *simulatedProxy) { f.applyTable(p, table) })
}

// applyTable has a proxy take a table, and all withdrawals, as they are by then.
func (f *simulatedFleet) applyTable(p *simulatedProxy, table model.TableID) {
	clear(p.weights)
	clear(p.withdrawn)
	for r, weight := range f.tables[table] {
		p.weights[r] = weight
	}
	for r := range f.withdrawn {
		p.withdrawn[r] = true
	}
}

func (f *simulatedFleet) SetWithdrawn(changed model.ReplicaID, withdrawn bool) {
	if withdrawn {
		f.withdrawn[changed] = true
	} else {
		delete(f.withdrawn, changed)
	}
	apply := func(p *simulatedProxy) { p.withdrawn[changed] = withdrawn }
	for id, p := range f.proxies {
		_, has := f.tables[p.table][changed]
		if !p.connected || p.bound && !has {
			continue
		}
		message := f.draft(id)
		message.cost++
		message.changes = append(message.changes, apply)
	}
}

func (f *simulatedFleet) SetQuota(_ uint16, _ float64, policy model.RetryPolicy) {
	if policy > model.RetryIfNotExecuted {
		f.t.Fatalf("retry policy %d repeats what may have run", policy)
	}
	f.quotas = len(f.config.Operations)
	for id, p := range f.proxies {
		if p.connected {
			f.draft(id).cost++
		}
	}
}

func (f *simulatedFleet) RequestAck(sequence uint32, all bool) {
	for id, p := range f.proxies {
		if all && p.connected {
			f.draft(id)
		}
	}
	for _, message := range f.drafts {
		message.sequence = sequence
		message.asksAck = true
		message.cost++
	}
}

func (f *simulatedFleet) SetTimer(model.Microseconds) {}
func (f *simulatedFleet) Subscribe()                  {}
func (f *simulatedFleet) Log(string)                  {}

// flush has the balancer flush and queues what it published, in the proxies' order.
func (f *simulatedFleet) flush() {
	f.balancer.Flush(f.now)
	ids := make([]model.ProxyID, 0, len(f.drafts))
	for p := range f.drafts {
		ids = append(ids, p)
	}
	slices.Sort(ids)
	for _, p := range ids {
		message := f.drafts[p]
		span := model.Microseconds(float64(message.cost) / f.entriesPerSecond * float64(model.Second))
		f.channelFreeAt = max(f.channelFreeAt, f.now) + span
		message.leavesAt = f.channelFreeAt
		f.queue = append(f.queue, message)
	}
	clear(f.drafts)
	waiting := 0
	for _, message := range f.queue {
		waiting += message.cost
	}
	if waiting > f.config.QueueLimit {
		f.t.Fatalf("short queue: %d entries wait, %d are allowed", waiting, f.config.QueueLimit)
	}
}

// tick is a tick of the balancer's timer, with the checks after it.
func (f *simulatedFleet) tick() {
	f.balancer.TimerFired(f.now)
	f.flush()
	f.check()
}

// advanceTo lets time pass up to a moment: messages leave, arrive, are applied and acknowledged.
func (f *simulatedFleet) advanceTo(end model.Microseconds) {
	for {
		leaves := len(f.queue) > 0 && f.queue[0].leavesAt <= end
		arrives := len(f.inFlight) > 0 && f.inFlight[0].arrivesAt <= end
		if leaves && arrives { // the earlier one; an arrival first if both are at one time
			arrives = f.inFlight[0].arrivesAt <= f.queue[0].leavesAt
		}
		switch {
		case arrives:
			f.deliverFirst()
		case leaves:
			f.sendFirst()
		default:
			f.now = end
			return
		}
	}
}

// sendFirst takes the first message out of the queue.
func (f *simulatedFleet) sendFirst() {
	message := f.queue[0]
	f.queue = f.queue[1:]
	f.now = message.leavesAt
	message.arrivesAt = f.now + f.delay
	f.inFlight = append(f.inFlight, message)
}

// deliverFirst has a proxy apply and acknowledge the first message in flight, unless its stream has ended.
func (f *simulatedFleet) deliverFirst() {
	message := f.inFlight[0]
	f.inFlight = f.inFlight[1:]
	f.now = message.arrivesAt
	p := f.proxies[message.to]
	if p == nil || !p.connected || p.stream != message.stream {
		return
	}
	for _, change := range message.changes {
		change(p)
	}
	f.check()
	if message.asksAck {
		f.balancer.Acknowledged(f.now, message.to, message.sequence)
	}
}

// check looks at what each connected proxy has now.
func (f *simulatedFleet) check() {
	warm := f.hasWarmReplica()
	for id, p := range f.proxies {
		if !p.connected {
			continue
		}
		f.checkDrained(id, p)
		switch empty := !p.mayPickAny(); {
		case !empty || !warm:
			p.emptySince = never
		case p.emptySince < 0:
			p.emptySince = f.now
		case f.now-p.emptySince > f.emptyLimit:
			f.t.Fatalf("lost: proxy %d has no entry for %d us", id, f.now-p.emptySince)
		}
	}
}

// checkDrained fails if a proxy may still pick a replica that the balancer was to withdraw.
func (f *simulatedFleet) checkDrained(id model.ProxyID, p *simulatedProxy) {
	for r := range p.weights {
		left := f.replicas[r].leftListAt
		if left == never || !p.mayPick(r) {
			continue
		}
		if late := f.now - max(left, p.connectedAt); late > f.drainLimit {
			f.t.Fatalf("drain: proxy %d may pick %v %d us after the balancer was notified", id, r, late)
		}
	}
}

func (f *simulatedFleet) hasWarmReplica() bool {
	for _, r := range f.replicas {
		if r.status == model.EndpointReady && f.now-r.startedAt >= f.config.WarmUpPeriod {
			return true
		}
	}
	return false
}

func (p *simulatedProxy) mayPick(r model.ReplicaID) bool { return p.weights[r] != 0 && !p.withdrawn[r] }

func (p *simulatedProxy) mayPickAny() bool {
	for r := range p.weights {
		if p.mayPick(r) {
			return true
		}
	}
	return false
}

// connect gives a proxy a stream; a fresh one has a standing table of its zone's replicas.
func (f *simulatedFleet) connect(id model.ProxyID, zone int, fresh bool) {
	if f.proxies[id] == nil || fresh {
		f.proxies[id] = &simulatedProxy{
			zone: zone, weights: f.standingTable(zone), withdrawn: map[model.ReplicaID]bool{}, emptySince: never,
		}
	}
	f.disconnect(id)
	p := f.proxies[id]
	p.connected = true
	p.connectedAt = f.now
	p.bound = false
	p.emptySince = never
	p.stream++
	f.balancer.ProxyConnected(f.now, id, p.zone, 5)
}

// standingTable has up to three ready replicas of a zone, and then others up to the size of a standing table.
func (f *simulatedFleet) standingTable(zone int) map[model.ReplicaID]float64 {
	const ofZone = 3
	weights := map[model.ReplicaID]float64{}
	add := func(limit int, wanted func(*simulatedReplica) bool) {
		for n := 1; n <= len(f.replicas) && len(weights) < limit; n++ {
			if r := f.replicas[replicaID(n)]; r.status == model.EndpointReady && wanted(r) {
				weights[replicaID(n)] = 1
			}
		}
	}
	add(min(ofZone, f.config.StandingTableSize), func(r *simulatedReplica) bool { return r.zone == zone })
	add(min(2*ofZone, f.config.StandingTableSize), func(*simulatedReplica) bool { return true })
	return weights
}

// disconnect ends a proxy's stream: messages queued or in flight to it are lost.
func (f *simulatedFleet) disconnect(id model.ProxyID) {
	p := f.proxies[id]
	if p == nil || !p.connected {
		return
	}
	p.connected = false
	for _, users := range f.users {
		delete(users, id)
	}
	lost := func(message *simulatedMessage) bool { return message.to == id }
	f.queue = slices.DeleteFunc(f.queue, lost)
	f.inFlight = slices.DeleteFunc(f.inFlight, lost)
	f.balancer.ProxyDisconnected(f.now, id)
}

// restartBalancer replaces the balancer by a new one, which starts with the cached endpoint list only.
func (f *simulatedFleet) restartBalancer(numbers []int) {
	for id := range f.proxies {
		f.proxies[id].connected = false
	}
	f.queue = nil
	f.inFlight = nil
	f.channelFreeAt = 0
	clear(f.tables)
	clear(f.users)
	clear(f.withdrawn)
	for _, r := range f.replicas {
		r.leftListAt = never
	}
	f.startBalancer(numbers)
}

// setStatus changes the status of replicas and notifies the balancer.
func (f *simulatedFleet) setStatus(status model.EndpointStatus, numbers ...int) {
	for _, n := range numbers {
		f.replicas[replicaID(n)].status = status
	}
	f.updateEndpoints(model.ChangedEntries, numbers...)
}

func (f *simulatedFleet) updateEndpoints(update model.EndpointUpdate, numbers ...int) {
	var endpoints []model.Endpoint
	for _, n := range numbers {
		r := f.replicas[replicaID(n)]
		endpoints = append(endpoints, model.Endpoint{
			ID: replicaID(n), Zone: r.zone, Status: r.status, StartedAt: r.startedAt,
		})
		if r.status == model.EndpointReady {
			r.leftListAt = never
		} else if r.leftListAt == never {
			r.leftListAt = f.now
		}
	}
	f.balancer.EndpointsChanged(f.now, update, endpoints)
}
