//go:build race

package statestore

func init() { raceDetectorEnabled = true }
