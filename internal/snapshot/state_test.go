package snapshot

import (
	"testing"

	"peppervale/internal/model"
)

func id(n byte) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 80} }

func weightUpdate(table model.TableID, replica byte, weight float64) Update {
	return Update{Kind: SetWeight, Table: table, Replica: id(replica), Weight: weight}
}

func withdrawalUpdate(replica byte, withdrawn bool) Update {
	return Update{Kind: SetWithdrawn, Replica: id(replica), Withdrawn: withdrawn}
}

// apply applies updates without asking for an acknowledgement.
func apply(state *State, updates ...Update) []Delivery {
	return state.Apply(&Batch{AckSequence: NoAckSequence, Updates: updates})
}

// A withdrawal concerns those with an entry for the replica, and those on standing tables. An entry that is added later
// for a withdrawn replica brings its withdrawal along.
func TestWithdrawalReachesSubscribersConcerned(t *testing.T) {
	state := New(1, 6)
	bound, unbound := state.Subscribe(1, "one"), state.Subscribe(2, "two")
	apply(state, weightUpdate(1, 1, 1), Update{Kind: BindProxy, Proxy: 1, Table: 1})
	got := apply(state, withdrawalUpdate(9, true))
	if len(got) != 1 || got[0].Subscriber != unbound {
		t.Fatalf("notified of a withdrawal: %+v", got)
	}
	got = apply(state, weightUpdate(1, 9, 1))
	if len(got) != 1 || got[0].Subscriber != bound || len(got[0].Message.Withdrawals) != 1 ||
		!got[0].Message.Withdrawals[0].Withdrawn {
		t.Fatalf("an entry for a withdrawn replica: %+v", got[0].Message)
	}
	// Removed and readmitted while it had no entry: the entry that comes back must not stay withdrawn.
	apply(state, weightUpdate(1, 9, 0), withdrawalUpdate(9, false))
	got = apply(state, weightUpdate(1, 9, 1))
	if len(got) != 1 || len(got[0].Message.Withdrawals) != 1 || got[0].Message.Withdrawals[0].Withdrawn {
		t.Fatalf("an entry that comes back: %+v", got[0].Message)
	}
	apply(state, withdrawalUpdate(9, true))
	got = state.Apply(&Batch{AckSequence: 5, AckFromAll: true, Updates: []Update{withdrawalUpdate(9, false)}})
	if len(got) != 2 || len(state.Snapshot(bound).Withdrawals) != 0 || got[1].Message.AckSequence != 5 {
		t.Fatalf("readmitted: %+v", got)
	}
}
