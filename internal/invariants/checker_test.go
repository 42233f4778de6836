package invariants

import (
	"fmt"
	"strings"
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

const second = model.Second

// requestNumber is the number of the request that the attempts of a case belong to.
const requestNumber = 5

func id(n byte) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 80} }

var testLimits = Limits{
	Zones:          []string{"govan"},
	Operations:     []Operation{{"read", Idempotent, 0}, {"log", IdempotencyKeyed, second}, {"pay", SideEffecting, 0}},
	MaxEmptyTime:   2 * second,
	DrainGrace:     2 * second,
	WarmUpPeriod:   10 * second,
	OverloadFactor: 4,
	OverloadWindow: 3 * second,
	QueueLimit:     100,
	MessageLimit:   3,
	MessageWindow:  10 * second,
}

// timeline holds the observations of a small run. In each, the proxy "till" joins the instance "g" after one second,
// replicas 1 and 2 are listed, each in its own deduplication group, and the proxy's standing table contains replica 1.
type timeline []Event

func newTimeline() timeline {
	return timeline{
		ProxyStarted{At: 0, Proxy: "till", Standing: []TableEntry{{id(1), 1}}},
		ReplicaStarted{At: 0, Replica: id(1), DeduplicationGroup: "a", Capacity: 1, InitialShare: 1},
		ReplicaStarted{At: 0, Replica: id(2), DeduplicationGroup: "b", Capacity: 1, InitialShare: 1},
		endpointsListed(0, 1, 2),
		StreamChanged{At: 1 * second, Proxy: "till", Instance: "g", Up: true},
	}
}

func endpointsListed(at model.Microseconds, numbers ...byte) EndpointsSent {
	var all []string
	for _, n := range numbers {
		all = append(all, fmt.Sprintf(`{"Service":{"Address":"127.0.0.%d","Port":80,"Meta":{"zone":"govan"}}}`, n))
	}
	return EndpointsSent{At: at, Instance: "g", Body: []byte("[" + strings.Join(all, ",") + "]")}
}

func warmingEndpointListed(at model.Microseconds, n byte, since model.Microseconds) EndpointsSent {
	const entry = `[{"Service":{"Address":"127.0.0.%d","Port":80,"Meta":{"zone":"govan","started":"%d"}}}]`
	return EndpointsSent{At: at, Instance: "g", Body: fmt.Appendf(nil, entry, n, since/model.Millisecond)}
}

func messageReceived(at model.Microseconds, m pubsubmsg.Message) BytesReceived {
	if m.UpdatedAt == 0 {
		m.UpdatedAt = at
	}
	m.AckSequence = -1
	return BytesReceived{At: at, Proxy: "till", Data: pubsubmsg.Append(nil, &m)}
}

func withdrawalReceived(at model.Microseconds) BytesReceived {
	return messageReceived(at, pubsubmsg.Message{Withdrawals: []pubsubmsg.Withdrawal{{Replica: id(1), Withdrawn: true}}})
}

func attemptSent(at model.Microseconds, op int, n byte, attemptNumber int) AttemptStarted {
	return AttemptStarted{
		At: at, Proxy: "till", Replica: id(n), Operation: op, Request: requestNumber, Attempt: attemptNumber,
	}
}

func firstAttemptEnded(at model.Microseconds, o Outcome) AttemptEnded {
	return AttemptEnded{At: at, Request: requestNumber, Attempt: 1, Outcome: o}
}

// steadyLoad returns ten arrivals per second at a replica, each with the given work in microseconds.
func steadyLoad(replica byte, from, to model.Microseconds, work float64) (arrivals timeline) {
	for at := from; at < to; at += second / 10 {
		arrivals = append(arrivals, WorkArrived{At: at, Replica: id(replica), Proxy: "till", Work: work})
	}
	return arrivals
}

// violationCase is a timeline that either violates one invariant or violates none.
type violationCase struct {
	name     string
	violated bool
	events   timeline
}

// warmingReplicaStart is the start of a replica whose capacity rises from 0.25 of a core to 1 core in 8 s.
var warmingReplicaStart = ReplicaStarted{
	At:                 3 * second,
	Replica:            id(3),
	DeduplicationGroup: "a",
	Capacity:           1,
	InitialShare:       0.25,
	WarmUpPeriod:       8 * second,
}

