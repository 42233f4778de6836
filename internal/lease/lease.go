// Package lease says who may order for a part of the fleet. It is free of I/O and holds both sides of the protocol: the register that
// a group agrees on, and the holder that asks for a part and stops in time. Forwarders have a Fence.
//
// Guarantees, as long as no holder's clock runs slower than the register's by more than the drift told (Terms): no two holders may
// order for a part at once; an epoch has one holder, in one life of it; epochs only grow; a forwarder takes nothing of an older epoch
// than it has seen. They hold with messages lost, doubled, late and out of turn, with holders that crash, and with a
// register whose leader changes; model_test.go plays all of that out.
//
// Caveats: clocks are read as spans, never compared between machines, so they may differ by any amount but not run apart faster than
// the drift. A clock that stands while its process goes on (a suspended machine) breaks the bound; take one that goes on.
//
// The register's rows, for a part:
//
//	state                         input            next               effect
//	free                          renew            held, epoch + 1    granted
//	held                          renew by holder  held, from now     granted, same epoch
//	held                          renew by other   held               refused
//	held, the lease ran out       renew by other   held, epoch + 1    granted
//	held                          release          free               the epoch stays
//	any                           lead, unseen     runs out anew      a new leader has not seen when it was renewed
//	any                           lead, seen       runs on            from when the new leader saw it, which is later than it was
//
// The holder's:
//
//	state     input                          next      effect
//	idle      ask                            asking    the time is noted, then the message leaves
//	asking    granted, of this ask           holding   until the time noted + Span
//	asking    refused, of this ask           idle
//	holding   ask                            holding   a renewal; what was held goes on
//	holding   granted, of this ask           holding   until the newer time noted + Span
//	holding   time is up                     idle      stops before anybody else is granted
//	any       granted or refused of another ask        nothing: it is late or came twice
package lease

import "peppervale/internal/model"

// Config are what all members of a group have alike.
type Config struct {
	Duration      model.Microseconds // that a lease lasts after it was asked for, by the holder's clock
	MaxClockDrift model.Microseconds // that the holder's clock may lose against the register's within a Span
}

// Holder identifies one life of a member: a life that crashed cannot go on with the lease of the one before, as nobody knows what that
// one had ordered.
type Holder struct {
	Member      uint16 `cbor:"Member"`
	Incarnation uint64 `cbor:"Life"` // it grows with each
}

// Shard is what is agreed on about one part of the fleet. The zero Part is free and was never held.
type Shard struct {
	Epoch     uint64             `cbor:"Epoch"`   // of the newest grant; it only grows
	Holder    Holder             `cbor:"Holder"`  // of it; the zero Holder: free
	Sequence  uint32             `cbor:"Number"`  // of the holder's newest ask
	RenewedAt model.Microseconds `cbor:"Renewed"` // by the leader's clock
}

// Request is a holder's message: for a part or, if it holds it, to go on. Number tells asks of one holder apart.
type Request struct {
	From     Holder
	Sequence uint32
}

// Response is the register's.
type Response struct {
	To       Holder
	Sequence uint32 // of the ask
	Granted  bool
	Epoch    uint64 // of the grant
}

// Apply takes an ask, agreed on, at a time of the leader's clock.
func (p *Shard) Apply(t Config, a Request, now model.Microseconds) Response {
	mine := p.Holder == a.From
	if !mine && p.Holder != (Holder{}) && now-p.RenewedAt < t.Duration+t.MaxClockDrift {
		return Response{To: a.From, Sequence: a.Sequence}
	}
	if !mine {
		p.Epoch++
		p.Holder, p.Sequence = a.From, 0
	}
	p.RenewedAt, p.Sequence = now, max(p.Sequence, a.Sequence)
	return Response{To: a.From, Sequence: a.Sequence, Granted: true, Epoch: p.Epoch}
}

// Lead begins a leader's time. It knows nothing of when leases were renewed, by its own clock, so it counts them from now.
func (p *Shard) Lead(now model.Microseconds) { p.RenewedAt = now }

// LeadSeen begins the time of a leader that saw the part renewed, by its own clock, age before now: as its log then ended with the given
// epoch and ask. What was agreed on before its word but not seen by it counts as Lead has it. A renewal that came doubled or late does
// not show in the ask's number, and need not: it gave its holder no time.
func (p *Shard) LeadSeen(now, age model.Microseconds, epoch uint64, number uint32) {
	if p.Epoch == epoch && p.Sequence == number && age >= 0 {
		p.RenewedAt = now - age
		return
	}
	p.Lead(now)
}

// Release takes a holder's word that it has stopped: nobody need wait for the lease to run out. Of anybody else it means nothing, nor if
// the holder has asked anew since it said so.
func (p *Shard) Release(a Request) {
	if p.Holder == a.From && p.Sequence < a.Sequence {
		p.Holder = Holder{}
	}
}

// Lease is a holder's side, for one part. The zero Claim holds nothing.
type Lease struct {
	Epoch  uint64
	until  model.Microseconds // by its own clock
	holds  bool
	asked  model.Microseconds // when the newest ask was noted
	number uint32
}

// Request notes the time and gives the message, which may leave only after that.
func (c *Lease) Request(from Holder, now model.Microseconds) Request {
	c.number++
	c.asked = now
	return Request{from, c.number}
}

// HandleResponse takes an answer. One that is not of the newest ask changes nothing: nobody knows any more when that was asked.
func (c *Lease) HandleResponse(t Config, a Response) {
	if a.Sequence != c.number {
		return
	}
	if !a.Granted {
		c.holds = false // a refusal says that another holds it, or may soon
		return
	}
	c.Epoch, c.holds, c.until = a.Epoch, true, c.asked+t.Duration
}

// IsHeld tells whether this holder may order now.
func (c *Lease) IsHeld(now model.Microseconds) bool { return c.holds && now < c.until }

// Remaining is for how long this holder may still order, without another renewal.
func (c *Lease) Remaining(now model.Microseconds) model.Microseconds {
	if !c.IsHeld(now) {
		return 0
	}
	return c.until - now
}

// Release gives up what is held and gives the release, which may leave once no order is under way any more. Answers to asks before it
// mean nothing from then on: the model found one that came twice and gave back what had been released.
func (c *Lease) Release(from Holder) Request {
	c.holds = false
	c.number++
	return Request{from, c.number}
}

// Fence is a forwarder's side, for the part that it is in. The zero Fence has seen nothing.
type Fence struct{ Epoch uint64 }

// Accept tells whether a message of an epoch may be obeyed. A newer epoch is the fence from then on: changed is then true, and ways of
// trying again fall back to what is safe under every holder until the new one has ordered.
func (f *Fence) Accept(epoch uint64) (obey, changed bool) {
	if epoch < f.Epoch {
		return false, false
	}
	changed = epoch > f.Epoch
	f.Epoch = epoch
	return true, changed
}
