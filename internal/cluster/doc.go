// Package cluster distributes the shards of a fleet over controllers that take over from each other. Its members
// agree, over hashicorp/raft, on a small replicated state: the members, which member each shard is placed on, and
// which member holds the lease of a shard in which epoch. hashicorp/memberlist detects which members seem alive.
// Proxies' requests and weight updates wait for neither library: a lease holder acts while its lease is valid by its
// own clock (package lease).
//
// Guarantees:
//   - the guarantees of package lease: no two members hold the lease of a shard at once, epochs only increase, and a
//     member that cannot renew stops before another member is granted its shard. They depend neither on gossip, nor on
//     the placement, nor on synchronized clocks, but only on a bound on clock drift: within a lease no clock falls
//     behind another one by more than the configured drift;
//   - entries stamped by a leader take effect only in the raft term in which that leader announced itself
//     (LeaderElected), so the clocks of two leaders are never compared;
//   - a member that does not receive log entries renews no lease, even if its requests reach the leader;
//   - the state has the shape of the settings by which the first leader began the cluster, at a member with other
//     settings too: LeaderElected carries it;
//   - a member that reads an entry of a newer schema version than it supports holds no lease from then on, and reports
//     the reason.
//
// Limits: without a quorum no lease is granted; each lease holder acts until its leases expire, and its proxies then
// keep their last weights. A new leader that has not seen a renewal measures the lease from its own election, so the
// loss of the leader can delay a takeover by one lease duration more than the loss of another member. A member whose
// disk cannot be written can neither vote nor renew until it is writable again. Requests and raft share one port
// without authentication, which must be on a private network.
//
// The files, by concern:
//
//	cluster.go    a running member: its lifecycle, tick loop and public methods
//	config.go     configuration of a member
//	settings.go   the settings that all members must share
//	shape.go      the part of the settings that gives the replicated state its form
//	loadreport.go whether the load of a shard has been reported
//	commands.go   the commands that the members commit
//	record.go     the stored form of commands
//	state.go      the replicated state
//	apply.go      the effect of each command on the state
//	member.go     the decisions of one member, free of I/O
//	renewal.go    when a member registers and renews
//	planning.go   the leader's placement of shards
//	proposals.go  sends proposals to the leader
//	raftnode.go   the raft node
//	fsm.go        the state machine of raft, and raft's log lines
//	logstore.go   raft's storage
//	gossip.go     failure detection by memberlist
//	transport.go  the port that raft and requests share
//	links.go      links between members that tests can cut
//	requests.go   requests of members and operators
//	client.go     the client that sends requests
//	handover.go   the measurements that a lease holder passes to the next one
//	status.go     a member's view of the cluster, for commands and pages
//	fault.go      the fault that keeps a member from holding leases
//	errors.go     error types
package cluster
