package controller

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// Decision is a decision log entry: one step that published something or changed the state of the balancer or the
// fleet. It records the events received, the balancer's reasons and the published updates; together they explain, for
// instance, why a proxy has no entry for a replica. It is stored as JSON; its tags are names in stored data and must
// not change.
type Decision struct {
	At             model.Microseconds `json:"At"`             // time of the step
	Number         uint64             `json:"Number"`         // within its incarnation, from 1
	Incarnation    uint64             `json:"Life,omitempty"` // earlier incarnation that took the step; 0: current
	Inputs         []string           `json:"Came"`           // events as text; reports and acknowledgements only counted
	Reasons        []string           `json:"Said"`           // messages that the balancer logged
	Updates        []string           `json:"Orders"`         // published updates as text
	OmittedUpdates int                `json:"Cut"`            // published updates left out of Updates
}

// Mentions reports whether any input, reason or update contains a text.
func (d *Decision) Mentions(text string) bool {
	containsText := func(entry string) bool { return strings.Contains(entry, text) }
	return slices.ContainsFunc(d.Inputs, containsText) ||
		slices.ContainsFunc(d.Reasons, containsText) ||
		slices.ContainsFunc(d.Updates, containsText)
}

// Limits of the decision log. At about five recorded steps a second, as in a fleet without incidents, maxDecisions
// covers about an hour. If a table of hundreds of entries changes, the first updates show what kind of change it is.
const (
	maxDecisions = 16384
	maxUpdates   = 64 // recorded in one entry
	maxInputs    = 16 // recorded in one entry
)

// Texts of decision log entries. They must not change: entries of earlier versions are searched together with new ones,
// and the console searches for some of the texts.
const (
	inputEndpoints    = "list %s of %d" // kind and number of entries of an endpoint list
	inputConnected    = "joined %s"     // name of a proxy
	inputDisconnected = "left %s"       // name of a proxy
	inputOmitted      = "and %d more"   // inputs beyond maxInputs
	inputReports      = "%d sums"       // load reports
	inputAcks         = "%d receipts"   // acknowledgements
	inputTimer        = "timer"

	updateWeight    = "table %d: %s weighs %.4g"
	updateBinding   = "forwarder %d on table %d"
	updateWithdrawn = "withdraw "
	updateReadmit   = "let back "                                   // readmission
	updateQuota     = "level of operations %#b: share %.3g, way %d" // mask, quota and retry policy
)

var endpointUpdateNames = map[model.EndpointUpdate]string{
	model.FullList:       "whole",
	model.ChangedEntries: "change",
	model.CachedList:     "cached",
	model.PollFailed:     "failed",
}

// decisionLog keeps the newest decisions in memory. The event loop's goroutine writes it; any goroutine may read it.
type decisionLog struct {
	disabled    bool            // no entry is recorded
	persist     func(*Decision) // called with each entry, must not block; nil: entries are not persisted
	currentStep stepRecord

	mu           sync.Mutex
	ring         []*Decision // entries are immutable
	oldestIndex  int         // index of the oldest entry
	newestNumber uint64      // of the newest entry
}

// stepRecord collects the events of the current step.
type stepRecord struct {
	inputs               []string // the first maxInputs of them
	inputCount           int
	reasons              []string
	reportCount          int
	acknowledgementCount int
	timerFired           bool
}

// describeInputs returns the inputs as text, including the counts of inputs that are not listed one by one.
func (s *stepRecord) describeInputs() []string {
	inputs := s.inputs
	if s.inputCount > maxInputs {
		inputs = append(inputs, fmt.Sprintf(inputOmitted, s.inputCount-maxInputs))
	}
	if s.reportCount > 0 {
		inputs = append(inputs, fmt.Sprintf(inputReports, s.reportCount))
	}
	if s.acknowledgementCount > 0 {
		inputs = append(inputs, fmt.Sprintf(inputAcks, s.acknowledgementCount))
	}
	if s.timerFired {
		inputs = append(inputs, inputTimer)
	}
	return inputs
}

// addInput records an event of the current step.
func (l *decisionLog) addInput(format string, args ...any) {
	if l.disabled {
		return
	}
	l.currentStep.inputCount++
	if l.currentStep.inputCount <= maxInputs {
		l.currentStep.inputs = append(l.currentStep.inputs, fmt.Sprintf(format, args...))
	}
}

// addReason records a message that the balancer logged in the current step.
func (l *decisionLog) addReason(text string) {
	if l.disabled {
		return
	}
	l.currentStep.reasons = append(l.currentStep.reasons, text)
}

func (l *decisionLog) addReports(count int) { l.currentStep.reportCount += count }
func (l *decisionLog) addAcknowledgement()  { l.currentStep.acknowledgementCount++ }
func (l *decisionLog) addTimer()            { l.currentStep.timerFired = true }

// closeStep ends the current step and appends its entry. A step without reasons and updates is not recorded if its only
// inputs are load reports, acknowledgements and the timer.
func (l *decisionLog) closeStep(now model.Microseconds, updates []snapshot.Update) {
	step := l.currentStep
	l.currentStep = stepRecord{}
	isIdle := step.inputCount == 0 && len(step.reasons) == 0 && len(updates) == 0
	if l.disabled || isIdle {
		return
	}
	entry := &Decision{At: now, Inputs: step.describeInputs(), Reasons: step.reasons}
	for _, update := range updates[:min(len(updates), maxUpdates)] {
		entry.Updates = append(entry.Updates, describeUpdate(update))
	}
	entry.OmittedUpdates = len(updates) - len(entry.Updates)
	l.append(entry)
}

// append numbers an entry, persists it and adds it to the ring. In a full ring it replaces the oldest entry.
func (l *decisionLog) append(entry *Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newestNumber++
	entry.Number = l.newestNumber
	if l.persist != nil {
		l.persist(entry)
	}
	if len(l.ring) < maxDecisions {
		l.ring = append(l.ring, entry)
		return
	}
	l.ring[l.oldestIndex] = entry
	l.oldestIndex = (l.oldestIndex + 1) % maxDecisions
}

func describeUpdate(update snapshot.Update) string {
	replica := pubsubmsg.FormatAddress(update.Replica)
	switch update.Kind {
	case snapshot.SetWeight:
		return fmt.Sprintf(updateWeight, update.Table, replica, update.Weight)
	case snapshot.BindProxy:
		return fmt.Sprintf(updateBinding, update.Proxy, update.Table)
	case snapshot.SetWithdrawn:
		if update.Withdrawn {
			return updateWithdrawn + replica
		}
		return updateReadmit + replica
	}
	quota := update.Quota
	return fmt.Sprintf(updateQuota, quota.Operations, quota.Share, quota.RetryPolicy)
}

// find returns at most limit matching entries, newest first. It copies the ring's pointers and matches without holding
// the lock, because a search of all entries takes some tens of milliseconds and must not delay a step.
func (l *decisionLog) find(limit int, match func(*Decision) bool) []Decision {
	var found []Decision
	for _, entry := range slices.Backward(l.entries()) {
		if match != nil && !match(entry) {
			continue
		}
		found = append(found, *entry)
		if len(found) == limit {
			break
		}
	}
	return found
}

// entries returns all entries, oldest first.
func (l *decisionLog) entries() []*Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Concat(l.ring[l.oldestIndex:], l.ring[:l.oldestIndex])
}

// oldestNumber returns the number of the oldest entry in memory, or the number of the next entry if there is none.
func (l *decisionLog) oldestNumber() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newestNumber - uint64(len(l.ring)) + 1
}
