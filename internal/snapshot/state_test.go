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

// A withdrawal is sent to the subscribers with an entry for the replica and to those on standing tables. If an entry
// for a withdrawn replica is added later, the withdrawal is sent together with the entry.
func TestWithdrawalIsSentToAffectedSubscribers(t *testing.T) {
	state := New(1, 6, UntilSnapshot)
	bound, unbound := state.Subscribe(1, "one"), state.Subscribe(2, "two")
	apply(state, weightUpdate(1, 1, 1), Update{Kind: BindProxy, Proxy: 1, Table: 1})
	got := apply(state, withdrawalUpdate(9, true))
	if len(got) != 1 || got[0].Subscriber != unbound {
		t.Fatalf("a withdrawal: got %+v, want a message to the unbound subscriber only", got)
	}
	got = apply(state, weightUpdate(1, 9, 1))
	if len(got) != 1 || got[0].Subscriber != bound || len(got[0].Message.Withdrawals) != 1 ||
		!got[0].Message.Withdrawals[0].Withdrawn {
		t.Fatalf("an entry for a withdrawn replica: got %+v, want its withdrawal with it", got[0].Message)
	}
	// The replica is readmitted while it has no entry: when the entry is added again, it must not stay withdrawn.
	apply(state, weightUpdate(1, 9, 0), withdrawalUpdate(9, false))
	got = apply(state, weightUpdate(1, 9, 1))
	if len(got) != 1 || len(got[0].Message.Withdrawals) != 1 || got[0].Message.Withdrawals[0].Withdrawn {
		t.Fatalf("an entry added again: got %+v, want the readmission with it", got[0].Message)
	}
	apply(state, withdrawalUpdate(9, true))
	got = state.Apply(&Batch{AckSequence: 5, AckFromAll: true, Updates: []Update{withdrawalUpdate(9, false)}})
	if len(got) != 2 || len(state.Snapshot(bound).Withdrawals) != 0 || got[1].Message.AckSequence != 5 {
		t.Fatalf("a readmission with acknowledgements from all: got %+v, want sequence 5 at both", got)
	}
}
