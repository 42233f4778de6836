package controller

import (
	"slices"
	"strings"
	"sync"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// newest keeps the last sum of each replica and zone, for a governor that takes parts of the fleet over in a planned move. It is no
// part of any decision here.
type newest struct {
	mu   sync.Mutex
	sums map[key]stamped
}

type stamped struct {
	sum model.LoadReport
	at  model.Microseconds
}

// freshFor is how old a sum may be that is handed over, in report periods: one may be under way, and one was missed.
const freshFor = 3

func (n *newest) note(now model.Microseconds, sums []model.LoadReport) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range sums {
		n.sums[key{s.Zone, s.Replica}] = stamped{s, now}
	}
}

// listed drops what is not in the list any more, so that no more is kept than the list has, a zone each.
func (n *newest) listed(list map[model.ReplicaID]model.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k := range n.sums {
		if _, there := list[k.replica]; !there {
			delete(n.sums, k)
		}
	}
}

// LatestReports gives the last sum that each replica was named in, of each zone, as far as it is fresh.
func (h *Controller) LatestReports() (all []model.LoadReport) {
	h.newest.mu.Lock()
	defer h.newest.mu.Unlock()
	for _, s := range h.newest.sums {
		if h.now()-s.at <= freshFor*h.terms.ReportPeriod {
			all = append(all, s.sum)
		}
	}
	slices.SortFunc(all, func(a, b model.LoadReport) int {
		if a.Zone != b.Zone {
			return a.Zone - b.Zone
		}
		return strings.Compare(pubsubmsg.Address(a.Replica), pubsubmsg.Address(b.Replica))
	})
	return all
}

// AddHandedOverReports has the module hear, in its next step, what another governor was told last.
func (h *Controller) AddHandedOverReports(sums []model.LoadReport) {
	for _, s := range sums {
		h.LoadReported(s.Zone, []model.LoadReport{s})
	}
	h.ring()
}
