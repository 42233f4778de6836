// Package simulation is a discrete-event simulation core: simulated time with one ordered queue of events, independent
// random streams, queueing stations that serve jobs, and sources that send jobs to stations. It contains only models
// that can be checked against closed-form results of queueing theory. The control plane is not simulated.
//
// The same seed gives the same run on any machine. Events with the same time run in the order in which they were
// scheduled. The draws of a random stream depend only on its seed and name, so adding a stream does not change the
// existing ones.
//
// A simulation runs on one goroutine. Times are whole microseconds. A source carries fractions over to the next
// arrival, so its mean rate is exact.
package simulation