var emptyTableCases = []violationCase{
	{"no usable entry until five seconds after the replicas are warm", true, timeline{withdrawalReceived(5 * second)}},
	{"no usable entry for one second before the replicas are warm", false, timeline{
		withdrawalReceived(5 * second),
		messageReceived(6*second, pubsubmsg.Message{Entries: []pubsubmsg.Entry{{Replica: id(2), Weight: 1}}}),
	}},
	{"no usable entry while not joined", false, timeline{
		withdrawalReceived(5 * second),
		StreamChanged{At: 6 * second, Proxy: "till", Instance: "g"},
	}},
	{"no usable entry until two seconds after a warming replica is warm", false, timeline{
		warmingEndpointListed(4*second, 2, 3*second),
		withdrawalReceived(5 * second),
	}},
	{"no usable entry until five seconds after a warming replica is warm", true, timeline{
		warmingEndpointListed(1*second, 2, 0),
		warmingEndpointListed(2*second, 2, 1),
		withdrawalReceived(3 * second),
	}},
	{"endpoint lists while there is no usable entry", true, timeline{
		withdrawalReceived(5 * second),
		endpointsListed(6*second, 1, 2),
		endpointsListed(7*second, 1, 2),
	}},
	{"a table without entries", true, timeline{messageReceived(5*second, pubsubmsg.Message{Full: true, Bound: true})}},
}

var repeatedEffectCases = []violationCase{
	{"a payment repeated after a time-out", true, timeline{
		attemptSent(5*second, 2, 1, 1),
		firstAttemptEnded(6*second, TimedOut),
		attemptSent(6*second, 2, 2, 2),
	}},
	{"a payment repeated after a rejection", false, timeline{
		attemptSent(5*second, 2, 1, 1),
		firstAttemptEnded(6*second, Rejected),
		attemptSent(6*second, 2, 2, 2),
	}},
	{"a payment repeated before the first attempt ends", true, timeline{
		attemptSent(5*second, 2, 1, 1),
		attemptSent(5*second, 2, 2, 2),
	}},
	{"a log repeated in another deduplication group", true, timeline{
		attemptSent(5*second, 1, 1, 1),
		firstAttemptEnded(5*second, ConnectionLost),
		attemptSent(5*second, 1, 2, 2),
	}},
	{"a log repeated in its deduplication group", false, timeline{
		attemptSent(5*second, 1, 1, 1),
		firstAttemptEnded(5*second, ConnectionLost),
		attemptSent(5*second+second/2, 1, 1, 2),
	}},
	{"a log repeated in its deduplication group after the window", true, timeline{
		attemptSent(5*second, 1, 1, 1),
		firstAttemptEnded(5*second, ConnectionLost),
		attemptSent(6*second+second/2, 1, 1, 2),
	}},
	{"a read repeated at another replica", false, timeline{
		attemptSent(5*second, 0, 1, 1),
		firstAttemptEnded(6*second, TimedOut),
		attemptSent(6*second, 0, 2, 2),
	}},
	{"a payment executed twice", true, timeline{
		RequestExecuted{At: 5 * second, Replica: id(1), Operation: 2, Request: 9},
		RequestExecuted{At: 6 * second, Replica: id(2), Operation: 2, Request: 9},
	}},
}

var drainCases = []violationCase{
	{"an attempt three seconds after the notification of a drain", true, timeline{
		endpointsListed(4*second, 2),
		attemptSent(7*second, 0, 1, 1),
	}},
	{"an attempt within the drain grace", false, timeline{endpointsListed(4*second, 2), attemptSent(5*second, 0, 1, 1)}},
	{"an attempt after the replica is listed again", false, timeline{
		endpointsListed(4*second, 2),
		endpointsListed(5*second, 1, 2),
		attemptSent(7*second, 0, 1, 1),
	}},
	{"an attempt within the drain grace after a new join", false, timeline{
		endpointsListed(4*second, 2),
		StreamChanged{At: 5 * second, Proxy: "till", Instance: "g"},
		StreamChanged{At: 6 * second, Proxy: "till", Instance: "g", Up: true},
		attemptSent(7*second, 0, 1, 1),
	}},
}

var coldStartCases = []violationCase{
	{
		"a warming replica receives ten times its capacity", true,
		append(timeline{warmingReplicaStart, warmingEndpointListed(3*second, 3, 3*second)},
			steadyLoad(3, 6*second, 9*second, 4e5)...),
	},
	{
		"a warming replica receives no more than its capacity", false,
		append(timeline{warmingReplicaStart, warmingEndpointListed(3*second, 3, 3*second)},
			steadyLoad(3, 6*second, 9*second, 3e4)...),
	},
	{
		"the same overload by proxies that could not know of the start", false,
		append(timeline{warmingReplicaStart},
			steadyLoad(3, 4*second, 7*second, 4e5)...),
	},
}

