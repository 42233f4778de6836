// Package admission limits the load that peers cause on a controller: which proxies may connect now and which must
// retry later (Controller), how many commands a peer may send (TokenBucket), and how many bytes may be queued for peers
// (Budget). It does no I/O and reads no clock: the caller passes the time and carries out the decision.
//
// A connection costs the controller a snapshot, a binding and, for a proxy that connects late, a repetition of all
// withdrawals. So connections are admitted at a limited rate, with a burst for the routine restart of a few proxies.
// Connections beyond the burst are deferred, with a Retry-After; a token is reserved for them at that time. Jitter
// spreads the retries, so that a connection storm is not followed by a second one.
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
// Guarantees: no more than Burst + Rate x span connections are admitted in any span, and one for each unused
// reservation from before the span; a deferred proxy that retries at its reserved time is admitted; the memory is
// bounded by maxReservations names.
package admission
