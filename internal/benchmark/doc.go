// Package benchmark runs timed experiments of given sizes. Channel also measures the cost over plain sockets. Absolute
// figures hold for one machine only; the ratios can be compared between machines.
//
// Every experiment stops all processes and servers that it starts, and listens on loopback addresses only.
package benchmark
