package lease

import "testing"

// A proxy accepts no message of an older epoch than it has seen, and detects that the holder has changed.
func TestFenceRejectsOlderEpochs(t *testing.T) {
	var fence Fence
	for _, step := range []struct {
		epoch             uint64
		accepted, changed bool
	}{{3, true, true}, {3, true, false}, {2, false, false}, {5, true, true}, {3, false, false}} {
		if accepted, changed := fence.Accept(step.epoch); accepted != step.accepted || changed != step.changed {
			t.Errorf("epoch %d: got accepted %v and changed %v", step.epoch, accepted, changed)
		}
	}
}
