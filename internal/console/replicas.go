package console

import (
	"cmp"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"peppervale/internal/balancer"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/controller"
	"peppervale/internal/model"
)

// replicaRow is a row of the list of replicas.
type replicaRow struct {
	Address           string  `json:"address"`
	Zone              string  `json:"zone"`
	ListedStatus      string  `json:"listed"`
	State             string  `json:"state"`
	Withdrawn         bool    `json:"withdrawn"`
	WithdrawnAge      string  `json:"withdrawn_at,omitempty"`
	WarmingUp         bool    `json:"cold"`
	SlowStartFactor   float64 `json:"part"`
	AttemptRate       float64 `json:"tries_a_second"`
	ErrorRate         float64 `json:"errors"`
	NormalizedLatency float64 `json:"time_over_objective"`
	Utilization       float64 `json:"busy"`
	ReportAge         string  `json:"heard"`
	UtilizationAge    string  `json:"load_report"`
	EntryCount        int     `json:"lines"`
	Ejections         int     `json:"rests"`
	StartAge          string  `json:"started"`
}

// replicaBody is one replica: its state, the table entries that name it, and the decisions about it.
type replicaBody struct {
	replicaRow
	TableEntries []entryRow    `json:"tables"`
	Decisions    []decisionRow `json:"causes"`
}

// statusNames are the JSON values of a replica's status in the endpoint list.
var statusNames = map[model.EndpointStatus]string{
	model.EndpointReady:    "ready",
	model.EndpointDraining: "draining",
	model.EndpointGone:     "gone",
}

func (s *Server) replicaRow(page *pageModel, replica *balancer.ReplicaView) replicaRow {
	row := replicaRow{
		Address:           pubsubmsg.FormatAddress(replica.ID),
		Zone:              s.zoneName(replica.Zone),
		ListedStatus:      "not listed",
		State:             replica.State,
		Withdrawn:         replica.Withdrawn,
		WarmingUp:         replica.WarmingUp,
		SlowStartFactor:   replica.SlowStartFactor,
		AttemptRate:       replica.AttemptRate,
		ErrorRate:         replica.ErrorRate,
		NormalizedLatency: replica.NormalizedLatency,
		Utilization:       replica.Utilization,
		ReportAge:         FormatAge(page.Now, replica.ReportedAt),
		UtilizationAge:    FormatAge(page.Now, replica.UtilizationAt),
		EntryCount:        replica.Entries,
		Ejections:         replica.Ejections,
		StartAge:          "long ago",
	}
	if endpoint, listed := page.View.Detail.Endpoints[replica.ID]; listed {
		row.ListedStatus = statusNames[endpoint.Status]
	}
	if replica.Withdrawn {
		row.WithdrawnAge = FormatAge(page.Now, replica.WithdrawnAt)
	}
	if replica.StartedAt > 0 {
		row.StartAge = FormatAge(page.Now, replica.StartedAt)
	}
	return row
}

func (s *Server) replicasPage(page *pageModel, _ url.Values) any {
	view := page.View.Detail.Balancer
	var rows []replicaRow
	for i := range view.Replicas {
		rows = append(rows, s.replicaRow(page, &view.Replicas[i]))
	}
	slices.SortFunc(rows, func(a, b replicaRow) int {
		return cmp.Or(strings.Compare(a.Zone, b.Zone), strings.Compare(a.Address, b.Address))
	})
	return rows[:min(len(rows), maxRows)]
}

func (s *Server) replicaPage(page *pageModel, address string) (any, error) {
	view := page.View.Detail.Balancer
	index := slices.IndexFunc(view.Replicas, func(replica balancer.ReplicaView) bool {
		return pubsubmsg.FormatAddress(replica.ID) == address
	})
	if index < 0 {
		return nil, fmt.Errorf("replica %.60q: %w in this incarnation", address, errNotFound)
	}
	replica := &view.Replicas[index]
	page.Title = "Replica " + address
	page.Heading = page.Title
	page.Template = "replica"
	body := replicaBody{replicaRow: s.replicaRow(page, replica)}
	for _, table := range view.Tables {
		for _, entry := range s.entryRows(view, table) {
			if entry.Replica == address {
				body.TableEntries = append(body.TableEntries, entry)
			}
		}
	}
	// Reasons contain the replica's ID with the address as a byte array: "[10 0 0 1]:81" in place of "10.0.0.1:81".
	id := fmt.Sprintf("%v:%d", replica.ID.Addr, replica.ID.Port)
	mentionsReplica := func(decision *controller.Decision) bool {
		return decision.Mentions(address) || decision.Mentions(id)
	}
	body.Decisions = decisionRows(page.Now, s.source.Decisions(maxDetailDecisions, mentionsReplica))
	return body, nil
}
