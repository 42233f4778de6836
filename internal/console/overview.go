package console

import (
	"net/url"

	"peppervale/internal/balancer"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/controller"
)

const (
	// maxOverviewReplicas bounds each list of replicas on the overview.
	maxOverviewReplicas = 50

	// maxOverviewDecisions bounds the decisions on the overview.
	maxOverviewDecisions = 12
)

// JSON values of the state of safe mode.
const (
	safeModeEnded = "open"
	safeModeOn    = "shut"
)

// Replica states that the overview distinguishes, as the balancer names them.
const (
	stateServing = "serving"
	stateAbsent  = "away"
)

// overviewBody summarizes the controller's health and lists the replicas that are not serving.
type overviewBody struct {
	SafeMode           string         `json:"gate"`
	UnreportedReplicas []string       `json:"gate_waits_for"`
	ReplicasByState    map[string]int `json:"replicas_by_state"`
	ReadyReplicas      int            `json:"listed_ready"`
	BoundProxies       int            `json:"forwarders_bound"`
	ConnectedProxies   int            `json:"forwarders_joined"`
	EndpointListAge    string         `json:"list_age"`
	Saturation         float64        `json:"stress"`
	NormalizedLatency  float64        `json:"pace"`
	Quotas             []quotaRow     `json:"levels"`
	QueuedEntries      int            `json:"queue_lines"`
	QueueLimit         int            `json:"queue_limit"`
	UnackedEntries     int            `json:"unacknowledged_lines"`
	LongestStep        int64          `json:"worst_step_us"`
	MergedReports      uint64         `json:"sums_folded"`
	NotServing         []replicaRow   `json:"not_serving"`
	RecentDecisions    []decisionRow  `json:"lately"`
}

// InSafeMode reports whether the controller waits for load reports before weights follow them.
func (o overviewBody) InSafeMode() bool {
	return o.SafeMode != safeModeEnded
}

// quotaRow is the share of an operation's requests that proxies admit.
type quotaRow struct {
	Operation string  `json:"operation"`
	Share     float64 `json:"share"`
}

// safeModeValue returns the JSON value of the state of safe mode.
func safeModeValue(ended bool) string {
	if ended {
		return safeModeEnded
	}
	return safeModeOn
}

func (s *Server) overviewPage(page *pageModel, _ url.Values) any {
	view := page.View.Detail.Balancer
	hasReasons := func(decision *controller.Decision) bool { return len(decision.Reasons) > 0 }
	body := overviewBody{
		SafeMode:           safeModeValue(view.SafeModeEnded),
		UnreportedReplicas: unreportedAddresses(view),
		ReplicasByState:    map[string]int{},
		ReadyReplicas:      page.View.ReadyReplicas,
		BoundProxies:       countBound(view.Proxies),
		ConnectedProxies:   len(view.Proxies),
		EndpointListAge:    FormatAge(page.Now, page.View.EndpointsAt),
		Saturation:         view.Saturation,
		NormalizedLatency:  view.NormalizedLatency,
		Quotas:             s.quotaRows(view.Quotas),
		QueuedEntries:      page.Stats.QueuedEntries,
		QueueLimit:         s.instance.QueueLimit,
		UnackedEntries:     view.UnackedEntries,
		LongestStep:        int64(page.View.LongestStep),
		MergedReports:      page.View.MergedReports,
		RecentDecisions:    decisionRows(page.Now, s.source.Decisions(maxOverviewDecisions, hasReasons)),
	}
	for i := range view.Replicas {
		replica := &view.Replicas[i]
		body.ReplicasByState[replica.State]++
		notServing := replica.State != stateServing && replica.State != stateAbsent
		if notServing && len(body.NotServing) < maxOverviewReplicas {
			body.NotServing = append(body.NotServing, s.replicaRow(page, replica))
		}
	}
	return body
}

// unreportedAddresses returns the addresses of the replicas that safe mode waits for load reports from.
func unreportedAddresses(view *balancer.View) []string {
	if view.SafeModeEnded {
		return nil
	}
	var addresses []string
	for _, id := range view.UnreportedReplicas[:min(len(view.UnreportedReplicas), maxOverviewReplicas)] {
		addresses = append(addresses, pubsubmsg.FormatAddress(id))
	}
	return addresses
}

// countBound returns the number of proxies that use a table of this controller.
func countBound(proxies []balancer.ProxyView) int {
	count := 0
	for _, proxy := range proxies {
		if proxy.Table >= 0 {
			count++
		}
	}
	return count
}

func (s *Server) quotaRows(shares []float64) []quotaRow {
	var rows []quotaRow
	for i, share := range shares {
		if i < len(s.instance.Operations) {
			rows = append(rows, quotaRow{Operation: s.instance.Operations[i], Share: share})
		}
	}
	return rows
}
