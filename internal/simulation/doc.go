// Package simulation is a discrete-event simulation core: simulated time with one ordered queue of events, independent
// random streams, queueing stations that serve jobs, and sources that send them jobs. It holds what can be checked
// against closed-form results of queueing theory; the control plane is not simulated.
//
// The same seed gives the same run on any machine. Events of one moment happen in the order in which they were
// scheduled. The draws of a random stream depend on its seed and name only, so adding a stream changes no other one.
//
// A simulation runs on one goroutine. Times are whole microseconds; a source carries fractions over, so that its rate
// is exact on average.
package simulation
