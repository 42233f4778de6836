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
// fleet. It records what came in, the balancer's reasons, and what was published; together they answer why a proxy has
// no entry for a replica. It is stored as JSON; its tags are names in stored data and must not change.
type Decision struct {
	At             model.Microseconds `json:"At"`             // when the step was taken
	Number         uint64             `json:"Number"`         // of the entries of one incarnation, from 1
	Incarnation    uint64             `json:"Life,omitempty"` // that took the step, if an earlier one; 0: this one
	Inputs         []string           `json:"Came"`           // events, as text; reports and acknowledgements only counted
	Reasons        []string           `json:"Said"`           // what the balancer logged
	Updates        []string           `json:"Orders"`         // what was published, as text
	OmittedUpdates int                `json:"Cut"`            // updates beyond those in Updates
}

// Mentions reports whether any input, reason or update contains a text.
func (d *Decision) Mentions(text string) bool {
	containsText := func(entry string) bool { return strings.Contains(entry, text) }
	return slices.ContainsFunc(d.Inputs, containsText) ||
		slices.ContainsFunc(d.Reasons, containsText) ||
		slices.ContainsFunc(d.Updates, containsText)
}

// Limits of the decision log. At five flushes a second with a few steps each, maxDecisions is about an hour of a calm
// fleet. The first entries of a table of hundreds say what the others do.
const (
	maxDecisions = 16384
	maxUpdates   = 64 // of one entry
	maxInputs    = 16 // of one entry
)

// Texts of decision log entries. Entries of earlier versions are read and searched beside new ones, and the console
// searches for some of the texts, so they must not change.
const (
	inputEndpoints    = "list %s of %d"
	inputConnected    = "joined %s"
	inputDisconnected = "left %s"
	inputOmitted      = "and %d more"
	inputReports      = "%d sums"
	inputAcks         = "%d receipts"
	inputTimer        = "timer"

	updateWeight    = "table %d: %s weighs %.4g"
	updateBinding   = "forwarder %d on table %d"
	updateWithdrawn = "withdraw "
	updateReadmit   = "let back "
	updateQuota     = "level of operations %#b: share %.3g, way %d"
)

var endpointUpdateNames = map[model.EndpointUpdate]string{
	model.FullList:       "whole",
	model.ChangedEntries: "change",
	model.CachedList:     "cached",
	model.PollFailed:     "failed",
}

// decisionLog keeps the newest decisions in memory. The event loop's goroutine writes, any goroutine reads.
type decisionLog struct {
	disabled bool            // nothing is kept
	persist  func(*Decision) // gets each entry and must not block; nil: entries are not persisted
	current  stepRecord

	mu     sync.Mutex
	ring   []*Decision // entries are never written again
	start  int         // index of the oldest entry
	number uint64      // of the newest entry
}

// stepRecord gathers what happens in the current step.
type stepRecord struct {
	inputs           []string // the first maxInputs
	inputCount       int
	reasons          []string
	reports          int
	acknowledgements int
	timer            bool
}

// describeInputs returns the inputs as text, with those that are only counted.
func (s *stepRecord) describeInputs() []string {
	inputs := s.inputs
	if s.inputCount > maxInputs {
		inputs = append(inputs, fmt.Sprintf(inputOmitted, s.inputCount-maxInputs))
	}
	if s.reports > 0 {
		inputs = append(inputs, fmt.Sprintf(inputReports, s.reports))
	}
	if s.acknowledgements > 0 {
		inputs = append(inputs, fmt.Sprintf(inputAcks, s.acknowledgements))
	}
	if s.timer {
		inputs = append(inputs, inputTimer)
	}
	return inputs
}

// addInput records an event of the current step.
func (l *decisionLog) addInput(format string, args ...any) {
	if l.disabled {
		return
	}
	l.current.inputCount++
	if l.current.inputCount <= maxInputs {
		l.current.inputs = append(l.current.inputs, fmt.Sprintf(format, args...))
	}
}

// addReason records what the balancer logged in the current step.
func (l *decisionLog) addReason(text string) {
	if l.disabled {
		return
	}
	l.current.reasons = append(l.current.reasons, text)
}

func (l *decisionLog) addReports(count int) { l.current.reports += count }
func (l *decisionLog) addAcknowledgement()  { l.current.acknowledgements++ }
func (l *decisionLog) addTimer()            { l.current.timer = true }

// closeStep ends the current step and appends its entry. A step with no input but load reports, acknowledgements or the
// timer, and with neither reason nor update, is not kept.
func (l *decisionLog) closeStep(now model.Microseconds, updates []snapshot.Update) {
	step := l.current
	l.current = stepRecord{}
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

// append numbers an entry, persists it and, once the ring is full, replaces the oldest by it.
func (l *decisionLog) append(entry *Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	entry.Number = l.number
	if l.persist != nil {
		l.persist(entry)
	}
	if len(l.ring) < maxDecisions {
		l.ring = append(l.ring, entry)
		return
	}
	l.ring[l.start] = entry
	l.start = (l.start + 1) % maxDecisions
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

// find returns at most limit matching entries, newest first. It copies the ring's pointers and matches without the
// lock: a search of all entries takes some tens of milliseconds, and a step must not wait for it.
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
	return slices.Concat(l.ring[l.start:], l.ring[:l.start])
}

// oldest returns the number of the oldest entry in memory; the next one's if there is none.
func (l *decisionLog) oldest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.number - uint64(len(l.ring)) + 1
}