var queueCases = []violationCase{
	{"a hundred and twenty entries in flight", true, timeline{
		messageReceived(6*second, pubsubmsg.Message{UpdatedAt: 5 * second, Cost: 60}),
		messageReceived(6*second, pubsubmsg.Message{UpdatedAt: 5*second + 1, Cost: 60}),
	}},
	{"sixty entries in flight, then sixty others", false, timeline{
		messageReceived(6*second, pubsubmsg.Message{UpdatedAt: 5 * second, Cost: 60}),
		messageReceived(7*second, pubsubmsg.Message{UpdatedAt: 6*second + 1, Cost: 60}),
	}},
	{"four messages in ten seconds", true, timeline{
		messageReceived(5*second, pubsubmsg.Message{}),
		messageReceived(6*second, pubsubmsg.Message{}),
		messageReceived(7*second, pubsubmsg.Message{}),
		messageReceived(8*second, pubsubmsg.Message{}),
	}},
}

// Each invariant is violated by some timelines and not by similar ones. No case violates another invariant.
func TestEachCaseViolatesItsOwnInvariantOnly(t *testing.T) {
	for invariant, cases := range map[string][]violationCase{
		EmptyTable:     emptyTableCases,
		RepeatedEffect: repeatedEffectCases,
		LateDrain:      drainCases,
		ColdOverload:   coldStartCases,
		LongQueue:      queueCases,
	} {
		for _, tt := range cases {
			t.Run(tt.name, func(t *testing.T) {
				checkViolations(t, append(newTimeline(), tt.events...), invariant, tt.violated)
			})
		}
	}
}

// checkViolations requires that a timeline violates the given invariant only, or none if wantViolated is false.
func checkViolations(t *testing.T, events timeline, invariant string, wantViolated bool) {
	t.Helper()
	for _, v := range Check(events, testLimits, 15*second) {
		if violated := len(v.Violations) > 0; violated != (wantViolated && v.Invariant == invariant) {
			t.Errorf("%s: violated %v, %.2f of the limit: %v", v.Invariant, violated, v.MaxRatio, v.Violations)
		}
	}
}

func TestViolationStatesProxyReplicaAndTimesWhenADrainIsLate(t *testing.T) {
	events := append(newTimeline(), endpointsListed(4*second, 2), attemptSent(7*second, 0, 1, 1))
	for _, v := range Check(events, testLimits, 15*second) {
		if v.Invariant == LateDrain && (len(v.Violations) != 1 || v.Violations[0] !=
			"7.000 s: till sent to 127.0.0.1:80 3.000 s after g was notified that it drains or is gone, 2.000 s are allowed") {
			t.Fatal(v.Violations)
		}
	}
}

func TestViolationListIsTruncatedWhenItExceedsItsLimit(t *testing.T) {
	events := append(newTimeline(), endpointsListed(4*second, 2))
	for n := range 1000 {
		at := 8*second + model.Microseconds(n)
		events = append(events, AttemptStarted{At: at, Proxy: "till", Replica: id(1), Request: uint64(n), Attempt: 1})
	}
	if v := Check(events, testLimits, 15*second)[2]; len(v.Violations) != maxViolations+1 {
		t.Fatalf("%d violations are listed, want maxViolations and a note that there are more", len(v.Violations))
	}
}

// Two instances that publish in the same epoch violate the invariant. Messages with an older epoch than an earlier
// message are fenced off, so they are not checked.
func TestSharedEpochIsViolatedWhenTwoInstancesPublishInOneEpoch(t *testing.T) {
	joinedTo := func(at model.Microseconds, instance string) StreamChanged {
		return StreamChanged{At: at, Proxy: "till", Instance: instance, Up: true}
	}
	tableReceived := func(at model.Microseconds, epoch uint64, entries ...pubsubmsg.Entry) BytesReceived {
		return messageReceived(at, pubsubmsg.Message{Full: true, Bound: true, Entries: entries, Epoch: epoch})
	}
	entry, noEntries := pubsubmsg.Entry{Replica: id(1), Weight: 1}, []pubsubmsg.Entry(nil)
	for name, tt := range map[string]struct {
		events   timeline
		violated string
	}{
		"a takeover": {
			timeline{tableReceived(2*second, 1, entry), joinedTo(3*second, "h"), tableReceived(4*second, 2, entry)},
			"",
		},
		"two instances in one epoch": {
			timeline{tableReceived(2*second, 1, entry), joinedTo(3*second, "h"), tableReceived(4*second, 1, entry)},
			SharedEpoch,
		},
		"an empty table in an older epoch": {
			timeline{tableReceived(2*second, 2, entry), tableReceived(3*second, 1, noEntries...)},
			"",
		},
		"an empty table in the same epoch": {
			timeline{tableReceived(2*second, 2, entry), tableReceived(3*second, 2, noEntries...)},
			EmptyTable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			checkViolations(t, append(newTimeline(), tt.events...), tt.violated, tt.violated != "")
		})
	}
}
