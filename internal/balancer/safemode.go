package balancer

import "peppervale/internal/model"

// safeModeState is a state of the safe mode that a balancer starts in.
type safeModeState uint8

const (
	safeModeActive safeModeState = 1 << iota // no weight moves; a proxy is bound only if its table may be empty
	safeModeEnded                            // weights follow load reports
)

// safeModeEvent is an event of the safe mode's state machine.
type safeModeEvent uint8

const (
	allReplicasReported safeModeEvent = 1 << iota
	startWindowElapsed
)

// SafeModeEndedMessage is logged when safe mode ends, by which the controller learns of it. Stored decision logs
// contain the text, so it must not change.
const SafeModeEndedMessage = "gate open"

var safeModeTransitions = []transition[safeModeState, safeModeEvent, struct{}]{
	{safeModeActive, allReplicasReported | startWindowElapsed, safeModeEnded, (*Balancer).logSafeModeEnd},
}

// safeMode keeps a balancer from deciding on incomplete load reports after a start: it lasts until every replica listed
// as ready is named in a load report, or until the start window ends.
type safeMode struct{ state safeModeState }

func (m *safeMode) active() bool { return m.state == safeModeActive }

const (
	// startWindowPeriods: a report is gathered in one period and arrives in a second; a third serves replicas whose first
	// entry has to wait. A replica unreported by then is in no standing table, so waiting longer is of no use.
	startWindowPeriods = 3
	// startWindowLimit is the start window of the design.
	startWindowLimit = 10 * model.Second
)

// startWindow is the longest time that safe mode lasts.
func startWindow(reportPeriod model.Microseconds) model.Microseconds {
	return min(startWindowPeriods*reportPeriod, startWindowLimit)
}

func (b *Balancer) logSafeModeEnd(struct{}) { b.publisher.Log(SafeModeEndedMessage) }

// everyReplicaReported reports whether each replica listed as ready was named in a load report. Draining and absent
// ones are not waited for.
func (b *Balancer) everyReplicaReported() bool {
	for _, r := range b.replicas {
		if r.listedReady() && !r.load.reported {
			return false
		}
	}
	return true
}
