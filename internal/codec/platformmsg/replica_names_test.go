package platformmsg

import (
	"testing"

	"peppervale/internal/model"
)

func TestReplicaNamesKeepTheirIDs(t *testing.T) {
	names := NewReplicaNames()
	first, _ := names.Register("s-1")
	second, _ := names.Register("s-2")
	again, ok := names.Register("s-1")
	if first != again || !ok || first == second {
		t.Fatalf("wrong ids: first %v, second %v, first again %v", first, second, again)
	}
	if names.Name(first) != "s-1" || names.Name(second) != "s-2" || names.Name(model.ReplicaID{}) != "" {
		t.Fatalf("wrong names: %q, %q; name of an unknown id: %q",
			names.Name(first), names.Name(second), names.Name(model.ReplicaID{}))
	}
	if _, known := names.ID("s-3"); known {
		t.Fatal("a name that was never registered has an id")
	}
}
