package controller

import (
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/balancer"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// ProxyServer carries orders to forwarders; channel.Server and platform.Server are the real ones.
type ProxyServer interface {
	AdmitProxy(p model.ProxyID, stream uint64)
	Publish(b *snapshot.Batch)
}

// Discovery follows the machine list; each Follow subscribes anew and is answered by Listed.
type Discovery interface{ Subscribe() }

// Controller owns one governor. Make it with New, hand it to the channel and the roster as their receiver, then Run it.
type Controller struct {
	*mailbox
	terms   model.Config
	intake  atomic.Int64 // sums a second
	now     func() model.Microseconds
	log     zerolog.Logger
	module  *balancer.Balancer
	channel ProxyServer
	roster  Discovery
	batch   *snapshot.Batch
	wakeAt  model.Microseconds
	stop    chan struct{}
	stopped chan struct{}
	view    atomic.Pointer[View]
	budget  float64
	filled  model.Microseconds
	open    bool
	list    map[model.ReplicaID]model.Endpoint
	ready   int // of them
	listed  model.Microseconds
	known   map[model.ProxyID]Proxy
	worst   model.Microseconds
	steps   uint64
	causes  *causes
	newest  newest
	wanted  atomic.Int64       // when somebody last looked, by the clock
	lookAt  model.Microseconds // when the module was last copied
	look    *Detail
}

// View is what a governor believes after a step. It is never written again.
type View struct {
	At               model.Microseconds
	SafeModeEnded    bool
	ConnectedProxies int
	ReadyReplicas    int // replicas listed as ready
	ListedReplicas   int // replicas in the list
	EndpointsAt      model.Microseconds
	Steps            uint64
	LongestStep      model.Microseconds // the longest that a step took
	PendingReports   int                // sums that wait for their turn
	MergedReports    uint64             // sums that were folded because the module took no more
	Detail           *Detail            // nil, or old, while nobody looks
}

// Detail is the whole of what a governor believes, copied while somebody looks.
type Detail struct {
	At        model.Microseconds
	Balancer  *balancer.View
	Proxies   map[model.ProxyID]Proxy
	Endpoints map[model.ReplicaID]model.Endpoint
}

// Proxy is what a joined one said of itself.
type Proxy struct {
	Name            string
	Zone            int
	ExpectedRate    float64
	OnStandingTable bool
	ConnectedAt     model.Microseconds
}

// A look costs a copy of the fleet, so it is taken at most each lookEvery, and only within lookFor of somebody's asking: a
// console of 200 viewers costs no more than one.
const (
	lookEvery = 200 * model.Millisecond
	lookFor   = 5 * model.Second
)

// Clock gives a monotonic clock in microseconds since 1970, by the wall's time at this call.
func Clock() func() model.Microseconds {
	start := time.Now()
	base := model.Microseconds(start.UnixMicro())
	return func() model.Microseconds { return base + model.Microseconds(time.Since(start)/time.Microsecond) }
}

// New makes a host; intake is the most sums a second that the module is handed.
func New(terms model.Config, intake int, now func() model.Microseconds, log zerolog.Logger) *Controller {
	h := &Controller{mailbox: newMailbox(), terms: terms, now: now, log: log,
		stop: make(chan struct{}), stopped: make(chan struct{}), list: map[model.ReplicaID]model.Endpoint{},
		known: map[model.ProxyID]Proxy{}, causes: newCauses(), newest: newest{sums: map[key]stamped{}}}
	h.intake.Store(int64(intake))
	return h
}

// SetReportLimit changes the most sums a second that the module is handed.
func (h *Controller) SetReportLimit(intake int) { h.intake.Store(int64(intake)) }

// PersistDecisions hands each entry of the journal of causes on as it is made, from the host's goroutine: keep must not block nor
// change it. To be called before Run.
func (h *Controller) PersistDecisions(keep func(*Decision)) { h.causes.keep = keep }

// DisableDecisionLog has no journal of causes kept: where memory is short, and nobody can look at it. To be called before Run.
func (h *Controller) DisableDecisionLog() { h.causes.off = true }

// OldestDecision is the number from which on the journal of causes is in memory.
func (h *Controller) OldestDecision() uint64 { return h.causes.oldest() }

// Run starts the module on what was last known of the list (nil: nothing) and goes on until Stop.
func (h *Controller) Run(ch ProxyServer, roster Discovery, cached []model.Endpoint) {
	defer close(h.stopped)
	h.channel, h.roster = ch, roster
	h.filled = h.now()
	h.batch = &snapshot.Batch{AckSequence: -1}
	h.module = balancer.New(h.terms, h, h.now())
	if len(cached) > 0 {
		h.take(h.now(), taken{list: &news{model.CachedList, cached}})
	}
	h.settle(h.now())
	timer := time.NewTimer(0)
	defer timer.Stop()
	// Events of two milliseconds are taken together, as on the bench: a storm of joins is one step, not many.
	const gather = 2 * time.Millisecond
	for {
		timer.Reset(max(0, time.Duration(h.wakeAt-h.now())*time.Microsecond))
		select {
		case <-h.stop:
			return
		case <-timer.C:
		case <-h.signal:
			select {
			case <-h.stop:
				return
			case <-time.After(gather):
			}
		}
		h.step()
	}
}

// Stop ends Run and waits for it.
func (h *Controller) Stop() {
	close(h.stop)
	<-h.stopped
}

// View is the newest view; nil before the first step.
func (h *Controller) View() *View { return h.view.Load() }

// DetailedView asks that views carry a Look from the next step on, for a while, and gives the newest view.
func (h *Controller) DetailedView() *View {
	h.wanted.Store(int64(h.now()))
	return h.view.Load()
}

// Decisions gives the newest entries of the journal of causes that match, newest first, most at most.
func (h *Controller) Decisions(most int, match func(*Decision) bool) []Decision {
	return h.causes.find(most, match)
}

func (h *Controller) step() {
	now := h.now()
	intake := float64(h.intake.Load())
	h.budget = min(h.budget+float64(now-h.filled)/float64(model.Second)*intake, intake)
	h.filled = now
	t := h.mailbox.take(int(h.budget))
	h.budget -= float64(len(t.sums))
	h.take(now, t)
	if now >= h.wakeAt {
		h.causes.timer = true
		h.module.TimerFired(now)
	}
	h.settle(now)
}

func (h *Controller) take(now model.Microseconds, t taken) {
	if t.list != nil {
		h.causes.input("list %s of %d", scopeNames[t.list.scope], len(t.list.entries))
		h.module.EndpointsChanged(now, t.list.scope, t.list.entries)
		h.keepList(now, t.list)
	}
	for i := range t.slots {
		s := &t.slots[i]
		if _, known := h.known[s.proxy]; s.left && known {
			h.module.ProxyDisconnected(now, s.proxy)
			h.causes.input("left %s", h.known[s.proxy].Name)
			delete(h.known, s.proxy)
		}
		if s.joined {
			h.channel.AdmitProxy(s.proxy, s.stream)
			h.module.ProxyConnected(now, s.proxy, s.zone, s.join.ExpectedRate)
			h.known[s.proxy] = Proxy{s.join.Name, s.zone, s.join.ExpectedRate, s.join.OnStandingTable, now}
			h.causes.input("joined %s", s.join.Name)
		}
		if _, known := h.known[s.proxy]; s.receipt >= 0 && known {
			h.causes.receipts++
			h.module.Acknowledged(now, s.proxy, uint32(s.receipt))
		}
	}
	for _, s := range t.sums {
		h.module.LoadReported(now, s)
	}
	h.newest.note(now, t.sums)
	h.causes.sums += len(t.sums)
}

func (h *Controller) keepList(now model.Microseconds, n *news) {
	if n.scope == model.PollFailed {
		return
	}
	if n.scope != model.ChangedEntries {
		clear(h.list)
	}
	for _, e := range n.entries {
		h.list[e.ID] = e
	}
	h.ready = 0
	for _, e := range h.list {
		if e.Status == model.EndpointReady {
			h.ready++
		}
	}
	if n.scope == model.FullList {
		h.newest.listed(h.list)
		h.listed = now
	}
}

func (h *Controller) settle(now model.Microseconds) {
	h.module.Flush(now)
	if !h.batch.Empty() || h.batch.AckSequence >= 0 {
		h.batch.At = now
		h.channel.Publish(h.batch)
	}
	h.causes.step(now, h.batch)
	h.batch = &snapshot.Batch{AckSequence: -1}
	h.steps++
	h.worst = max(h.worst, h.now()-now)
	v := &View{At: now, SafeModeEnded: h.open, ConnectedProxies: len(h.known), ReadyReplicas: h.ready, ListedReplicas: len(h.list), EndpointsAt: h.listed, Steps: h.steps, LongestStep: h.worst}
	h.mailbox.mu.Lock()
	v.PendingReports, v.MergedReports = len(h.mailbox.turn), h.mailbox.folds
	h.mailbox.mu.Unlock()
	if now-model.Microseconds(h.wanted.Load()) < lookFor && now-h.lookAt >= lookEvery {
		h.lookAt = now
		h.look = &Detail{At: now, Balancer: h.module.View(), Proxies: maps.Clone(h.known), Endpoints: maps.Clone(h.list)}
	}
	v.Detail = h.look
	h.view.Store(v)
}

// The orders of the module: they are gathered and leave after Settle.

func (h *Controller) order(o snapshot.Update) { h.batch.Updates = append(h.batch.Updates, o) }

// SetWeight is an order of the module, see fleet.Host.
func (h *Controller) SetWeight(t model.TableID, r model.ReplicaID, weight float64) {
	h.order(snapshot.Update{Kind: snapshot.SetWeight, Table: t, Replica: r, Weight: weight})
}

// BindProxy is an order of the module, see fleet.Host.
func (h *Controller) BindProxy(p model.ProxyID, t model.TableID, operations uint16, back []model.ReplicaID) {
	h.order(snapshot.Update{Kind: snapshot.BindProxy, Proxy: p, Table: t, Operations: operations, Readmitted: back})
}

// SetWithdrawn is an order of the module, see fleet.Host.
func (h *Controller) SetWithdrawn(r model.ReplicaID, out bool) {
	h.order(snapshot.Update{Kind: snapshot.SetWithdrawn, Replica: r, Withdrawn: out})
}

// SetQuota is an order of the module, see fleet.Host.
func (h *Controller) SetQuota(operations uint16, share float64, w model.RetryPolicy) {
	h.order(snapshot.Update{Kind: snapshot.SetQuota, Quota: pubsubmsg.Quota{Operations: operations, Share: share, RetryPolicy: w}})
}

// RequestAck is an order of the module, see fleet.Host.
func (h *Controller) RequestAck(number uint32, all bool) {
	h.batch.AckSequence, h.batch.AckFromAll = int(number), all
}

// SetTimer is an order of the module, see fleet.Host.
func (h *Controller) SetTimer(after model.Microseconds) { h.wakeAt = h.now() + after }

// Subscribe is an order of the module, see fleet.Host.
func (h *Controller) Subscribe() { h.roster.Subscribe() }

// Log is an order of the module, see fleet.Host.
func (h *Controller) Log(text string) {
	if text == "gate open" {
		h.open = true
	}
	h.causes.said = append(h.causes.said, text)
	h.log.Info().Str("from", "decide").Msg(text)
}

var _ model.Publisher = (*Controller)(nil)

// Check tells start settings that the module cannot use.
func Check(t model.Config) error {
	switch {
	case len(t.Operations) == 0 || len(t.Operations) > 16:
		return fmt.Errorf("%d operations; 1 to 16 are handled", len(t.Operations))
	case t.Zones == 0:
		return fmt.Errorf("no zones")
	case t.ReportPeriod <= 0 || t.QueueLimit <= 0:
		return fmt.Errorf("the period and the queue must be above 0")
	}
	return nil
}
