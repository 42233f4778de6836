// Package placement decides which member of a cluster should hold which shard of the fleet. It does no I/O and reads
// no clock: the cluster's leader calls Planner.Plan with the replicated state and its view of the members, and
// replicates the resulting migrations. Whether the holder of a shard may publish is decided by package lease, not
// here: a late or wrong migration degrades the service, but does not break an invariant.
//
// Guarantees: no shard is placed on a member that is not alive, is draining or stopping, or lacks the capacity; the
// loss of a member migrates only its own shards; a member that has returned gets no shard that need not migrate before
// it has been alive for the stabilization period, and then one such shard each move interval; the same input gives the
// same migrations.
//
// The load of a shard is the sum of the request rates that its proxies expect when they connect, not of the requests
// that they forward. A load that is not known yet counts as the mean of the known ones where members are compared, and
// as 0 towards their capacity. If no member has capacity left, a shard stays without a target, and its proxies keep
// using the tables that they have.
//
// The decision table follows. For each shard the first rule that applies is used. A shard's target is the member that
// should hold it.
//
//	state of the shard                          migrates to                              when
//	no target, or target is not a member        a member with capacity                   at once
//	target not alive                            another member with capacity             at once: it serves no proxy
//	its proxies reach another member only (1)   that member                              at once; no return for a minute
//	target stopping                             another member with capacity             at once: process waits for it
//	target draining                             another member with capacity             one each move interval
//	pinned by an operator                       -                                        -
//	target over its capacity                    another member with capacity             one each move interval
//	target in another zone (2)                  a stable member of its zone              one each move interval
//	target has more load than another member    a stable member as near, to balance load one each move interval
//
// (1) If that member can take the shard. (2) If a member of the shard's zone can take it, now or once it is stable. A
// later rule is used otherwise: a rule that has no destination for good must not hold the shard.
//
// A member is as near as the target if it is in the shard's zone, or if the target is not. A stable member has been
// alive for the stabilization period. The move interval applies to the member that gives up the shard, and in the last
// two rules also to the member that gets it.
package placement
