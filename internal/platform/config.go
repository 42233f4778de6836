package platform

import (
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// Limits bounds the resources that peers may use.
type Limits struct {
	// Connections is how many connections may be open at once.
	Connections int
	// GreetingTimeout is the time within which a connection has to join.
	GreetingTimeout time.Duration
	// UnsentBytes is how many unsent bytes may be buffered for one peer; beyond it the peer's connection is closed.
	UnsentBytes int
	// SilenceTimeout is how long a stream with a pending acknowledgement may send nothing after another stream has
	// acknowledged a later message. After that it counts as disconnected.
	SilenceTimeout time.Duration
	// AckRetryInterval is how long an acknowledgement may be pending, or a stream may send nothing, before the
	// acknowledgement is requested again. It is not shorter than SilenceTimeout.
	AckRetryInterval time.Duration
}

// Config is a server's configuration.
type Config struct {
	Listen          string // host:port
	Zones           []string
	Operations      []string
	LoadFields      []string // names in a collector's report, in the order of model.LoadReport.Readings
	ProxyCount      int      // proxy ids run from 0 to ProxyCount-1; 0: the count is unknown
	MessageOverhead int      // cost of a message in entries, added to its own entries
	ReplicaNames    *platformmsg.ReplicaNames
	Limits          Limits
	Now             func() model.Microseconds
	Log             zerolog.Logger
}
