package balancer

import (
	"maps"
	"slices"

	"peppervale/internal/model"
)

// never is the time of an event that did not happen.
const never model.Microseconds = -1

// fatalReporter has the method that testing.T and rapid.T have in common.
type fatalReporter interface{ Fatalf(string, ...any) }

// simulatedFleet is a fleet behind a channel of limited speed. It delivers a balancer's updates to proxies with a
// delay, acknowledges them, and checks the tables and withdrawals of the proxies. It uses only the updates of the
// balancer.
type simulatedFleet struct {
	t        fatalReporter
	config   model.Config
	balancer *Balancer
	now      model.Microseconds

	drainLimit model.Microseconds // longest time from a drain update until no proxy may pick the replica
	emptyLimit model.Microseconds // longest time that a proxy may have no entry to pick

	entriesPerSecond float64            // of the channel
	delay            model.Microseconds // from sending a message to its arrival
	channelIdleAt    model.Microseconds
	pendingMessages  map[model.ProxyID]*simulatedMessage // messages being written, by proxy
	recipients       []model.ProxyID                     // with partial delivery: whose messages are sent in this flush
	queue            []*simulatedMessage
	inFlight         []*simulatedMessage

	replicas        map[model.ReplicaID]*simulatedReplica
	proxies         map[model.ProxyID]*simulatedProxy
	tables          map[model.TableID]map[model.ReplicaID]float64
	users           map[model.TableID]map[model.ProxyID]bool
	withdrawn       map[model.ReplicaID]bool
	publishedQuotas int // number of published quotas
}

type simulatedReplica struct {
	zone       int
	status     model.EndpointStatus
	leftListAt model.Microseconds // when the balancer was notified that it drains or is gone; never: it is ready
	startedAt  model.Microseconds
}

// responsiveness is how a connected proxy treats the messages that arrive.
type responsiveness uint8

const (
	responsive        responsiveness = iota // it applies and acknowledges each
	hung                                    // it reads nothing until it is responsive again
	acknowledgingNone                       // it applies each and acknowledges none
	acknowledgingHalf                       // it applies each and acknowledges every second one
)

type simulatedProxy struct {
	zone        int
	connected   bool
	connectedAt model.Microseconds
	stream      int // number of the current stream
	weights     map[model.ReplicaID]float64
	withdrawn   map[model.ReplicaID]bool
	emptySince  model.Microseconds
	sentAt      []model.Microseconds // when the messages of the current stream were written
	table       model.TableID
	bound       bool                     // the balancer has bound it in this stream
	notified    map[model.ReplicaID]bool // replicas whose withdrawal its messages of this stream contain

	responsiveness responsiveness
	unread         []*simulatedMessage // messages that arrived while it was hung
	readCount      int
}

// simulatedMessage is a message to a proxy, which applies its changes when it arrives.
type simulatedMessage struct {
	to          model.ProxyID
	stream      int
	binds       bool // it contains a whole table instead of changes
	readmitted  int  // replicas that the bind readmits
	cost        int
	changes     []func(*simulatedProxy)
	sequence    uint32
	requestsAck bool
	leavesAt    model.Microseconds
	arrivesAt   model.Microseconds
}

func newSimulatedFleet(t fatalReporter, config model.Config) *simulatedFleet {
	return &simulatedFleet{
		t:               t,
		config:          config,
		now:             100 * model.Second,
		pendingMessages: map[model.ProxyID]*simulatedMessage{},
		replicas:        map[model.ReplicaID]*simulatedReplica{},
		proxies:         map[model.ProxyID]*simulatedProxy{},
		tables:          map[model.TableID]map[model.ReplicaID]float64{},
		users:           map[model.TableID]map[model.ProxyID]bool{},
		withdrawn:       map[model.ReplicaID]bool{},
	}
}

// addReplicas adds n ready replicas, 1 to n, spread over the zones, and returns their numbers.
func (f *simulatedFleet) addReplicas(n int) (numbers []int) {
	for k := range n {
		f.replicas[replicaID(k+1)] = &simulatedReplica{
			zone: k % f.config.Zones, status: model.EndpointReady, leftListAt: never,
		}
		numbers = append(numbers, k+1)
	}
	return numbers
}

// startBalancer starts a balancer with a cached endpoint list of the given replicas.
func (f *simulatedFleet) startBalancer(numbers []int) {
	f.balancer = New(f.config, f, f.now)
	f.updateEndpoints(model.CachedList, numbers...)
}

