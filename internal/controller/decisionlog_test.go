package controller

import (
	"testing"

	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// The decision log keeps the newest steps that had an input, a reason or an update, and finds them by a text that they
// mention.
func TestDecisionLogKeepsNewestEntriesWhenFull(t *testing.T) {
	log := &decisionLog{}
	log.addTimer()
	log.closeStep(1, nil)
	if got := log.find(10, nil); len(got) != 0 {
		t.Fatalf("an idle step was recorded: %+v", got)
	}
	for n := range maxDecisions + 5 {
		log.addInput("joined proxy-%d", n)
		log.closeStep(model.Microseconds(n), []snapshot.Update{
			{Kind: snapshot.SetWithdrawn, Replica: id(byte(n % 7)), Withdrawn: true},
		})
	}
	got := log.find(2, nil)
	if len(got) != 2 || got[0].Number != maxDecisions+5 || got[1].Number != maxDecisions+4 {
		t.Fatalf("got %+v, want the two newest entries", got)
	}
	if got := log.find(10, mentioning("proxy-0")); len(got) != 0 {
		t.Fatalf("the oldest entry was not dropped: %+v", got[0])
	}
	if got := log.find(3, mentioning("withdraw 127.0.0.3:80")); len(got) != 3 {
		t.Fatalf("found %d entries, want 3", len(got))
	}
}

func mentioning(text string) func(*Decision) bool {
	return func(entry *Decision) bool { return entry.Mentions(text) }
}

// An entry lists its first inputs and updates and counts the omitted ones.
func TestDecisionLogLimitsInputsAndUpdatesOfEntry(t *testing.T) {
	log := &decisionLog{}
	var updates []snapshot.Update
	for range 1000 {
		updates = append(updates, snapshot.Update{Kind: snapshot.BindProxy})
		log.addInput("joined")
	}
	log.closeStep(9, updates)
	got := log.find(1, nil)[0]
	if len(got.Updates) != maxUpdates || got.OmittedUpdates != 1000-maxUpdates || len(got.Inputs) != maxInputs+1 {
		t.Fatalf("%d updates, %d omitted, %d inputs: not limited", len(got.Updates), got.OmittedUpdates, len(got.Inputs))
	}
}

// A disabled log keeps neither entries nor the inputs and reasons of the current step.
func TestDisabledDecisionLogKeepsNothing(t *testing.T) {
	log := &decisionLog{disabled: true}
	for n := range 100 {
		log.addInput("joined %d", n)
		log.addReason("gate open")
		log.closeStep(model.Microseconds(n), []snapshot.Update{{Kind: snapshot.BindProxy}})
	}
	kept := len(log.ring) + len(log.currentStep.inputs) + len(log.currentStep.reasons)
	if kept > 0 || len(log.find(10, nil)) > 0 {
		t.Fatalf("a disabled log has %d entries", len(log.ring))
	}
}
