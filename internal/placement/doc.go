// Package placement decides which member of a cluster should hold which shard of the fleet. It does no I/O and reads
// no clock: the cluster's leader calls Planner.Plan with the replicated state and what it knows of the members, and
// has the migrations replicated in turn. Whether the holder of a shard may publish is decided by package lease, not
// here: a migration that is late or wrong costs service, but never breaks an invariant.
//
// Guarantees: no shard is placed on a member that is not alive, is draining or stopping, or lacks the capacity; the
// loss of a member migrates its own shards and no others; a member that has come back gets no shard before it has
// been alive for the stabilization period, and then one each move interval; the same input gives the same migrations.
//
// Capacity is counted by the request rates that proxies expect as they connect, not by what they forward. If no
// member has capacity left, a shard stays without a target, and its proxies go on with the tables that they have.
//
// The decision table follows: for each shard the first rule that applies counts. A shard's target is the member that
// should hold it.
//
//	state of the shard                          migrates to                              when
//	no target, or one that is no member         a member with capacity                   at once
//	target not alive                            another with capacity                    at once: nothing is lost
//	its proxies reach another member only       that member                              at once; no return for a minute
//	target stopping                             another with capacity                    at once: the process waits
//	target draining                             another with capacity                    one each move interval
//	pinned by an operator                       -                                        -
//	target over its capacity                    another with capacity                    one each move interval
//	target in another zone                      a stable member of its zone              one each move interval
//	target has more load than others as near    a stable member, if the load evens out   one each move interval
//
// A stable member has been alive for the stabilization period. The move interval counts for the member that gives the
// shard up, and in the last two rules also for the one that gets it.
package placement
