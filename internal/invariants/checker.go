package invariants

import (
	"math"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// Judge checks what was observed, in its order, up to the end of the run. It gives one result an invariant.
func Judge(seen []Seen, limits Figures, end model.Microseconds) []Verdict {
	checker := newChecker(limits, end)
	if len(seen) > 0 {
		checker.began = startOf(seen[0])
	}
	for _, event := range seen {
		checker.observe(event)
	}
	for _, name := range checker.proxyOrder {
		checker.endEmptySpell(checker.proxies[name], end)
	}
	checker.checkColdStarts()
	checker.checkQueues()
	results := make([]Verdict, 0, len(invariantNames))
	for _, name := range invariantNames {
		results = append(results, *checker.results[name])
	}
	return results
}

// checker is the state of one check: what each party was seen to know, and the results so far.
type checker struct {
	limits     Figures
	began      model.Microseconds
	proxies    map[string]*proxyState
	proxyOrder []string // names in the order in which they started first
	instances  map[string]*instanceState
	replicas   map[model.ReplicaID]*replicaState
	attempts   map[requestKey][]*attempt
	executions map[requestKey]int
	arrivals   []arrival
	results    map[string]*Verdict
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
	starts []Up
}

// requestKey identifies one of a client's attempts at a request.
type requestKey struct {
	request       uint64
	clientAttempt int
}

type attempt struct {
	Tried
	outcome Outcome
}

// arrival is work at a replica; informed: its proxy was sent updates that knew of the replica's start.
type arrival struct {
	Arrived
	informed bool
}

const (
	never    = model.Microseconds(math.MaxInt64)
	notEmpty = model.Microseconds(-1)
)

func newChecker(limits Figures, began model.Microseconds) *checker {
	checker := &checker{
		limits:     limits,
		began:      began,
		proxies:    map[string]*proxyState{},
		instances:  map[string]*instanceState{},
		replicas:   map[model.ReplicaID]*replicaState{},
		attempts:   map[requestKey][]*attempt{},
		executions: map[requestKey]int{},
		results:    map[string]*Verdict{},
	}
	for _, name := range invariantNames {
		checker.results[name] = &Verdict{Rule: name}
	}
	return checker
}

// startOf is the time of a run's first observation, which is a start or an endpoint list.
func startOf(event Seen) model.Microseconds {
	switch e := event.(type) {
	case Began:
		return e.At
	case Up:
		return e.At
	case Told:
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
func (c *checker) observe(observed Seen) {
	switch event := observed.(type) {
	case Began:
		c.proxyStarted(event)
	case Died:
		c.proxyStopped(event)
	case Stream:
		c.streamChanged(event)
	case Received:
		c.bytesReceived(event)
	case Told:
		c.endpointsSent(event)
	case Tried:
		c.attemptStarted(event)
	case Ended:
		c.attemptEnded(event)
	case Ran:
		c.requestExecuted(event)
	case Arrived:
		c.arrivals = append(c.arrivals, arrival{event, c.informed(event)})
	case Up:
		r := c.replica(event.Replica)
		r.group = event.Bay
		r.starts = append(r.starts, event)
	}
}
