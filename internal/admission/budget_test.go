package admission

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Each row of the decision table; a peer with at most its even share queued is always sent its messages.
func TestBudgetMergesWhenLimitIsExceeded(t *testing.T) {
	budget := Budget{PerPeer: 100, Total: 1000}
	for _, tt := range []struct {
		queued, queuedForAll int64
		peers                int
		merge                bool
	}{
		{101, 101, 1, true},
		{100, 1000, 50, false},
		{21, 1001, 50, true},
		{20, 1001, 50, false},
		{0, 5000, 0, false},
	} {
		t.Run(fmt.Sprint(tt.queued, " of ", tt.queuedForAll, " with ", tt.peers), func(t *testing.T) {
			if got := budget.MustMerge(tt.queued, tt.queuedForAll, tt.peers); got != tt.merge {
				t.Errorf("got merge %v for %+v", got, tt)
			}
		})
	}
}

// In any order of reads and writes the queued bytes stay within twice the budget and one message for each peer, and one
// further message. They may exceed the budget itself: one peer's queue may take all of it before the queues of other
// peers reach their even shares.
func TestBudgetBoundsQueuedBytes(t *testing.T) {
	const messageSize = 40
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.IntRange(1, 30).Draw(t, "peers")
		budget := Budget{
			PerPeer: rapid.Int64Range(10, 200).Draw(t, "per peer"),
			Total:   rapid.Int64Range(10, 2000).Draw(t, "total"),
		}
		queued := make([]int64, peers)
		queuedForAll := int64(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			peer := rapid.IntRange(0, peers-1).Draw(t, "peer")
			if rapid.Bool().Draw(t, "reads") {
				queuedForAll -= queued[peer]
				queued[peer] = 0
			} else if !budget.MustMerge(queued[peer], queuedForAll, peers) {
				queued[peer] += messageSize
				queuedForAll += messageSize
			}
			limit := 2*budget.Total + int64(peers+1)*messageSize
			if queuedForAll > limit || queued[peer] > budget.PerPeer+messageSize {
				t.Fatalf("%d bytes are queued for all peers and %d for one, with %+v", queuedForAll, queued[peer], budget)
			}
		}
	})
}
