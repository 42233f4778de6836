package comparison

import "peppervale/internal/model"

// maxViewAge is the age beyond which a view is not compared: five poll intervals.
const maxViewAge = 5 * model.Second

// tracker finds disagreements and tracks their duration. It is created by newTracker and is not safe for concurrent
// use.
//
//	state       event                 next        effect
//	-           found                 new         the start is recorded
//	new         found                 new         none
//	new         not found             -           the start is deleted
//	new         settlingTime passed   persistent  the disagreement is sorted first
//	persistent  found                 persistent  none
//	persistent  not found             -           the start is deleted
type tracker struct {
	starts          map[string]model.Microseconds // the start of each disagreement, by its key
	lastConnectedAt map[string]model.Microseconds // when each proxy was last reported as connected, by its name
	incarnations    map[string]uint64             // the highest incarnation of each controller, by its address
}

func newTracker() *tracker {
	return &tracker{
		starts:          map[string]model.Microseconds{},
		lastConnectedAt: map[string]model.Microseconds{},
		incarnations:    map[string]uint64{},
	}
}

// compare returns the sorted disagreements between the recent views of the controllers, and the number of controllers
// that were compared.
func (t *tracker) compare(
	now model.Microseconds, controllers []polledController,
) (disagreements []disagreement, comparedCount int) {
	var recentControllers []polledController
	for _, controller := range controllers {
		if controller.isRecent(now) {
			recentControllers = append(recentControllers, controller)
		}
	}
	allRecent := len(recentControllers) == len(controllers)
	disagreements = append(disagreements, compareReplicas(recentControllers)...)
	disagreements = append(disagreements, t.compareProxies(now, recentControllers, allRecent)...)
	disagreements = append(disagreements, t.compareControllers(recentControllers)...)
	t.recordStarts(now, disagreements)
	sortDisagreements(disagreements, now)
	return disagreements, len(recentControllers)
}

// recordStarts sets the start of each disagreement that was found, and deletes the recorded starts of all others.
func (t *tracker) recordStarts(now model.Microseconds, disagreements []disagreement) {
	starts := make(map[string]model.Microseconds, len(disagreements))
	for i := range disagreements {
		key := disagreements[i].key()
		start, known := t.starts[key]
		if !known {
			start = now
		}
		starts[key] = start
		disagreements[i].Since = start
	}
	t.starts = starts
}
