package scenario

import (
	"peppervale/internal/config"
	"peppervale/internal/model"
)

// Script is a scenario as its file describes it.
type Script struct {
	Name             string
	About            string
	Length           model.Microseconds
	Seed             uint64
	Zones            []string
	InstanceZones    []string  // the zone of each instance of the control plane
	Sharding         *Sharding // nil: the instances share nothing
	FaultyController string    // the kind of faulty controller that stands in for the instances, or noFaultyController
	Operations       []config.Operation
	Config           model.Config
	Guarantees       config.Guarantees
	Replicas         Replicas
	Proxies          Proxies
	Registry         Registry
	Load             Load
	Steps            []Step
	instanceBlocks   []byte // the blocks that each instance's configuration file repeats unchanged
}

// Sharding says how the instances divide the zones among themselves.
type Sharding struct {
	ShardsPerZone       int
	LeaseDuration       model.Microseconds
	StabilizationPeriod model.Microseconds // how long membership must be steady before shards move
	MoveInterval        model.Microseconds // at least so long between two moves
}

// Replicas describes the replicas of each zone.
type Replicas struct {
	PerZone                int
	Cores                  int
	QueueLimit             int // requests that may wait
	MaxConnections         int // accepted at once
	DeduplicationGroupSize int // replicas that share a store of idempotency keys
	SpeedFrom              float64
	SpeedTo                float64
	InitialShare           float64 // of its capacity that a cold replica has
	WarmUpPeriod           model.Microseconds
	ReportInterval         model.Microseconds
	HandshakeWork          model.Microseconds // work of accepting a connection
}

// Proxies describes the proxies of each zone and the clients behind them.
type Proxies struct {
	PerZone        int
	EjectAfter     int // consecutive failures after which a proxy avoids a replica by itself; 0: never
	ClientAttempts int // of a request, the first included
	Pick           string
	RedialInterval model.Microseconds
	EjectFor       model.Microseconds
	StallPerEntry  model.Microseconds // a proxy stalls for this long for each entry that it receives
	ClientBackoff  model.Microseconds
	RateSpread     float64 // coefficient of variation of the proxies' request rates
}

// Registry says how late the endpoint registry learns of changes.
type Registry struct {
	ExitDelay   model.Microseconds // of a process that ended
	SilentDelay model.Microseconds // of a process that answers nothing
	AddDelay    model.Microseconds // of a started or draining replica
}

// Load describes the requests that clients send.
type Load struct {
	Rate       float64 // requests a second, all proxies together
	Operations []OperationLoad
}

// OperationLoad is the load of one operation.
type OperationLoad struct {
	Operation int     // its index in Script.Operations
	Share     float64 // of the requests, relative to the other shares
	Mean      model.Microseconds
	Spread    float64 // coefficient of variation
}

// Step is one fault or change at a set time.
type Step struct {
	Kind     StepKind
	At       model.Microseconds
	Duration model.Microseconds
	Zone     string  // limits the step to one zone; "": all
	Fraction float64 // of the candidates that the step affects
	Size     float64 // its meaning depends on the kind
	Number   int     // its meaning depends on the kind
	Silent   bool    // zone_loss: the replicas stay but answer nothing
	Group    string  // narrows the step down; its meaning depends on the kind
}

// seconds converts a number of seconds.
func seconds(count float64) model.Microseconds {
	return model.Microseconds(count * float64(model.Second))
}
