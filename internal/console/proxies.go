package console

import (
	"fmt"
	"net/url"
	"slices"
	"strings"

	"peppervale/internal/balancer"
	"peppervale/internal/controller"
)

// proxyRow is a row of the list of connected proxies.
type proxyRow struct {
	Name            string  `json:"name"`
	Number          int     `json:"number"`
	Zone            string  `json:"zone"`
	Table           int     `json:"table"` // -1: not bound to a table of this controller
	ExpectedRate    float64 `json:"usual_rate"`
	ConnectedAge    string  `json:"joined"`
	UnackedMessages int     `json:"unacknowledged_messages"`
	OldestUnacked   string  `json:"oldest_unacknowledged,omitempty"`
}

// proxyBody is one proxy, with the entries of its table and the decisions that led to them.
type proxyBody struct {
	proxyRow
	Entries   []entryRow    `json:"lines"`
	Decisions []decisionRow `json:"causes"`
}

func (s *Server) proxyRow(page *pageModel, proxy *balancer.ProxyView) proxyRow {
	connected := page.View.Detail.Proxies[proxy.ID]
	row := proxyRow{
		Name:            connected.Name,
		Number:          int(proxy.ID),
		Zone:            s.zoneName(proxy.Zone),
		Table:           proxy.Table,
		ExpectedRate:    proxy.ExpectedRate,
		ConnectedAge:    FormatAge(page.Now, connected.ConnectedAt),
		UnackedMessages: proxy.UnackedMessages,
	}
	if proxy.UnackedMessages > 0 {
		row.OldestUnacked = FormatAge(page.Now, proxy.OldestUnackedAt)
	}
	return row
}

func (s *Server) proxiesPage(page *pageModel, _ url.Values) any {
	proxies := page.View.Detail.Balancer.Proxies
	var rows []proxyRow
	for i := range proxies {
		rows = append(rows, s.proxyRow(page, &proxies[i]))
	}
	slices.SortFunc(rows, func(a, b proxyRow) int { return strings.Compare(a.Name, b.Name) })
	return rows[:min(len(rows), maxRows)]
}

func (s *Server) proxyPage(page *pageModel, name string) (any, error) {
	detail := page.View.Detail
	index := slices.IndexFunc(detail.Balancer.Proxies, func(proxy balancer.ProxyView) bool {
		return detail.Proxies[proxy.ID].Name == name
	})
	if index < 0 {
		return nil, fmt.Errorf("proxy %.60q: %w among the connected ones", name, errNotFound)
	}
	proxy := &detail.Balancer.Proxies[index]
	page.Title = "Forwarder " + name
	page.Heading = "Proxy " + name
	page.Template = "proxy"
	body := proxyBody{proxyRow: s.proxyRow(page, proxy)}
	// The decision log mentions the proxy and its table in these texts.
	mentions := []string{fmt.Sprintf("forwarder %d on", proxy.ID), "joined " + name, "left " + name}
	for _, table := range detail.Balancer.Tables {
		if int(table.ID) == proxy.Table {
			body.Entries = s.entryRows(detail.Balancer, table)
			mentions = append(mentions, fmt.Sprintf("table %d:", table.ID))
		}
	}
	concernsProxy := func(decision *controller.Decision) bool {
		return slices.ContainsFunc(mentions, decision.Mentions)
	}
	body.Decisions = decisionRows(page.Now, s.source.Decisions(maxDetailDecisions, concernsProxy))
	return body, nil
}
