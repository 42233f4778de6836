package cluster

import (
	"slices"

	"peppervale/internal/model"
)

// Shape is the part of the settings that gives the replicated state its form. It is stored in the raft log; its CBOR
// names must not change.
type Shape struct {
	Zones         []string           `cbor:"Zones"`
	ShardsPerZone int                `cbor:"Parts"`
	LeaseDuration model.Microseconds `cbor:"Span"`
	MaxClockDrift model.Microseconds `cbor:"Drift"`
}

// shape returns the shape of the state of a cluster with these settings.
func (s Settings) shape() *Shape {
	return &Shape{
		Zones:         s.Zones,
		ShardsPerZone: s.ShardsPerZone,
		LeaseDuration: s.Lease.Duration,
		MaxClockDrift: s.Lease.MaxClockDrift,
	}
}

// setShape gives a state that has applied nothing yet a shape.
func (s *State) setShape(shape *Shape) {
	s.LeaseDuration = shape.LeaseDuration
	s.MaxClockDrift = shape.MaxClockDrift
	s.Shards = nil
	for _, zone := range shape.Zones {
		for range shape.ShardsPerZone {
			s.Shards = append(s.Shards, &ShardState{Number: len(s.Shards), Zone: zone})
		}
	}
}

// hasShape reports whether the state has a shape.
func (s *State) hasShape(shape *Shape) bool {
	wanted := &State{}
	wanted.setShape(shape)
	sameZones := slices.EqualFunc(s.Shards, wanted.Shards, func(a, b *ShardState) bool { return a.Zone == b.Zone })
	return sameZones && s.LeaseDuration == wanted.LeaseDuration && s.MaxClockDrift == wanted.MaxClockDrift
}

// checkShape checks whether this member's copy of the state is not the cluster's: it has the settings that the cluster
// was begun with, and its state another shape. A former version wrote it as a snapshot while the member's settings
// differed. A snapshot that the leader sends ends this. The result can change only with another state or its digest.
func (m *Member) checkShape() {
	m.misshapen = m.state.Digest != 0 && !m.HasOtherSettings() && !m.state.hasShape(m.settings.shape())
}

// mayWriteSnapshot reports whether this member's copy of the state is certain to be the cluster's. It is not if the
// cluster was begun with other settings by a former version, whose log does not tell the shape.
func (m *Member) mayWriteSnapshot() bool {
	if m.HasOtherSettings() {
		return m.state.ShapeAgreed || !m.state.hasShape(m.settings.shape())
	}
	return !m.misshapen
}
