package pubsub

import (
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/admission"
	"peppervale/internal/model"
)

// Limits bounds what peers may cost. Zero fields take the values of DefaultLimits.
type Limits struct {
	Connections      int            // open at once; more are closed with an error
	Observers        int            // of them
	UnsentBytes      int            // bytes that wait for one peer before its changes are folded into a snapshot
	TotalUnsentBytes int            // bytes that wait for all peers before the changes of the slowest are folded
	GreetingTimeout  time.Duration  // within which a peer joins or subscribes
	CommandRate      admission.Rate // that one peer may send; beyond it the peer is ended with a Retry-After
}

// DefaultLimits suit some thousand proxies: 64 KiB hold a table of 2,000 entries. All together may leave a quarter of
// a gigabyte unread. A proxy sends one load report each report period and one acknowledgement for each message, so
// that 200 commands a second are twenty times what it needs.
var DefaultLimits = Limits{
	Connections:      8192,
	Observers:        256,
	UnsentBytes:      64 << 10,
	TotalUnsentBytes: 256 << 20,
	GreetingTimeout:  5 * time.Second,
	CommandRate:      admission.Rate{PerSecond: 200, Burst: 2000},
}

// withDefaults puts the values of DefaultLimits where there are none.
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

// Config is what a server needs to know.
type Config struct {
	Listen           string // host:port
	Incarnation      uint64
	Zones            []string
	ReportPeriod     model.Microseconds // for which proxies gather a load report
	MessageOverhead  int                // entries that a message costs beyond its own
	EntriesPerSecond float64            // entries a second
	Limits           Limits
	JoinLimits       admission.Limits // how many may join; zero: all
	Leases           Leases           // nil: this controller may send updates to every proxy that joins
	Now              func() model.Microseconds
	Log              zerolog.Logger
}

// Leases tells which proxies a controller may send updates to, where controllers share the fleet out in shards. It is
// asked for each message as it leaves, under the server's lock: it must not call back.
type Leases interface {
	// Shard is the shard of a proxy.
	Shard(zone int, name string) int
	// IsLeaseHolder reports whether this controller holds a shard's lease now, and in which epoch.
	IsLeaseHolder(shard int) (epoch uint64, ok bool)
	// Holder is the channel's address of the controller that should hold a shard; "": this one, or not known.
	Holder(shard int) (address string)
}
