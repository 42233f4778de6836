// Package governor is the host of the decisions: one goroutine owns one decide.Governor, hands it what the channel
// and the machine list tell, and passes on what it orders. It decides nothing itself.
//
// Guarantees:
//   - no lock is held over a call of the module, and only the host's goroutine calls it;
//   - what waits for the module is bounded by the fleet, not by time: for each forwarder its newest join or leave and
//     its newest receipt (which covers the earlier ones, as on the bench), the newest whole list, and one sum
//     for each replica and zone. Sums that come faster than Intake lines a second are folded together and the
//     folds counted; joins, leaves, receipts and the list never are;
//   - all that came by one moment is in before one call of Settle, and its orders leave as one batch;
//   - after each step one View is handed out whole and never written again.
//
// Caveats: time is this process's monotonic clock set to the wall's time at the start, in whole microseconds, so
// a wall clock that is set later moves nothing here; start times in the machine list go by the wall clocks of
// other machines.
package controller
