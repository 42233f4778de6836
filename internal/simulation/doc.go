// Package emulate is the emulator's core: simulated time with one ordered queue of events, streams of chance, and stations that work
// invocations off. What stands on it so far are the pieces that have closed results to be checked against; it hosts no governor yet.
//
// Guarantees: the same seed gives the same run, on any machine; events of one moment happen in the order in which they were booked; a
// stream's draws depend on its own name and seed only, so that a new one changes none of the others.
//
// Caveats: one core a run. Times are whole microseconds; a stream carries the parts of one, so that its rate is kept.
package simulation
