// Package balancer makes every decision of a balancer instance: which weights a table has, which proxy uses which
// table, which replicas are withdrawn, which fraction of each operation is admitted, and when each of these is sent.
//
// A caller creates a Balancer with New, passes events to it (EndpointsChanged, ProxyConnected, ProxyDisconnected,
// Acknowledged, LoadReported, TimerFired) and calls Flush after all events that have the same timestamp. The balancer
// publishes updates through model.Publisher. It takes no lock, starts no goroutine and reads no clock: the caller
// serialises its calls and passes the time, which must not run backwards. The same events with the same seed produce
// the same updates.
//
// A table is a list of entries; an entry is a replica with a weight. Proxies share tables. A proxy uses a standing
// table, which the balancer did not make, until the balancer binds the proxy to a table.
//
// Each file has one concern:
//
//   - balancer.go: the Balancer type, its constructor, the event methods and Flush
//   - safemode.go: until every replica is reported or the start window ends, the balancer sends no routine
//     weight changes and binds only proxies whose standing table may be empty
//   - replica.go: the lifecycle of a replica
//   - slowstart.go: a replica that has just started gets a rising fraction of its weight
//   - loadstats.go: decaying statistics of load reports, and the fleet's saturation
//   - outlier.go: temporary ejection of a replica that fails while the other replicas work
//   - loadshed.go: admission quotas and the retry policy
//   - weights.go: capacity estimates and weight steps
//   - subset.go: shared tables, each with a subset of the replicas; ranking.go: which replica gets the next entry
//   - binding.go: which proxy uses which table
//   - drain.go: withdrawals and readmissions; withdrawalparts.go: the same for single proxies
//   - sendwindow.go: bounds on unacknowledged entries and on messages to a proxy; messagepacing.go: the latter
//   - partialdelivery.go: updates that go to some of their proxies now, and to the others later
//   - channelprogress.go: which messages have left the channel, whoever has acknowledged them
//   - power.go: powers with the same bits on every kind of machine
//   - timers.go: the queue of deadlines
//   - statemachine.go: transition tables; random.go: draws from the seed
//   - view.go: a copy of the state for other goroutines
//
// Six mechanisms extend the basic design, which is to have no more than six: the preference for replicas of the
// proxy's own zone, the damped feedback of served rates, ejections, admission quotas, early binds with the protection
// of replicas that warm up, and the send window. docs/design.md describes the design, and when and why each
// mechanism acts.
package balancer