// messageTo returns the message being written to a proxy.
func (f *simulatedFleet) messageTo(p model.ProxyID) *simulatedMessage {
	if f.pendingMessages[p] == nil {
		f.pendingMessages[p] = &simulatedMessage{to: p, stream: f.proxies[p].stream, cost: f.config.MessageOverhead}
	}
	return f.pendingMessages[p]
}

func (f *simulatedFleet) SetWeight(table model.TableID, changedReplica model.ReplicaID, weight float64) {
	if f.tables[table] == nil {
		f.tables[table] = map[model.ReplicaID]float64{}
	}
	_, known := f.tables[table][changedReplica]
	f.tables[table][changedReplica] = weight
	if weight == 0 {
		delete(f.tables[table], changedReplica)
	}
	withdrawn := f.withdrawn[changedReplica]
	apply := func(p *simulatedProxy) {
		p.weights[changedReplica] = weight
		if !known { // a new entry carries the withdrawal state of its replica
			p.withdrawn[changedReplica] = withdrawn
		}
	}
	for p := range f.users[table] {
		if !known {
			f.proxies[p].notified[changedReplica] = withdrawn
		}
		message := f.messageTo(p)
		message.cost++
		message.changes = append(message.changes, apply)
	}
}

func (f *simulatedFleet) BindProxy(id model.ProxyID, table model.TableID, _ uint16, readmitted []model.ReplicaID) {
	p := f.proxies[id]
	if p == nil || !p.connected {
		f.t.Fatalf("proxy %d is bound but not connected", id)
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
	message := f.messageTo(id)
	message.binds = true
	message.readmitted = len(readmitted)
}

func (f *simulatedFleet) SetWithdrawn(changedReplica model.ReplicaID, withdrawn bool) {
	if withdrawn {
		f.withdrawn[changedReplica] = true
	} else {
		delete(f.withdrawn, changedReplica)
	}
	apply := func(p *simulatedProxy) { p.withdrawn[changedReplica] = withdrawn }
	for id, p := range f.proxies {
		_, hasEntry := f.tables[p.table][changedReplica]
		isKnown := f.config.PartialDelivery && withdrawn && p.notified[changedReplica]
		if !p.connected || p.bound && !hasEntry || isKnown {
			continue
		}
		p.notified[changedReplica] = withdrawn
		message := f.messageTo(id)
		message.cost++
		message.changes = append(message.changes, apply)
	}
}

func (f *simulatedFleet) SetQuota(_ uint16, _ float64, policy model.RetryPolicy) {
	if policy > model.RetryIfNotExecuted {
		f.t.Fatalf("retry policy %d repeats requests that may have been executed", policy)
	}
	f.publishedQuotas = len(f.config.Operations)
	for id, p := range f.proxies {
		if p.connected {
			f.messageTo(id).cost++
		}
	}
}

func (f *simulatedFleet) RequestAck(sequence uint32, all bool, recipients []model.ProxyID) {
	f.recipients = recipients
	if f.config.PartialDelivery {
		for _, id := range recipients {
			f.requestAck(f.messageTo(id), sequence)
		}
		return
	}
	for id, p := range f.proxies {
		if all && p.connected {
			f.messageTo(id)
		}
	}
	for _, message := range f.pendingMessages {
		f.requestAck(message, sequence)
	}
}

func (f *simulatedFleet) requestAck(message *simulatedMessage, sequence uint32) {
	message.sequence = sequence
	message.requestsAck = true
	message.cost++
}

func (f *simulatedFleet) SetTimer(model.Microseconds) {}
func (f *simulatedFleet) Subscribe()                  {}
func (f *simulatedFleet) Log(string)                  {}

// flush flushes the balancer and queues its messages, ordered by proxy.
func (f *simulatedFleet) flush() {
	f.recipients = nil
	f.balancer.Flush(f.now)
	for _, p := range f.proxiesToSend() {
		message := f.pendingMessages[p]
		delete(f.pendingMessages, p)
		if message.binds {
			message.cost = f.bindCost(message)
			f.completeBind(message)
		}
		span := model.Microseconds(float64(message.cost) / f.entriesPerSecond * float64(model.Second))
		f.channelIdleAt = max(f.channelIdleAt, f.now) + span
		message.leavesAt = f.channelIdleAt
		f.queue = append(f.queue, message)
		f.checkMessageLimit(p)
	}
	queuedEntries := 0
	for _, message := range f.queue {
		queuedEntries += message.cost
	}
	if queuedEntries > f.config.QueueLimit {
		f.t.Fatalf("short queue: %d entries are queued, the limit is %d", queuedEntries, f.config.QueueLimit)
	}
}

// proxiesToSend returns the proxies whose messages are sent in this flush, in order.
func (f *simulatedFleet) proxiesToSend() []model.ProxyID {
	if f.config.PartialDelivery {
		return f.recipients
	}
	return slices.Sorted(maps.Keys(f.pendingMessages))
}

// completeBind gives a message that binds its proxy the table and the withdrawals as they are when it is sent.
func (f *simulatedFleet) completeBind(message *simulatedMessage) {
	weights := maps.Clone(f.tables[f.proxies[message.to].table])
	withdrawn := maps.Clone(f.withdrawn)
	message.changes = []func(*simulatedProxy){func(p *simulatedProxy) {
		clear(p.weights)
		maps.Copy(p.weights, weights)
		clear(p.withdrawn)
		maps.Copy(p.withdrawn, withdrawn)
	}}
}

// bindCost returns the cost of a message that binds its proxy. It contains each entry of the table once, the quotas and
// the withdrawals of the replicas in the table, whatever was published in the same flush.
func (f *simulatedFleet) bindCost(message *simulatedMessage) int {
	table := f.tables[f.proxies[message.to].table]
	cost := f.config.MessageOverhead + 1 + len(table) + f.publishedQuotas + message.readmitted
	for r := range table {
		if f.withdrawn[r] {
			cost++
		}
	}
	if message.requestsAck {
		cost++
	}
	return cost
}

// checkMessageLimit records a message to a proxy and fails if the proxy's stream has got too many. One message is left
// for a repeated request of an acknowledgement.
func (f *simulatedFleet) checkMessageLimit(id model.ProxyID) {
	if f.config.MessageLimit == 0 {
		return
	}
	p := f.proxies[id]
	p.sentAt = append(p.sentAt, f.now)
	inWindow := 0
	for _, at := range p.sentAt {
		if f.now-at < f.config.MessageWindow {
			inWindow++
		}
	}
	if inWindow > f.config.MessageLimit-1 {
		f.t.Fatalf("messages: proxy %d got %d within %d us, want at most %d", id, inWindow, f.config.MessageWindow,
			f.config.MessageLimit-1)
	}
}

// tick fires the balancer's timer, flushes and checks the fleet.
func (f *simulatedFleet) tick() {
	f.balancer.TimerFired(f.now)
	f.flush()
	f.checkProxies()
}

// advanceTo advances the time to end: messages are sent, arrive, are applied and acknowledged.
func (f *simulatedFleet) advanceTo(end model.Microseconds) {
	for {
		leaves := len(f.queue) > 0 && f.queue[0].leavesAt <= end
		arrives := len(f.inFlight) > 0 && f.inFlight[0].arrivesAt <= end
		if leaves && arrives { // the earlier event first; the arrival if both have the same time
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

// sendFirst sends the first message of the queue.
func (f *simulatedFleet) sendFirst() {
	message := f.queue[0]
	f.queue = f.queue[1:]
	f.now = message.leavesAt
	message.arrivesAt = f.now + f.delay
	f.inFlight = append(f.inFlight, message)
}

// deliverFirst delivers the first message in flight: its proxy applies and acknowledges it, unless the stream has
// ended.
func (f *simulatedFleet) deliverFirst() {
	message := f.inFlight[0]
	f.inFlight = f.inFlight[1:]
	f.now = message.arrivesAt
	p := f.proxies[message.to]
	if p == nil || !p.connected || p.stream != message.stream {
		return
	}
	if p.responsiveness == hung {
		p.unread = append(p.unread, message)
		return
	}
	f.read(p, message)
}

// read makes a proxy apply a message and acknowledge it.
func (f *simulatedFleet) read(p *simulatedProxy, message *simulatedMessage) {
	for _, change := range message.changes {
		change(p)
	}
	p.readCount++
	f.checkProxies()
	acknowledges := p.responsiveness == responsive || p.responsiveness == acknowledgingHalf && p.readCount%2 == 0
	if message.requestsAck && acknowledges {
		f.balancer.Acknowledged(f.now, message.to, message.sequence)
	}
}

// setResponsiveness changes how a proxy treats messages. One that is no longer hung reads what has arrived.
func (f *simulatedFleet) setResponsiveness(id model.ProxyID, responsiveness responsiveness) {
	p := f.proxies[id]
	wasHung := p.responsiveness == hung
	p.responsiveness = responsiveness
	if !wasHung || responsiveness == hung {
		return
	}
	p.emptySince = never
	for len(p.unread) > 0 {
		f.read(p, p.unread[0])
		p.unread = p.unread[1:]
	}
}

// checkProxies checks the entries and withdrawals of each connected proxy.
func (f *simulatedFleet) checkProxies() {
	hasWarm := f.hasWarmReplica()
	for id, p := range f.proxies {
		if !p.connected || p.responsiveness == hung || len(p.unread) > 0 {
			continue
		}
		f.checkDrained(id, p)
		switch empty := !p.mayPickAny(); {
		case !empty || !hasWarm:
			p.emptySince = never
		case p.emptySince < 0:
			p.emptySince = f.now
		case f.now-p.emptySince > f.emptyLimit:
			f.t.Fatalf("lost: proxy %d has had no entry to pick for %d us", id, f.now-p.emptySince)
		}
	}
}

// checkDrained fails if a proxy may pick a replica for longer than drainLimit after the replica drains or is gone.
func (f *simulatedFleet) checkDrained(id model.ProxyID, p *simulatedProxy) {
	for r := range p.weights {
		leftAt := f.replicas[r].leftListAt
		if leftAt == never || !p.mayPick(r) {
			continue
		}
		if sinceNotified := f.now - max(leftAt, p.connectedAt); sinceNotified > f.drainLimit {
			f.t.Fatalf("drain: proxy %d may still pick %v %d us after the balancer was notified", id, r, sinceNotified)
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

// connect connects a proxy with a new stream. A proxy that connects for the first time, or with
// newStandingTable, gets a standing table of its zone.
func (f *simulatedFleet) connect(id model.ProxyID, zone int, newStandingTable bool) {
	if f.proxies[id] == nil || newStandingTable {
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
	p.sentAt = nil
	p.unread = nil
	p.notified = map[model.ReplicaID]bool{}
	p.stream++
	f.balancer.ProxyConnected(f.now, id, p.zone, 5)
}

// standingTable returns a standing table: up to three ready replicas of a zone, then ready replicas of any zone up to
// six entries. StandingTableSize limits both numbers.
func (f *simulatedFleet) standingTable(zone int) map[model.ReplicaID]float64 {
	const maxZoneReplicas = 3
	weights := map[model.ReplicaID]float64{}
	add := func(limit int, wanted func(*simulatedReplica) bool) {
		for n := 1; n <= len(f.replicas) && len(weights) < limit; n++ {
			if r := f.replicas[replicaID(n)]; r.status == model.EndpointReady && wanted(r) {
				weights[replicaID(n)] = 1
			}
		}
	}
	add(min(maxZoneReplicas, f.config.StandingTableSize), func(r *simulatedReplica) bool { return r.zone == zone })
	add(min(2*maxZoneReplicas, f.config.StandingTableSize), func(*simulatedReplica) bool { return true })
	return weights
}

// disconnect ends a proxy's stream. Messages to it that are queued or in flight are lost.
func (f *simulatedFleet) disconnect(id model.ProxyID) {
	p := f.proxies[id]
	if p == nil || !p.connected {
		return
	}
	p.connected = false
	for _, users := range f.users {
		delete(users, id)
	}
	delete(f.pendingMessages, id)
	isToProxy := func(message *simulatedMessage) bool { return message.to == id }
	f.queue = slices.DeleteFunc(f.queue, isToProxy)
	f.inFlight = slices.DeleteFunc(f.inFlight, isToProxy)
	f.balancer.ProxyDisconnected(f.now, id)
}

// restartBalancer replaces the balancer by a new balancer, which has nothing but a cached endpoint list. All proxies
// are disconnected.
func (f *simulatedFleet) restartBalancer(numbers []int) {
	for id := range f.proxies {
		f.proxies[id].connected = false
	}
	f.queue = nil
	f.inFlight = nil
	clear(f.pendingMessages)
	f.channelIdleAt = 0
	clear(f.tables)
	clear(f.users)
	clear(f.withdrawn)
	for _, r := range f.replicas {
		r.leftListAt = never
	}
	f.startBalancer(numbers)
}

// setStatus changes the status of replicas and delivers the change to the balancer.
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
