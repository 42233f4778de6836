package snapshot

import (
	"testing"

	"peppervale/internal/model"
)

func id(n byte) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 80} }

func line(r byte, weight float64) Update {
	return Update{Kind: SetWeight, Table: 1, Replica: id(r), Weight: weight}
}

func shut(r byte, out bool) Update { return Update{Kind: SetWithdrawn, Replica: id(r), Withdrawn: out} }

// A withdrawal concerns who holds the line, and everybody whose tables nobody here laid. A line that is laid later for what
// is out brings its withdrawal along.
func TestWhoIsToldOfAWithdrawal(t *testing.T) {
	b := New(1, 6)
	one, two := b.Subscribe(1, "one"), b.Subscribe(2, "two")
	b.Apply(&Batch{AckSequence: -1, Updates: []Update{line(1, 1), {Kind: BindProxy, Proxy: 1, Table: 1}}})
	made := b.Apply(&Batch{AckSequence: -1, Updates: []Update{shut(9, true)}})
	if len(made) != 1 || made[0].To != two {
		t.Fatalf("told: %+v", made)
	}
	made = b.Apply(&Batch{AckSequence: -1, Updates: []Update{line(9, 1)}})
	if len(made) != 1 || made[0].To != one || len(made[0].Message.Withdrawals) != 1 || !made[0].Message.Withdrawals[0].Withdrawn {
		t.Fatalf("a line to a replica that is out: %+v", made[0].Message)
	}
	// Taken off and let back in while it was off the table: the line that comes back must not stay shut.
	b.Apply(&Batch{AckSequence: -1, Updates: []Update{line(9, 0), shut(9, false)}})
	made = b.Apply(&Batch{AckSequence: -1, Updates: []Update{line(9, 1)}})
	if len(made) != 1 || len(made[0].Message.Withdrawals) != 1 || made[0].Message.Withdrawals[0].Withdrawn {
		t.Fatalf("a line that comes back: %+v", made[0].Message)
	}
	b.Apply(&Batch{AckSequence: -1, Updates: []Update{shut(9, true)}})
	made = b.Apply(&Batch{AckSequence: 5, AckFromAll: true, Updates: []Update{shut(9, false)}})
	if len(made) != 2 || len(b.Snapshot(one).Withdrawals) != 0 || made[1].Message.AckSequence != 5 {
		t.Fatalf("back in: %+v", made)
	}
}
