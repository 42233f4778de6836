package scenario

import (
	"peppervale/internal/config"
	"peppervale/internal/model"
)

// Script is a scenario as described by its file.
type Script struct {
	Name             string
	About            string
	Length           model.Microseconds
	Seed             uint64
	Zones            []string
	InstanceZones    []string  // the zone of each instance of the control plane
	Sharding         *Sharding // nil: the instances form no cluster
	FaultyController string    // the kind of faulty controller that replaces the instances, or noFaultyController
	Operations       []config.Operation
	Balancer         model.Config
	Guarantees       config.Guarantees
	Replicas         Replicas
	Proxies          Proxies
	Registry         Registry
	Load             Load
	Steps            []Step
	instanceBlocks   []byte // the blocks that are copied to each instance's configuration file unchanged
}

// Sharding configures how the instances share the zones among themselves.
type Sharding struct {
	ShardsPerZone       int
	LeaseDuration       model.Microseconds
	StabilizationPeriod model.Microseconds // how long membership must be unchanged before shards move
	MoveInterval        model.Microseconds // minimum time between two moves
}

// Replicas describes the replicas of each zone.
type Replicas struct {
	PerZone                int
	Cores                  int
	QueueLimit             int     // maximum number of requests that wait for a core
	MaxConnections         int     // maximum number of simultaneous connections
	DeduplicationGroupSize int     // replicas that share a store of idempotency keys
	MinSpeed               float64 // lowest speed of a replica's core; 1: executes one microsecond of work per microsecond
	MaxSpeed               float64 // highest speed; speeds are drawn uniformly
	InitialShare           float64 // the share of its capacity that a cold replica starts with
	WarmUpPeriod           model.Microseconds
	ReportInterval         model.Microseconds // time between two refreshes of a replica's load report
	HandshakeWork          model.Microseconds // work to accept a connection
}

// Proxies describes the proxies of each zone and the clients that send requests to them.
type Proxies struct {
	PerZone        int
	EjectAfter     int    // consecutive failures after which a proxy ejects a replica by itself; 0: never
	ClientAttempts int    // maximum number of attempts of a client at a request, including the first
	Pick           string // policy by which a proxy chooses a replica: lottery, wheel or pair
	RedialInterval model.Microseconds
	EjectFor       model.Microseconds
	StallPerEntry  model.Microseconds // how long a proxy stalls for each entry that it receives
	ClientBackoff  model.Microseconds // from the end of a client's attempt to its next attempt
	RateSpread     float64            // coefficient of variation of the proxies' request rates
}

// Registry holds the delays after which the endpoint registry shows changes.
type Registry struct {
	ExitDelay   model.Microseconds // until a replica whose process has exited is removed
	SilentDelay model.Microseconds // until a replica that does not answer is removed
	AddDelay    model.Microseconds // until a started or draining replica is shown
}

// Load describes the requests that clients send.
type Load struct {
	Rate       float64 // requests per second of all proxies together
	Operations []OperationLoad
}

// OperationLoad is the load of one operation.
type OperationLoad struct {
	Operation int                // index in Script.Operations
	Share     float64            // of the requests, relative to the other shares
	Mean      model.Microseconds // mean work of a request
	Spread    float64            // coefficient of variation of the work
}

// Step is one fault or change at a set time.
type Step struct {
	Kind     StepKind
	At       model.Microseconds
	Duration model.Microseconds
	Zone     string  // limits the step to one zone; "": all
	Fraction float64 // the fraction of the candidates that the step affects
	Size     float64 // see the constants of StepKind
	Number   int     // see the constants of StepKind
	Silent   bool    // zone_loss: the replicas keep running but do not answer
	Group    string  // a variant of the kind or the name of an operation
}

// seconds converts a number of seconds to microseconds.
func seconds(count float64) model.Microseconds {
	return model.Microseconds(count * float64(model.Second))
}
