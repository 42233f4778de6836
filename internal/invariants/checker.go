package invariants

import (
	"math"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// Check checks the observations of a run, which must be in order of time. end is the time when the run ended. It
// returns one result for each invariant, in the order of the constants.
func Check(observed []Event, limits Limits, end model.Microseconds) []Result {
	checker := newChecker(limits)
	if len(observed) > 0 {
		checker.startedAt = startTime(observed[0])
	}
	for _, event := range observed {
		checker.observe(event)
	}
	for _, name := range checker.proxyOrder {
		checker.endEmptyPeriod(checker.proxies[name], end)
	}
	checker.checkColdStarts()
	checker.checkQueues()
	results := make([]Result, 0, len(invariantNames))
	for _, name := range invariantNames {
		results = append(results, *checker.results[name])
	}
	return results
}

// checker holds the state of a check: the state of proxies, instances and replicas as derived from the observations,
// and the results so far.
type checker struct {
	limits     Limits
	startedAt  model.Microseconds
	proxies    map[string]*proxyState
	proxyOrder []string // names in the order of their first start
	instances  map[string]*instanceState
	replicas   map[model.ReplicaID]*replicaState
	attempts   map[requestKey][]*attempt
	executions map[requestKey]int
	arrivals   []arrival
	results    map[string]*Result
}

// proxyState is the state of a proxy as derived from the messages that it received.
type proxyState struct {
	name             string
	epoch            uint64            // the newest epoch of the messages that the proxy received
	holderByEpoch    map[uint64]string // the instance that published in each epoch
	running          bool
	instance         *instanceState // nil: not joined
	joinedAt         model.Microseconds
	reader           *resp.Reader
	weights          map[model.ReplicaID]float64
	withdrawn        map[model.ReplicaID]bool
	emptySince       model.Microseconds   // noEmptyPeriod: the proxy has a usable entry or is not joined
	lastPublishedAt  model.Microseconds   // newest publication time of the messages to the proxy, by the publisher's clock
	publicationTimes []model.Microseconds // publication times of the messages on this stream, by the publisher's clock
}

// instanceState holds the notifications that a control-plane instance received, and the messages that it sent.
type instanceState struct {
	name            string
	drainNotifiedAt map[model.ReplicaID]model.Microseconds // when the instance was notified of a drain or removal
	startNotifiedAt map[model.ReplicaID]model.Microseconds // when the instance was notified of the replica's newest start
	newestStartAt   map[model.ReplicaID]model.Microseconds // newest start time in the endpoint lists
	everListed      map[model.ReplicaID]bool               // replicas that any endpoint list so far contained
	warmListedFrom  model.Microseconds                     // when a listed replica is warm (may be later); never: none
	sentMessages    []sentMessage
}

type sentMessage struct {
	updatedAt, receivedAt model.Microseconds
	cost                  int // in entries
}

type replicaState struct {
	deduplicationGroup string
	starts             []ReplicaStarted
}

// requestKey identifies one attempt of a client at a request.
type requestKey struct {
	request       uint64
	clientAttempt int
}

type attempt struct {
	AttemptStarted
	outcome Outcome
}

// arrival is work that a replica received. informed is the result of checker.informed at that time.
type arrival struct {
	WorkArrived
	informed bool
}

const (
	never         = model.Microseconds(math.MaxInt64) // later than every time
	noEmptyPeriod = model.Microseconds(-1)            // value of emptySince outside of empty periods
)

func newChecker(limits Limits) *checker {
	checker := &checker{
		limits:     limits,
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

// startTime returns the time of a run's first observation, which is a start or an endpoint list.
func startTime(event Event) model.Microseconds {
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

// sinceStart formats a time relative to the start of the run.
func (c *checker) sinceStart(t model.Microseconds) string { return formatSeconds(t - c.startedAt) }

func (c *checker) instance(name string) *instanceState {
	i := c.instances[name]
	if i == nil {
		i = &instanceState{
			name:            name,
			drainNotifiedAt: map[model.ReplicaID]model.Microseconds{},
			startNotifiedAt: map[model.ReplicaID]model.Microseconds{},
			newestStartAt:   map[model.ReplicaID]model.Microseconds{},
			everListed:      map[model.ReplicaID]bool{},
			warmListedFrom:  never,
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

// observe updates the state with an event and runs the checks that the event concerns.
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
		r.deduplicationGroup = event.DeduplicationGroup
		r.starts = append(r.starts, event)
	}
}
