package console

import (
	"cmp"
	"encoding/json"
	"net/url"
	"slices"
	"strings"

	"peppervale/internal/pubsub"
)

// previousBody is the last snapshot that the previous incarnation published. Proxies that have not been bound since
// then still use its tables.
type previousBody struct {
	Known             bool            `json:"known"`
	Incarnation       uint64          `json:"life"`
	Version           uint64          `json:"version"`
	WithdrawnReplicas []string        `json:"withdrawn"`
	ProxiesByTable    map[string]int  `json:"forwarders_by_table"` // by table name; empty: not bound
	Tables            []previousTable `json:"tables"`
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
		return previousBody{} // the previous incarnation is shown as unknown
	}
	body := previousBody{
		Known:             true,
		Incarnation:       snapshot.Incarnation,
		Version:           snapshot.Version,
		WithdrawnReplicas: snapshot.Withdrawn,
		ProxiesByTable:    map[string]int{},
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

// compareTableNumbers orders tables by number. The numbers are decimal text.
func compareTableNumbers(a, b previousTable) int {
	return cmp.Or(cmp.Compare(len(a.Table), len(b.Table)), strings.Compare(a.Table, b.Table))
}
