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
	HeldBytes        int            // memory of one peer's unfinished command; more ends the connection
	TotalHeldBytes   int            // the same for all peers; beyond it peers above their even share get a retry delay
	CommandTimeout   time.Duration  // within which a command arrives completely after its first bytes
	SilenceTimeout   time.Duration  // without anything from a proxy that owes an acknowledgement; then its stream ends
	ProxyNames       int            // names that keep their number; for one more the longest idle one is forgotten
}

// DefaultLimits are suitable for some thousand proxies: 64 KiB hold a table of 2,000 entries. All peers together may
// have 256 MiB unsent. A proxy sends one load report each report period and one acknowledgement for each message, so
// 200 commands a second are twenty times what it needs. A load report on 2,000 replicas holds 2 MiB while it arrives.
var DefaultLimits = Limits{
	Connections:      8192,
	Observers:        256,
	UnsentBytes:      64 << 10,
	TotalUnsentBytes: 256 << 20,
	GreetingTimeout:  5 * time.Second,
	CommandRate:      admission.Rate{PerSecond: 200, Burst: 2000},
	HeldBytes:        8 << 20,
	TotalHeldBytes:   64 << 20,
	CommandTimeout:   10 * time.Second,
	SilenceTimeout:   10 * time.Second,
	ProxyNames:       maxProxyNames,
}

// withDefaults replaces missing values by those of DefaultLimits.
func (l Limits) withDefaults() Limits {
	l.Connections = positiveOr(l.Connections, DefaultLimits.Connections)
	l.Observers = positiveOr(l.Observers, DefaultLimits.Observers)
	l.UnsentBytes = positiveOr(l.UnsentBytes, DefaultLimits.UnsentBytes)
	l.TotalUnsentBytes = positiveOr(l.TotalUnsentBytes, DefaultLimits.TotalUnsentBytes)
	l.GreetingTimeout = positiveOr(l.GreetingTimeout, DefaultLimits.GreetingTimeout)
	l.HeldBytes = positiveOr(l.HeldBytes, DefaultLimits.HeldBytes)
	l.TotalHeldBytes = positiveOr(l.TotalHeldBytes, DefaultLimits.TotalHeldBytes)
	l.CommandTimeout = positiveOr(l.CommandTimeout, DefaultLimits.CommandTimeout)
	l.SilenceTimeout = positiveOr(l.SilenceTimeout, DefaultLimits.SilenceTimeout)
	l.ProxyNames = min(positiveOr(l.ProxyNames, DefaultLimits.ProxyNames), maxProxyNames)
	if l.CommandRate.PerSecond <= 0 {
		l.CommandRate = DefaultLimits.CommandRate
	}
	return l
}

func positiveOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

func (l Limits) unsentBudget() admission.Budget {
	return admission.Budget{PerPeer: int64(l.UnsentBytes), Total: int64(l.TotalUnsentBytes)}
}

func (l Limits) heldBudget() admission.Budget {
	return admission.Budget{PerPeer: int64(l.HeldBytes), Total: int64(l.TotalHeldBytes)}
}

// Config is a server's configuration.
type Config struct {
	Listen      string // host:port
	Incarnation uint64
	Zones       []string
	// IncarnationRaised is called with a higher incarnation that the server uses from then on, so that the next start
	// uses a higher one still. It is called with the server's lock held and must not call the server; nil: nothing.
	IncarnationRaised func(incarnation uint64)
	ReportPeriod      model.Microseconds // over which proxies aggregate a load report
	MessageOverhead   int                // cost of a message in entries, added to its own entries
	EntriesPerSecond  float64            // rate at which messages are sent, by their cost
	Limits            Limits
	JoinLimits        admission.Limits // rate at which proxies may join; zero: unlimited
	Leases            Leases           // nil: this controller may send updates to every joined proxy
	Now               func() model.Microseconds
	Log               zerolog.Logger
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
