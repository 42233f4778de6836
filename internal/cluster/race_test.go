//go:build race

package group

func init() { underRace = true }
