// Package lease decides which member holds the lease of a shard of the fleet. It is free of I/O and has both sides of
// the protocol: the record of a shard that the members of a cluster agree on (Shard), and the holder that requests a
// lease and stops in time (Lease). Proxies have a Fence.
//
// Guarantees, as long as no holder's clock loses more than MaxClockDrift against the leader's within a lease: no two
// holders hold the lease of a shard at once; an epoch has one holder, in one incarnation of it; epochs only grow; a
// proxy obeys nothing of an older epoch than it has seen. They hold with messages lost, duplicated, late and
// reordered, with holders that crash, and with leaders that change; model_test.go explores all of that.
//
// Limits: clocks are read as durations and never compared between machines, so they may differ by any amount but must
// not run apart faster than the drift. A clock that stands still while its process goes on (as on a suspended
// machine) breaks the guarantee; use one that goes on.
//
// The transitions of a shard's record:
//
//	state                    input                   next             effect
//	free                     request                 held, epoch + 1  granted
//	held                     request of the holder   held, from now   granted, in the same epoch
//	held                     request of another      held             refused
//	held, the lease expired  request of another      held, epoch + 1  granted
//	held                     release of the holder   free             the epoch stays
//	any                      new leader, not seen    counted anew     it has not seen when the lease was renewed
//	any                      new leader, seen        goes on          from when it saw the renewal, which was earlier
//
// The transitions of a holder's lease:
//
//	state      input                             next       effect
//	idle       request                           requested  the time is noted, then the message leaves
//	requested  granted, of this request          held       until the time noted + Duration
//	requested  refused, of this request          idle
//	held       request                           held       a renewal; what was held goes on
//	held       granted, of this request          held       until the newer time noted + Duration
//	held       the lease expires                 idle       before any other holder is granted it
//	any        response to any other request                nothing: it is late or a duplicate
//
// A lease that expired while its renewal was in flight is held again, in the same epoch, once the renewal is granted:
// the record was renewed before any other holder could be granted it.
package lease
