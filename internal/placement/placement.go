package placement

import "peppervale/internal/model"

// Config holds the settings of a cluster's placement.
type Config struct {
	// StabilizationPeriod is how long a member must have been alive before shards migrate to it without need.
	StabilizationPeriod model.Microseconds
	// MoveInterval is the least time between two migrations from or to a member that nothing forces at once.
	MoveInterval model.Microseconds
}

// Member is a member of the cluster as its leader sees it.
type Member struct {
	Name       string
	Zone       string
	Alive      bool               // it renews its leases, or gossip says that it is alive
	AliveSince model.Microseconds // when Alive last became true
	Draining   bool               // an operator asked it to give all shards up
	Stopping   bool               // its process is about to end
	Capacity   float64            // requests a second that its shards may have together; 0 or less: no limit
}

// Shard is one part of the fleet's proxies.
type Shard struct {
	Number          int
	Zone            string
	Load            float64 // requests a second that its proxies expect
	Target          string  // the member that should hold it; "": none
	Pinned          bool    // an operator placed it on Target
	ReachableMember string  // the member that its proxies connect to while none reaches Target; "": none
}

// Migration says which member should hold a shard from now on. It is sent and stored as CBOR; its tags are names in
// stored data and must not change.
type Migration struct {
	Shard  int    `cbor:"Part"`
	From   string `cbor:"From"` // the target before; "": none
	To     string `cbor:"To"`
	Reason string `cbor:"Why"`
}
