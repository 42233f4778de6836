package platform

import (
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// Limits bounds what peers may cost.
type Limits struct {
	// Connections is how many may be open at once.
	Connections int
	// GreetingTimeout is the time within which a connection has to join.
	GreetingTimeout time.Duration
	// UnsentBytes is how many bytes may wait for one peer; beyond it the peer's connection is closed.
	UnsentBytes int
	// SilenceTimeout is how long a stream that owes an acknowledgement may send nothing, once another stream has
	// acknowledged a later message; then it is taken as disconnected.
	SilenceTimeout time.Duration
	// AckRetryInterval is how long a stream may owe an acknowledgement, or send nothing, before the acknowledgement is
	// asked for again; no shorter than SilenceTimeout.
	AckRetryInterval time.Duration
}

// Config is what a server needs to know.
type Config struct {
	Listen          string // host:port
	Zones           []string
	Operations      []string
	LoadFields      []string // of a collector's report, in the order of model.LoadReport.Readings
	ProxyCount      int      // proxy ids run from 0 to one less; 0: the number is not known
	MessageOverhead int      // entries that a message costs beyond its own
	ReplicaNames    *platformmsg.ReplicaNames
	Limits          Limits
	Now             func() model.Microseconds
	Log             zerolog.Logger
}

// microseconds converts a limit to the unit of Config.Now.
func microseconds(d time.Duration) model.Microseconds {
	return model.Microseconds(d / time.Microsecond)
}
