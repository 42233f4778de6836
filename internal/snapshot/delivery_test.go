package snapshot

import (
	"reflect"
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// A proxy that is bound to two tables for separate operations is sent both tables separately. A later change is sent
// for the changed table only, and a withdrawal once.
func TestDeliveriesSeparateTablesByOperations(t *testing.T) {
	state := New(1, 6, UntilSnapshot)
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
	// Cost: the overhead, a binding, two entries, the acknowledgement request, one entry and a binding.
	if len(got) != 1 || !reflect.DeepEqual(got[0].OperationTables, want) || got[0].Message.Entries != nil ||
		got[0].Message.Cost != 6+1+2+1+1+1 || len(got[0].Readmitted) != 2 {
		t.Fatalf("bound to both tables: got %+v", got)
	}
	got = apply(state, weightUpdate(2, 1, 0.6), weightUpdate(2, 3, 1))
	want = []OperationTable{
		{2, false, []pubsubmsg.Entry{{Replica: id(1), Weight: 0.6}, {Replica: id(3), Weight: 1}}},
	}
	if len(got) != 1 || !reflect.DeepEqual(got[0].OperationTables, want) || got[0].Message.Cost != 8 {
		t.Fatalf("a change to one table: got %+v", got)
	}
	got = apply(state, withdrawalUpdate(3, true), withdrawalUpdate(1, true))
	if len(got) != 1 || len(got[0].OperationTables) != 0 || len(got[0].Message.Withdrawals) != 2 {
		t.Fatalf("two withdrawals: got %+v, want one message without entries", got)
	}
	state.Unsubscribe(7)
	if got = apply(state, weightUpdate(2, 1, 0.7)); len(got) != 0 {
		t.Fatalf("after the proxy unsubscribed: got %+v, want no message", got)
	}
}
