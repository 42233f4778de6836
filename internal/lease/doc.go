// Package lease decides which member holds the lease of a shard of the fleet. It does no I/O and implements both sides
// of the lease protocol: the replicated record of a shard (Shard), and the holder, which requests a lease and stops
// before it expires (Lease). Proxies use a Fence.
//
// Guarantees, as long as no holder's clock loses more than MaxClockDrift against the leader's clock within a lease: no
// two holders hold the lease of a shard at once; an epoch has one holder, in one incarnation; epochs only grow; a proxy
// accepts no message of an older epoch than it has seen. The guarantees hold if messages are lost, duplicated, delayed
// and reordered, if holders crash, and if the leader changes; model_test.go explores all of these cases.
//
// Limits: clocks are only used for durations and never compared between machines. They may differ by any amount, but
// must not drift apart faster than MaxClockDrift. A clock that stops while the machine is suspended breaks the
// guarantee; use a clock that also advances then.
//
// The transitions of a shard's record:
//
//	state                    input                         next             effect
//	free                     request                       held, epoch + 1  granted
//	held                     request of the holder         held, from now   granted, in the same epoch
//	held                     request of another Holder     held             refused
//	held, the lease expired  request of another Holder     held, epoch + 1  granted
//	held                     release of the holder         free             the epoch stays
//	any                      new leader, saw no renewal    same state       the lease counts from now
//	any                      new leader, saw the renewal   same state       the lease counts from when it saw the renewal
//
// The transitions of a holder's lease:
//
//	state      input                             next       effect
//	idle       request                           requested  the time is recorded, then the message is sent
//	requested  granted, of this request          held       until the recorded time + Duration
//	requested  refused, of this request          idle
//	held       request                           held       a renewal; the current lease stays valid
//	held       granted, of this request          held       until the newly recorded time + Duration
//	held       the lease expires                 idle       before it is granted to any other holder
//	any        response to any other request     unchanged  ignored: it is late or a duplicate
//
// A lease that expired while its renewal was in flight is held again, in the same epoch, once the renewal is granted:
// the record was renewed before the lease could be granted to any other holder.
package lease
