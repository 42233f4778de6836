package placement

import "peppervale/internal/model"

// Config holds the settings of a cluster's placement.
type Config struct {
	// StabilizationPeriod is how long a member must have been alive before it gets shards that need not migrate.
	StabilizationPeriod model.Microseconds
	// MoveInterval is the minimum time between two migrations from or to a member, unless a migration is due at once.
	MoveInterval model.Microseconds
}

// Member is a member of the cluster as its leader sees it.
type Member struct {
	Name       string
	Zone       string
	Alive      bool               // the leader regards it as alive, by heartbeats and gossip
	AliveSince model.Microseconds // when Alive last became true
	Draining   bool               // an operator requested that it give up all shards
	Stopping   bool               // its process is about to end
	Capacity   float64            // maximum total load of its shards, in requests per second; 0 or less: no limit
}

// Shard is a subset of the fleet's proxies.
type Shard struct {
	Number          int
	Zone            string
	Load            float64 // requests per second that its proxies expect
	LoadUnknown     bool    // its first holder has not reported a load yet, and Load is 0
	Target          string  // member that should hold it; "": none
	Pinned          bool    // an operator placed it on Target
	ReachableMember string  // member that its proxies connect to while none of them reaches Target; "": none
}

// Migration changes the member that should hold a shard. It is sent and stored as CBOR; its tags are names in stored
// data and must not change.
type Migration struct {
	Shard  int    `cbor:"Part"`
	From   string `cbor:"From"` // previous target; "": none
	To     string `cbor:"To"`
	Reason string `cbor:"Why"`
}
