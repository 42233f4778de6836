package invariants

import (
	"math"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// Check checks what was observed, in its order, up to the end of the run. It gives one result an invariant.
func Check(observed []Event, limits Limits, end model.Microseconds) []Result {
	checker := newChecker(limits, end)
	if len(observed) > 0 {
		checker.began = startOf(observed[0])
	}
	for _, event := range observed {
		checker.observe(event)
	}
	for _, name := range checker.proxyOrder {
		checker.endEmptySpell(checker.proxies[name], end)
	}
	checker.checkColdStarts()
	checker.checkQueues()
	results := make([]Result, 0, len(invariantNames))
	for _, name := range invariantNames {
		results = append(results, *checker.results[name])
	}
	return results
}

// checker is the state of one check: what each party was seen to know, and the results so far.
type checker struct {
	limits     Limits
	began      model.Microseconds
	proxies    map[string]*proxyState
	proxyOrder []string // names in the order in which they started first
	instances  map[string]*instanceState
	replicas   map[model.ReplicaID]*replicaState
	attempts   map[requestKey][]*attempt
	executions map[requestKey]int
	arrivals   []arrival
	results    map[string]*Result
}

// proxyState is what a proxy holds, by what it was sent.
type proxyState struct {
	name        string
	epoch       uint64            // the newest that it was sent a message of
	epochHolder map[uint64]string // the instance that published in each epoch
	running     bool
	instance    *instanceState // nil: not joined
	joinedAt    model.Microseconds
	reader      *resp.Reader
	weights     map[model.ReplicaID]float64
	withdrawn   map[model.ReplicaID]bool
	emptySince  model.Microseconds   // notEmpty: it has a usable entry, or is not joined
	updatedAt   model.Microseconds   // the clock of its newest message
	messages    []model.Microseconds // the clocks of its messages on this stream
}

// instanceState is what a control-plane instance was notified of, and what it sent.
type instanceState struct {
	name      string
	goneAt    map[model.ReplicaID]model.Microseconds // when it was notified that the replica drains or is gone
	startSeen map[model.ReplicaID]model.Microseconds // when it was notified of the replica's newest start
	startedAt map[model.ReplicaID]model.Microseconds
	listed    map[model.ReplicaID]bool
	warmFrom  model.Microseconds // from when a ready, warm replica is listed; never if none is
	sent      []sentMessage
}

type sentMessage struct {
	updatedAt, receivedAt model.Microseconds
	cost                  int // entries
}

type replicaState struct {
	group  string // the replicas that drop repeats among themselves
	starts []ReplicaStarted
}

// requestKey identifies one of a client's attempts at a request.
type requestKey struct {
	request       uint64
	clientAttempt int
}

type attempt struct {
	AttemptStarted
	outcome Outcome
}

// arrival is work at a replica; informed: its proxy was sent updates that knew of the replica's start.
type arrival struct {
	WorkArrived
	informed bool
}

const (
	never    = model.Microseconds(math.MaxInt64)
	notEmpty = model.Microseconds(-1)
)

func newChecker(limits Limits, began model.Microseconds) *checker {
	checker := &checker{
		limits:     limits,
		began:      began,
		proxies:    map[string]*proxyState{},
		instances:  map[string]*instanceState{},
		replicas:   map[model.ReplicaID]*replicaState{},
		attempts:   map[requestKey][]*attempt{},
		executions: map[requestKey]int{},
		results:    map[string]*Result{},
	}
	for _, name := range invariantNames {
		checker.results[name] = &Result{Invariant: name}
	}
	return checker
}

// startOf is the time of a run's first observation, which is a start or an endpoint list.
func startOf(event Event) model.Microseconds {
	switch e := event.(type) {
	case ProxyStarted:
		return e.At
	case ReplicaStarted:
		return e.At
	case EndpointsSent:
		return e.At
	}
	return 0
}

// sinceStart writes a time as the run counts it.
func (c *checker) sinceStart(t model.Microseconds) string { return seconds(t - c.began) }

func (c *checker) instance(name string) *instanceState {
	i := c.instances[name]
	if i == nil {
		i = &instanceState{
			name:      name,
			goneAt:    map[model.ReplicaID]model.Microseconds{},
			startSeen: map[model.ReplicaID]model.Microseconds{},
			startedAt: map[model.ReplicaID]model.Microseconds{},
			listed:    map[model.ReplicaID]bool{},
			warmFrom:  never,
		}
		c.instances[name] = i
	}
	return i
}

func (c *checker) replica(id model.ReplicaID) *replicaState {
	r := c.replicas[id]
	if r == nil {
		r = &replicaState{}
		c.replicas[id] = r
	}
	return r
}

// observe takes in one event.
func (c *checker) observe(observed Event) {
	switch event := observed.(type) {
	case ProxyStarted:
		c.proxyStarted(event)
	case ProxyStopped:
		c.proxyStopped(event)
	case StreamChanged:
		c.streamChanged(event)
	case BytesReceived:
		c.bytesReceived(event)
	case EndpointsSent:
		c.endpointsSent(event)
	case AttemptStarted:
		c.attemptStarted(event)
	case AttemptEnded:
		c.attemptEnded(event)
	case RequestExecuted:
		c.requestExecuted(event)
	case WorkArrived:
		c.arrivals = append(c.arrivals, arrival{event, c.informed(event)})
	case ReplicaStarted:
		r := c.replica(event.Replica)
		r.group = event.DeduplicationGroup
		r.starts = append(r.starts, event)
	}
}
