// Package cluster distributes the shards of a fleet over controllers that take over from each other. Its members
// agree, over hashicorp/raft, on a small replicated state: the members, which member each shard is placed on, and
// which member holds the lease of a shard in which epoch. hashicorp/memberlist detects which members seem alive. No
// request of a proxy and no weight update waits for either: a lease holder acts while its own clock says that its lease
// is valid (package lease).
//
// Guarantees:
//   - those of package lease: no two members hold the lease of a shard at once, epochs only grow, and a member that
//     cannot renew stops before another one is granted its shard. They depend neither on gossip, nor on the placement,
//     nor on synchronized clocks, only on clocks that lose no more than the configured drift against each other within
//     a lease;
//   - entries stamped by a leader count only in the raft term in which that leader announced itself (LeaderElected), so
//     the clocks of two leaders are never compared;
//   - a member that cannot follow the log renews nothing, even if its requests reach the leader;
//   - a member that reads an entry of a newer schema version than it supports holds no lease from then on, and reports
//     why.
//
// Limits: without a quorum nothing is granted; each lease holder goes on until its leases expire, and its proxies
// then keep the weights that they have. A new leader that has not seen a renewal counts the lease from its own
// election, so the loss of the leader can cost one lease duration more than the loss of another member. A member
// whose disk cannot be written can neither vote nor renew until it is writable again. Requests and raft share one
// port without authentication, which belongs on a private network.
//
// The files, by concern:
//
//	cluster.go    a running member: its lifecycle, tick loop and public methods
//	config.go     configuration of a member
//	settings.go   the settings that all members must share
//	commands.go   the commands that the members agree on
//	record.go     the stored form of commands
//	state.go      the replicated state
//	apply.go      the effect of each command on the state
//	member.go     what one member decides, free of I/O
//	renewal.go    when a member registers and renews
//	planning.go   the leader's placement of shards
//	proposals.go  carries proposals to the leader
//	raftnode.go   the raft node
//	fsm.go        the state machine that raft drives, and raft's log lines
//	logstore.go   raft's storage
//	gossip.go     failure detection by memberlist
//	transport.go  the port that raft and requests share
//	links.go      links between members that tests can cut
//	requests.go   requests of members and operators
//	client.go     the sender of requests
//	handover.go   what a lease holder passes on to the next one
//	status.go     what a member knows, for readers
//	fault.go      the fault that keeps a member from holding leases
//	errors.go     error types
package cluster
