// Package scenario runs scripted scenarios on loopback sockets. A scenario starts instances of the control plane as
// separate processes and stand-ins for replicas, proxies and the endpoint registry, sends open-loop load and injects
// faults at set times. At its end, Run checks the invariants against the observations of the stand-ins and reports
// service level, latency and channel statistics.
//
// Run stops everything that it starts, also when it returns an error, and listens on loopback addresses only. The
// random draws of a scenario (work, arrivals, targets of faults) are determined by its seed. The timing of sockets is
// not, so two runs of a scenario differ slightly.
package scenario
