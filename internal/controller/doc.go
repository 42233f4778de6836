// Package controller is the event loop around the balancer. One goroutine owns one balancer.Balancer, delivers the
// events of proxies and endpoint discovery to it, and publishes the updates that the balancer requests. It makes no
// balancing decisions itself.
//
// One step of the loop delivers all events that have arrived, has the balancer flush its decisions once, publishes them
// as one batch, records the step in the decision log and stores a new View.
//
// Guarantees:
//   - no lock is held during a call of the balancer, and only the loop's goroutine calls it;
//   - the queue of events for the balancer is bounded by the size of the fleet, not by time: it holds the newest
//     connection or disconnection and the newest acknowledgement of each proxy (which covers the earlier ones), the
//     newest endpoint list, and one load report for each replica and zone. Load reports that arrive faster than the
//     report limit are merged and the merges counted; an older connection, disconnection, acknowledgement or endpoint
//     list is replaced by the newer one;
//   - after each step one View is stored, which is immutable.
//
// Times are in whole microseconds of this process's monotonic clock, which is set to the wall clock at the start.
// Setting the wall clock later has no effect here. Start times in the endpoint list are by the wall clocks of other
// machines.
package controller
