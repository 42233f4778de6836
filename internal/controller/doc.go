// Package controller is the event loop around the balancer. One goroutine owns one balancer.Balancer, hands it what
// proxies and endpoint discovery report, and publishes the updates that the balancer asks for. It takes no balancing
// decision itself.
//
// One step of the loop takes everything that has arrived, lets the balancer flush its decisions once, publishes them
// as one batch, records the step in the decision log and stores a new View.
//
// Guarantees:
//   - no lock is held over a call of the balancer, and only the loop's goroutine calls it;
//   - what waits for the balancer is bounded by the size of the fleet, not by time: for each proxy its newest
//     connection or disconnection and its newest acknowledgement (which covers the earlier ones), the newest endpoint
//     list, and one load report for each replica and zone. Load reports that arrive faster than the report limit are
//     merged and the merges counted; connections, disconnections, acknowledgements and endpoint lists never are;
//   - after each step one View is stored, and it is never written again.
//
// Time is this process's monotonic clock set to the wall clock's time at the start, in whole microseconds, so a wall
// clock that is set later changes nothing here. Start times in the endpoint list go by the wall clocks of other
// machines.
package controller
