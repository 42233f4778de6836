package lease

import "testing"

// A proxy obeys nothing of an older epoch than it has seen, and notices when the holder changed.
func TestFence(t *testing.T) {
	var fence Fence
	for _, step := range []struct {
		epoch         uint64
		obey, changed bool
	}{{3, true, true}, {3, true, false}, {2, false, false}, {5, true, true}, {3, false, false}} {
		if obey, changed := fence.Accept(step.epoch); obey != step.obey || changed != step.changed {
			t.Errorf("epoch %d: %v, %v", step.epoch, obey, changed)
		}
	}
}
