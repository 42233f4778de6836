package controller

import "peppervale/internal/model"

// endpointList is the endpoint list that endpoint discovery reported last.
type endpointList struct {
	byID       map[model.ReplicaID]model.Endpoint
	readyCount int                // number of ready entries
	fullListAt model.Microseconds // when the newest complete list was received; 0: none was

	failedPollCount   uint64 // failed polls of which the balancer was notified
	subscriptionCount uint64 // subscriptions that the balancer started
}

// apply updates the list. A failed poll does not change it and is counted.
func (l *endpointList) apply(now model.Microseconds, event endpointEvent) {
	if event.update == model.PollFailed {
		l.failedPollCount++
		return
	}
	if event.update != model.ChangedEntries {
		clear(l.byID)
	}
	for _, entry := range event.entries {
		l.byID[entry.ID] = entry
	}
	l.countReady()
	if event.update == model.FullList {
		l.fullListAt = now
	}
}

func (l *endpointList) countReady() {
	l.readyCount = 0
	for _, entry := range l.byID {
		if entry.Status == model.EndpointReady {
			l.readyCount++
		}
	}
}
