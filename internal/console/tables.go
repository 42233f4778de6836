package console

import (
	"fmt"
	"net/url"
	"strconv"

	"peppervale/internal/balancer"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// tableRow is a shared table with its entries.
type tableRow struct {
	Table        int        `json:"table"`
	Zone         string     `json:"zone"`
	Proxies      int        `json:"forwarders"`
	ExpectedRate float64    `json:"usual_rate"`
	Entries      []entryRow `json:"lines"`
}

// entryRow is an entry of a table.
type entryRow struct {
	Table     int     `json:"table"`
	Zone      string  `json:"zone"`
	Replica   string  `json:"replica"`
	Weight    float64 `json:"weight"`
	Share     float64 `json:"share"` // of the total weight of the table's replicas that are not withdrawn
	State     string  `json:"state"`
	Withdrawn bool    `json:"withdrawn"`
}

func (s *Server) tablesPage(page *pageModel, _ url.Values) any {
	view := page.View.Detail.Balancer
	var rows []tableRow
	for _, table := range view.Tables {
		rows = append(rows, s.tableRow(view, table))
	}
	return rows[:min(len(rows), maxRows)]
}

// tablePage shows one table, as a list of one row.
func (s *Server) tablePage(page *pageModel, number string) (any, error) {
	view := page.View.Detail.Balancer
	var rows []tableRow
	for _, table := range view.Tables {
		if number == strconv.Itoa(int(table.ID)) {
			rows = append(rows, s.tableRow(view, table))
		}
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("table %.20q: %w", number, errNotFound)
	}
	return rows, nil
}

func (s *Server) tableRow(view *balancer.View, table balancer.TableView) tableRow {
	return tableRow{
		Table:        int(table.ID),
		Zone:         s.zoneName(table.Zone),
		Proxies:      table.Proxies,
		ExpectedRate: table.ExpectedRate,
		Entries:      s.entryRows(view, table),
	}
}

// entryRows returns the entries of a table with the states of their replicas and their shares.
func (s *Server) entryRows(view *balancer.View, table balancer.TableView) []entryRow {
	replicas := map[model.ReplicaID]*balancer.ReplicaView{}
	for i := range view.Replicas {
		replicas[view.Replicas[i].ID] = &view.Replicas[i]
	}
	var rows []entryRow
	totalWeight := 0.0
	for _, entry := range table.Entries {
		row := entryRow{
			Table:   int(table.ID),
			Zone:    s.zoneName(table.Zone),
			Replica: pubsubmsg.FormatAddress(entry.Replica),
			Weight:  entry.Weight,
		}
		if replica := replicas[entry.Replica]; replica != nil {
			row.State = replica.State
			row.Withdrawn = replica.Withdrawn
		}
		if !row.Withdrawn {
			totalWeight += entry.Weight
		}
		rows = append(rows, row)
	}
	for i := range rows {
		if totalWeight > 0 && !rows[i].Withdrawn {
			rows[i].Share = rows[i].Weight / totalWeight
		}
	}
	return rows
}
