//go:build race

package store

func init() { underRace = true }
