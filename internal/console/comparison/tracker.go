package comparison

import "peppervale/internal/model"

// maxViewAge is the age beyond which a view is not compared: five poll intervals.
const maxViewAge = 5 * model.Second

// tracker finds disagreements and follows them over time. It is created by newTracker and is not safe for concurrent
// use.
//
//	state    found again       next      effect
//	-        yes               new       it lasts since now
//	new      yes               new       until settlingTime has passed
//	new      no                -         forgotten: it has passed
//	new      settlingTime      standing  reported first
//	standing no                -         forgotten
type tracker struct {
	since        map[string]model.Microseconds // when a disagreement began, by its key
	connectedAt  map[string]model.Microseconds // when a proxy was last connected, by its name
	incarnations map[string]uint64             // the highest one of a controller, by its address
}

func newTracker() *tracker {
	return &tracker{
		since:        map[string]model.Microseconds{},
		connectedAt:  map[string]model.Microseconds{},
		incarnations: map[string]uint64{},
	}
}

// compare returns the disagreements between the recent views of the controllers, the standing and severe ones first,
// and the number of controllers that were compared.
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
	t.follow(now, found)
	sortDisagreements(found, now)
	return found, len(recent)
}

// follow sets since when each disagreement lasts, and forgets those that were not found.
func (t *tracker) follow(now model.Microseconds, found []disagreement) {
	since := make(map[string]model.Microseconds, len(found))
	for i := range found {
		key := found[i].key()
		began, known := t.since[key]
		if !known {
			began = now
		}
		since[key] = began
		found[i].Since = began
	}
	t.since = since
}
