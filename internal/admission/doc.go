// Package admission controls the load that connecting peers put on a controller: which proxies may connect now and
// which retry later (Controller), how many commands a peer may send (TokenBucket), and how many bytes may
// wait for peers to read them (Budget). It does no I/O and reads no clock: the caller passes the time and carries the
// decision out.
//
// A connection costs the controller a snapshot, a binding and, for a proxy that comes late, all withdrawals anew. So
// connections are admitted at a rate, with a burst for the everyday restart of a few proxies. Those beyond it are
// deferred, with a Retry-After at which a token is reserved for them, spread at random so that a connection storm
// does not return as a storm.
//
// The decision table of Controller:
//
//	state    event                                  next state   decision
//	normal   connection, a token is available       normal       admit
//	normal   connection, no token is available      storm        defer until the next free reservation
//	storm    connection, its reservation is due     storm        admit
//	storm    connection, its reservation is early   storm        defer until its reservation
//	storm    connection without reservation         storm        defer until the next free reservation
//	storm    all reservations have passed           normal       -
//	any      connection, MaxProxies are connected   unchanged    reject
//
// Guarantees: no more than Burst + Rate x span connections are admitted in any span; a deferred proxy that retries at
// its time is admitted then; the memory is bounded by maxReservations names.
package admission
