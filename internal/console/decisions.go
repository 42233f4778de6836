package console

import (
	"net/url"

	"peppervale/internal/controller"
	"peppervale/internal/model"
)

const (
	// maxDecisions bounds the decisions on the page of the decision log.
	maxDecisions = 200

	// maxDetailDecisions bounds the decisions on the page of one replica or proxy.
	maxDetailDecisions = 50

	// maxFilterLength bounds the filter text of decisions, in bytes.
	maxFilterLength = 200
)

// decisionsBody is the decision log, filtered by ?about=.
type decisionsBody struct {
	Filter    string        `json:"about"`
	Decisions []decisionRow `json:"causes"`
}

// decisionRow is a step of the event loop: its inputs, the balancer's reasons, and the updates that were published.
type decisionRow struct {
	Number         uint64   `json:"number"`
	Incarnation    uint64   `json:"life,omitempty"` // the earlier incarnation that logged it; 0: the present one
	Age            string   `json:"at"`
	Inputs         []string `json:"came"`
	Reasons        []string `json:"said"`
	Updates        []string `json:"orders"`
	OmittedUpdates int      `json:"orders_left_out,omitempty"`
}

func (s *Server) decisionsPage(page *pageModel, query url.Values) any {
	filter := query.Get("about")
	filter = filter[:min(len(filter), maxFilterLength)]
	matches := func(decision *controller.Decision) bool {
		return filter == "" || decision.Mentions(filter)
	}
	return decisionsBody{
		Filter:    filter,
		Decisions: decisionRows(page.Now, s.source.Decisions(maxDecisions, matches)),
	}
}

func decisionRows(now model.Microseconds, decisions []controller.Decision) []decisionRow {
	rows := make([]decisionRow, 0, len(decisions))
	for _, decision := range decisions {
		rows = append(rows, decisionRow{
			Number:         decision.Number,
			Incarnation:    decision.Incarnation,
			Age:            FormatAge(now, decision.At),
			Inputs:         decision.Inputs,
			Reasons:        decision.Reasons,
			Updates:        decision.Updates,
			OmittedUpdates: decision.OmittedUpdates,
		})
	}
	return rows
}
