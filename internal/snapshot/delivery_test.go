package snapshot

import (
	"reflect"
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// A proxy with a table for some operations and one for the others is sent both by operations; a change reaches it in
// that of its table, and a withdrawal once.
func TestTablesForSomeOperations(t *testing.T) {
	state := New(1, 6)
	state.Subscribe(7, "7")
	got := state.Apply(&Batch{AckSequence: 4, Updates: []Update{
		weightUpdate(1, 1, 1), weightUpdate(1, 2, 1), weightUpdate(2, 1, 0.5),
		{Kind: BindProxy, Proxy: 7, Table: 1, Operations: 1, Readmitted: []model.ReplicaID{id(2)}},
		{Kind: BindProxy, Proxy: 7, Table: 2, Operations: 2, Readmitted: []model.ReplicaID{id(1)}},
	}})
	want := []OperationTable{
		{1, true, []pubsubmsg.Entry{{Replica: id(1), Weight: 1}, {Replica: id(2), Weight: 1}}},
		{2, true, []pubsubmsg.Entry{{Replica: id(1), Weight: 0.5}}},
	}
	if len(got) != 1 || !reflect.DeepEqual(got[0].OperationTables, want) || got[0].Message.Entries != nil ||
		got[0].Message.Cost != 6+1+2+1+1+1 || len(got[0].Readmitted) != 2 {
		t.Fatalf("bound to both: %+v", got)
	}
	got = apply(state, weightUpdate(2, 1, 0.6), weightUpdate(2, 3, 1))
	want = []OperationTable{
		{2, false, []pubsubmsg.Entry{{Replica: id(1), Weight: 0.6}, {Replica: id(3), Weight: 1}}},
	}
	if len(got) != 1 || !reflect.DeepEqual(got[0].OperationTables, want) || got[0].Message.Cost != 8 {
		t.Fatalf("a change: %+v", got)
	}
	got = apply(state, withdrawalUpdate(3, true), withdrawalUpdate(1, true))
	if len(got) != 1 || len(got[0].OperationTables) != 0 || len(got[0].Message.Withdrawals) != 2 {
		t.Fatalf("withdrawals: %+v", got)
	}
	state.Unsubscribe(7)
	if got = apply(state, weightUpdate(2, 1, 0.7)); len(got) != 0 {
		t.Fatalf("after it left: %+v", got)
	}
}
