package console

import (
	"cmp"
	"encoding/json"
	"net/url"
	"slices"
	"strings"

	"peppervale/internal/pubsub"
)

// previousBody is what the previous incarnation published last. Proxies that have not been bound since still use it.
type previousBody struct {
	Known          bool            `json:"known"`
	Incarnation    uint64          `json:"life"`
	Version        uint64          `json:"version"`
	Withdrawn      []string        `json:"withdrawn"`
	ProxiesByTable map[string]int  `json:"forwarders_by_table"` // by an empty name: on tables of their own
	Tables         []previousTable `json:"tables"`
}

type previousTable struct {
	Table   string              `json:"table"`
	Entries []pubsub.TableEntry `json:"lines"`
}

func (s *Server) previousPage(*pageModel, url.Values) any {
	if s.instance.PreviousSnapshot == nil {
		return previousBody{}
	}
	var snapshot pubsub.Snapshot
	if err := json.Unmarshal(s.instance.PreviousSnapshot, &snapshot); err != nil {
		return previousBody{} // it is shown as unknown
	}
	body := previousBody{
		Known:          true,
		Incarnation:    snapshot.Incarnation,
		Version:        snapshot.Version,
		Withdrawn:      snapshot.Withdrawn,
		ProxiesByTable: map[string]int{},
	}
	for _, table := range snapshot.Proxies {
		body.ProxiesByTable[table]++
	}
	for name, entries := range snapshot.Tables {
		body.Tables = append(body.Tables, previousTable{Table: name, Entries: entries})
	}
	slices.SortFunc(body.Tables, compareTableNumbers)
	return body
}

// compareTableNumbers orders tables by their numbers, which are given as text.
func compareTableNumbers(a, b previousTable) int {
	return cmp.Or(cmp.Compare(len(a.Table), len(b.Table)), strings.Compare(a.Table, b.Table))
}
