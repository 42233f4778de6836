package snapshot

import (
	"reflect"
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// A forwarder with a table for some operations and one for the others is sent parts; a change reaches it in that of its table, and a
// withdrawal once.
func TestTablesForSomeOperations(t *testing.T) {
	r := func(n byte) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{10, 0, 0, n}, Port: 1} }
	b := New(1, 6)
	b.Subscribe(7, "7")
	assign := func(table model.TableID, n byte, weight float64) Update {
		return Update{Kind: SetWeight, Table: table, Replica: r(n), Weight: weight}
	}
	made := b.Apply(&Batch{AckSequence: 4, Updates: []Update{assign(1, 1, 1), assign(1, 2, 1), assign(2, 1, 0.5),
		{Kind: BindProxy, Proxy: 7, Table: 1, Operations: 1, Readmitted: []model.ReplicaID{r(2)}}, {Kind: BindProxy, Proxy: 7, Table: 2, Operations: 2, Readmitted: []model.ReplicaID{r(1)}}}})
	want := []OperationTable{{1, true, []pubsubmsg.Entry{{Replica: r(1), Weight: 1}, {Replica: r(2), Weight: 1}}}, {2, true, []pubsubmsg.Entry{{Replica: r(1), Weight: 0.5}}}}
	if len(made) != 1 || !reflect.DeepEqual(made[0].OperationTables, want) || made[0].Message.Entries != nil || made[0].Message.Cost != 6+1+2+1+1+1 || len(made[0].Readmitted) != 2 {
		t.Fatalf("%+v", made)
	}
	made = b.Apply(&Batch{AckSequence: -1, Updates: []Update{assign(2, 1, 0.6), assign(2, 3, 1)}})
	if want := []OperationTable{{2, false, []pubsubmsg.Entry{{Replica: r(1), Weight: 0.6}, {Replica: r(3), Weight: 1}}}}; len(made) != 1 || !reflect.DeepEqual(made[0].OperationTables, want) || made[0].Message.Cost != 8 {
		t.Fatalf("%+v", made)
	}
	made = b.Apply(&Batch{AckSequence: -1, Updates: []Update{{Kind: SetWithdrawn, Replica: r(3), Withdrawn: true}, {Kind: SetWithdrawn, Replica: r(1), Withdrawn: true}}})
	if len(made) != 1 || len(made[0].OperationTables) != 0 || len(made[0].Message.Withdrawals) != 2 {
		t.Fatalf("%+v", made)
	}
	b.Unsubscribe(7)
	if made = b.Apply(&Batch{AckSequence: -1, Updates: []Update{assign(2, 1, 0.7)}}); len(made) != 0 {
		t.Fatalf("%+v", made)
	}
}
