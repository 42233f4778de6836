// Package model holds the plain types that the other packages share: time, endpoints, load reports, the configuration
// that the balancer reads, and Publisher, through which the balancer publishes its decisions. It contains no logic and
// imports no other package of this module.
package model
