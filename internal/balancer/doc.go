// Package balancer makes every decision of a balancer instance: which weights a table has, which proxy uses which
// table, which replicas are withdrawn, which fraction of each operation is admitted, and when each of these is sent.
//
// A caller makes a Balancer with New, passes it what happens (EndpointsChanged, ProxyConnected, ProxyDisconnected,
// Acknowledged, LoadReported, TimerFired) and calls Flush once every event of one moment is in. Updates leave through
// model.Publisher. A Balancer takes no lock, starts no goroutine and reads no clock: the caller serialises its calls
// and passes the time, which must not run backwards. The same events with the same seed give the same updates.
//
// Each file has one concern:
//
//   - balancer.go: the type, its constructor, the event methods and the flush
//   - safemode.go: after a start no proxy is bound and no weight moves until every replica is reported
//   - replica.go: the lifecycle of a replica
//   - slowstart.go: a started replica gets a rising fraction of its weight
//   - loadstats.go: decayed statistics of load reports, and the fleet's saturation
//   - outlier.go: a replica that fails while the others do not is ejected for some time
//   - loadshed.go: admission quotas and the retry policy
//   - weights.go: capacity estimates and weight steps
//   - subset.go: shared tables, each with a subset of the replicas; ranking.go: which replica an entry goes to
//   - binding.go: which proxy uses which table
//   - drain.go: withdrawals and readmissions
//   - sendwindow.go: bounds on what is sent and not acknowledged
//   - timers.go: the queue of deadlines
//   - statemachine.go: transition tables; random.go: draws from the seed
//   - view.go: a copy of the state for readers
//
// Beside the design there are six mechanisms at most: the preference for the own zone, the damped feedback of served
// rates, ejections, admission quotas, early binds with the protection of replicas that warm up, and the send window.
// docs/design.md has the design, when each mechanism acts, and why.
package balancer
