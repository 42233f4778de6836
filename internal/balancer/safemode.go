package balancer

import "peppervale/internal/model"

// safeModeState is a state of safe mode, in which a balancer starts.
type safeModeState uint8

const (
	safeModeActive safeModeState = 1 << iota // no routine weight changes; binds only if a standing table may be empty
	safeModeEnded                            // proxies are bound, and weights follow load reports
)

// safeModeEvent is an event of the safe mode's state machine.
type safeModeEvent uint8

const (
	allReplicasReported safeModeEvent = 1 << iota
	startWindowElapsed
)

// SafeModeEndedMessage is logged when safe mode ends. The controller compares log messages with it to detect the end.
const SafeModeEndedMessage = "safe mode ended"

var safeModeTransitions = []transition[safeModeState, safeModeEvent, struct{}]{
	{safeModeActive, allReplicasReported | startWindowElapsed, safeModeEnded, (*Balancer).logSafeModeEnd},
}

// safeMode keeps a balancer from making decisions on incomplete load reports after its start. It lasts until a load
// report has named every replica that is listed as ready, or until the start window ends.
type safeMode struct{ state safeModeState }

func (m *safeMode) active() bool { return m.state == safeModeActive }

const (
	// startWindowPeriods is the length of the start window in report periods. A report is collected in the first period
	// and arrives in the second; the third is for replicas that get their first table entry late. A replica unreported
	// by then is in no standing table, so waiting longer does not help.
	startWindowPeriods = 3
	// startWindowLimit is the longest start window.
	startWindowLimit = 10 * model.Second
)

// startWindow is the longest duration of safe mode.
func startWindow(reportPeriod model.Microseconds) model.Microseconds {
	return min(startWindowPeriods*reportPeriod, startWindowLimit)
}

func (b *Balancer) logSafeModeEnd(struct{}) { b.publisher.Log(SafeModeEndedMessage) }

// everyReplicaReported reports whether load reports have named every replica that is listed as ready. Draining and
// unlisted replicas do not count.
func (b *Balancer) everyReplicaReported() bool {
	for _, r := range b.replicas {
		if r.listedReady() && !r.load.reported {
			return false
		}
	}
	return true
}
