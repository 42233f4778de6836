package admission

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The decision table, row by row; and a peer that waits for no more than its even share is always sent its messages.
func TestBudget(t *testing.T) {
	budget := Budget{PerPeer: 100, Total: 1000}
	for _, tt := range []struct {
		waiting, waitingForAll int64
		peers                  int
		merge                  bool
	}{
		{101, 101, 1, true},
		{100, 1000, 50, false},
		{21, 1001, 50, true},
		{20, 1001, 50, false},
		{0, 5000, 0, false},
	} {
		t.Run(fmt.Sprint(tt.waiting, " of ", tt.waitingForAll, " with ", tt.peers), func(t *testing.T) {
			if got := budget.MustMerge(tt.waiting, tt.waitingForAll, tt.peers); got != tt.merge {
				t.Errorf("%+v: %v", tt, got)
			}
		})
	}
}

// Whichever peers read: what waits stays within twice the budget and one message for each.
// It does not stay within the budget itself: one peer may wait for all of it while others come up to their shares.
func TestBudgetBoundsWaitingBytes(t *testing.T) {
	const messageSize = 40
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.IntRange(1, 30).Draw(t, "peers")
		budget := Budget{
			PerPeer: rapid.Int64Range(10, 200).Draw(t, "per peer"),
			Total:   rapid.Int64Range(10, 2000).Draw(t, "in all"),
		}
		waiting := make([]int64, peers)
		waitingForAll := int64(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			peer := rapid.IntRange(0, peers-1).Draw(t, "peer")
			if rapid.Bool().Draw(t, "reads") {
				waitingForAll -= waiting[peer]
				waiting[peer] = 0
			} else if !budget.MustMerge(waiting[peer], waitingForAll, peers) {
				waiting[peer] += messageSize
				waitingForAll += messageSize
			}
			limit := 2*budget.Total + int64(peers+1)*messageSize
			if waitingForAll > limit || waiting[peer] > budget.PerPeer+messageSize {
				t.Fatalf("%d wait for all and %d for one, of %+v", waitingForAll, waiting[peer], budget)
			}
		}
	})
}
