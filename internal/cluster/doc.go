// Package group shares the fleet out among governors that take over from each other. Its members agree, over hashicorp/raft, on a small
// register: who is a member, who should hold each part of the fleet, and who holds its lease in which epoch. hashicorp/memberlist
// tells who seems alive. Nothing of a forwarder's traffic and no order waits for either: a holder orders while its own clock says that
// its lease runs (package lease).
//
// Guarantees:
//   - as package lease: no two members hold a part at once, epochs only grow, a member that cannot renew stops before another is
//     granted its part. They don't depend on gossip, on the plan or on clocks set alike, only on clocks that lose no more than
//     the drift told against each other within a lease;
//   - commands stamped by a leader count only in the raft term in which that leader has announced itself, so that the clocks of two
//     leaders are never compared;
//   - a member that cannot follow the log renews nothing, though its requests come through;
//   - a member that meets a command of a newer form than it knows holds nothing from then on, and says so.
//
// Caveats: a group without a majority grants nothing; each holder goes on until its leases end, then its forwarders stay on what they
// hold. A new leader counts every lease anew, so the loss of the leader costs a lease's span more than that of another member.
// A disk that cannot be written stops a member's votes, and so its renewals, until it can be again. Requests and raft share a
// port without authentication: it belongs on a network of the governors' own.
//
// One mechanism a file: register.go what is agreed on, member.go what one member does about it (both free of I/O), engine.go
// raft, disk.go its store, gossip.go memberlist, links.go connections between members, wire.go requests between members and of
// operators, hand.go what a holder tells the next one, status.go what a member knows, group.go the whole.
package cluster
