package pubsub

import (
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/admission"
	"peppervale/internal/model"
)

// Limits bounds the resources that peers may use. Zero fields take the values of DefaultLimits.
type Limits struct {
	Connections      int            // open at once; more are closed with an error
	Observers        int            // of the connections
	UnsentBytes      int            // unsent for one peer before its changes are folded into a snapshot
	TotalUnsentBytes int            // unsent for all peers before the changes of the slowest are folded
	GreetingTimeout  time.Duration  // within which a peer joins or subscribes
	CommandRate      admission.Rate // of one peer; above it, the peer gets a retry delay and its connection is closed
}

// DefaultLimits are suitable for some thousand proxies: 64 KiB hold a table of 2,000 entries. All peers together may
// have 256 MiB unsent. A proxy sends one load report each report period and one acknowledgement for
// each message, so 200 commands a second are twenty times what it needs.
var DefaultLimits = Limits{
	Connections:      8192,
	Observers:        256,
	UnsentBytes:      64 << 10,
	TotalUnsentBytes: 256 << 20,
	GreetingTimeout:  5 * time.Second,
	CommandRate:      admission.Rate{PerSecond: 200, Burst: 2000},
}

// withDefaults replaces missing values by those of DefaultLimits.
func (l Limits) withDefaults() Limits {
	l.Connections = positiveOr(l.Connections, DefaultLimits.Connections)
	l.Observers = positiveOr(l.Observers, DefaultLimits.Observers)
	l.UnsentBytes = positiveOr(l.UnsentBytes, DefaultLimits.UnsentBytes)
	l.TotalUnsentBytes = positiveOr(l.TotalUnsentBytes, DefaultLimits.TotalUnsentBytes)
	if l.GreetingTimeout <= 0 {
		l.GreetingTimeout = DefaultLimits.GreetingTimeout
	}
	if l.CommandRate.PerSecond <= 0 {
		l.CommandRate = DefaultLimits.CommandRate
	}
	return l
}

func positiveOr(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

func (l Limits) budget() admission.Budget {
	return admission.Budget{PerPeer: int64(l.UnsentBytes), Total: int64(l.TotalUnsentBytes)}
}

// Config is a server's configuration.
type Config struct {
	Listen           string // host:port
	Incarnation      uint64
	Zones            []string
	ReportPeriod     model.Microseconds // over which proxies aggregate a load report
	MessageOverhead  int                // cost of a message in entries, added to its own entries
	EntriesPerSecond float64            // rate at which messages are sent, by their cost
	Limits           Limits
	JoinLimits       admission.Limits // rate at which proxies may join; zero: unlimited
	Leases           Leases           // nil: this controller may send updates to every joined proxy
	Now              func() model.Microseconds
	Log              zerolog.Logger
}

// Leases reports which proxies a controller may send updates to when controllers divide the proxies into shards. It is
// called for each message before it is sent, with the server's lock held: it must not call the server.
type Leases interface {
	// Shard returns the shard of a proxy.
	Shard(zone int, name string) int
	// IsLeaseHolder reports whether this controller currently holds a shard's lease, and in which epoch.
	IsLeaseHolder(shard int) (epoch uint64, ok bool)
	// Holder returns the channel address of the controller that should hold a shard. It is empty if that is this
	// controller or is unknown.
	Holder(shard int) (address string)
}
