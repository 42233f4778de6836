// Package benchmark runs timed experiments at stated sizes, where possible beside a raw cost that is measured in the
// same run. Absolute figures hold for one machine only; the ratios are what to keep.
//
// Every experiment ends what it starts and listens on loopback addresses only.
package benchmark
