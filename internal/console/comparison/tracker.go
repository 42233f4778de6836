package comparison

import "peppervale/internal/model"

// maxViewAge is the age beyond which a view is not compared: five poll intervals.
const maxViewAge = 5 * model.Second

// tracker finds disagreements and tracks their duration. It is created by newTracker and is not safe for concurrent
// use.
//
//	state     event                 next      effect
//	-         found                 new       its start is recorded
//	new       found                 new       none
//	new       not found             -         its start is deleted
//	new       settlingTime passed   standing  it is sorted first
//	standing  found                 standing  none
//	standing  not found             -         its start is deleted
type tracker struct {
	starts       map[string]model.Microseconds // the start of each disagreement, by its key
	connectedAt  map[string]model.Microseconds // the time of each proxy's last connection, by its name
	incarnations map[string]uint64             // the highest incarnation of each controller, by its address
}

func newTracker() *tracker {
	return &tracker{
		starts:       map[string]model.Microseconds{},
		connectedAt:  map[string]model.Microseconds{},
		incarnations: map[string]uint64{},
	}
}

// compare returns the sorted disagreements between the recent views of the controllers, and the number of controllers
// that were compared.
func (t *tracker) compare(
	now model.Microseconds, controllers []polledController,
) (found []disagreement, compared int) {
	var recent []polledController
	for _, controller := range controllers {
		if controller.isRecent(now) {
			recent = append(recent, controller)
		}
	}
	allRecent := len(recent) == len(controllers)
	found = append(found, compareReplicas(recent)...)
	found = append(found, t.compareProxies(now, recent, allRecent)...)
	found = append(found, t.compareControllers(recent)...)
	t.recordStarts(now, found)
	sortDisagreements(found, now)
	return found, len(recent)
}

// recordStarts sets the start of each disagreement that was found, and deletes the recorded starts of all others.
func (t *tracker) recordStarts(now model.Microseconds, found []disagreement) {
	starts := make(map[string]model.Microseconds, len(found))
	for i := range found {
		key := found[i].key()
		start, known := t.starts[key]
		if !known {
			start = now
		}
		starts[key] = start
		found[i].Since = start
	}
	t.starts = starts
}
