package controller

import "peppervale/internal/model"

// endpointList is the endpoint list as endpoint discovery last reported it.
type endpointList struct {
	byID       map[model.ReplicaID]model.Endpoint
	ready      int                // entries that are ready
	fullListAt model.Microseconds // when the newest complete list came; 0: none has
}

// apply brings the list up to date. A failed poll leaves it as it is.
func (l *endpointList) apply(now model.Microseconds, event *endpointEvent) {
	if event.update == model.PollFailed {
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
	l.ready = 0
	for _, entry := range l.byID {
		if entry.Status == model.EndpointReady {
			l.ready++
		}
	}
}
