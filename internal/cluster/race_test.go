//go:build race

package cluster

func init() { underRace = true }
