// Package scenario runs scripted scenarios on loopback sockets: instances of the control plane as processes of their
// own, stand-ins for replicas, proxies and the endpoint registry, open-loop load, and faults at set times. It then
// checks the invariants against what the stand-ins observed and reports service level, latency and channel statistics.
//
// Run ends everything that it starts, also when it fails on the way, and listens on loopback addresses only. The
// random draws of a scenario (work, arrivals, targets of faults) follow from its seed; the timing of sockets does not,
// so two runs of a scenario differ slightly.
package scenario
