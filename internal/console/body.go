package console

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"peppervale/internal/balancer"
	"peppervale/internal/cluster"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
)

// overview is the first page: is all well, and if not, where to look.
type overview struct {
	Gate      string         `json:"gate"`
	Waits     []string       `json:"gate_waits_for"`
	States    map[string]int `json:"replicas_by_state"`
	Ready     int            `json:"listed_ready"`
	Bound     int            `json:"forwarders_bound"`
	Joined    int            `json:"forwarders_joined"`
	List      string         `json:"list_age"`
	Stress    float64        `json:"stress"`
	Pace      float64        `json:"pace"`
	Levels    []level        `json:"levels"`
	Queue     int            `json:"queue_lines"`
	QueueMost int            `json:"queue_limit"`
	Unacked   int            `json:"unacknowledged_lines"`
	Worst     int64          `json:"worst_step_us"`
	Folds     uint64         `json:"sums_folded"`
	Sick      []replicaRow   `json:"not_serving"`
	Lately    []causeRow     `json:"lately"`
}

type level struct {
	Operation string  `json:"operation"`
	Share     float64 `json:"share"`
}

var ways = []string{"never", "when unrun", "after any failure", "twice after any failure"}

func (s *Server) overview(p *page, rest string, _ *http.Request) (any, error) {
	if rest != "" {
		return nil, errNone
	}
	m := p.View.Detail.Balancer
	o := overview{Gate: "shut", States: map[string]int{}, Ready: p.View.ReadyReplicas, Joined: len(m.Proxies), List: Ago(p.Now, p.View.EndpointsAt), Stress: m.Saturation, Pace: m.NormalizedLatency,
		Queue: p.Stats.Queue, QueueMost: s.about.QueueLimit, Unacked: m.UnackedEntries, Worst: int64(p.View.LongestStep), Folds: p.View.MergedReports}
	if m.SafeModeEnded {
		o.Gate = "open"
	} else {
		for _, id := range m.UnreportedReplicas[:min(len(m.UnreportedReplicas), 50)] {
			o.Waits = append(o.Waits, pubsubmsg.Address(id))
		}
	}
	for i, share := range m.Quotas {
		if i < len(s.about.Operations) {
			o.Levels = append(o.Levels, level{s.about.Operations[i], share})
		}
	}
	for _, x := range m.Proxies {
		if x.Table >= 0 {
			o.Bound++
		}
	}
	for i := range m.Replicas {
		r := &m.Replicas[i]
		if o.States[r.State]++; r.State != "serving" && r.State != "away" && len(o.Sick) < 50 {
			o.Sick = append(o.Sick, s.row(p, r))
		}
	}
	o.Lately = s.causeRows(p, s.from.Decisions(12, func(c *controller.Decision) bool { return len(c.Reasons) > 0 }))
	return o, nil
}

// replicaRow is a line of the list of replicas.
type replicaRow struct {
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Listed  string  `json:"listed"`
	State   string  `json:"state"`
	Out     bool    `json:"withdrawn"`
	OutAgo  string  `json:"withdrawn_at,omitempty"`
	Cold    bool    `json:"cold"`
	Part    float64 `json:"part"`
	Rate    float64 `json:"tries_a_second"`
	Errors  float64 `json:"errors"`
	Pace    float64 `json:"time_over_objective"`
	Busy    float64 `json:"busy"`
	Heard   string  `json:"heard"`
	Report  string  `json:"load_report"`
	Lines   int     `json:"lines"`
	Rests   int     `json:"rests"`
	Started string  `json:"started"`
}

var lives = map[model.EndpointStatus]string{model.EndpointReady: "ready", model.EndpointDraining: "draining", model.EndpointGone: "gone"}

func (s *Server) row(p *page, r *balancer.ReplicaView) replicaRow {
	row := replicaRow{Address: pubsubmsg.Address(r.ID), Zone: s.zone(r.Zone), Listed: "not listed", State: r.State, Out: r.Withdrawn, Cold: r.WarmingUp, Part: r.SlowStartFactor, Rate: r.RequestRate,
		Errors: r.ErrorRate, Pace: r.NormalizedLatency, Busy: r.Utilization, Heard: Ago(p.Now, r.ReportedAt), Report: Ago(p.Now, r.UtilizationAt), Lines: r.Entries, Rests: r.Ejections, Started: "long ago"}
	if l, listed := p.View.Detail.Endpoints[r.ID]; listed {
		row.Listed = lives[l.Status]
	}
	if r.Withdrawn {
		row.OutAgo = Ago(p.Now, r.WithdrawnAt)
	}
	if r.StartedAt > 0 {
		row.Started = Ago(p.Now, r.StartedAt)
	}
	return row
}

// replicaPage is one replica: what is believed, its lines, and what was done about it.
type replicaPage struct {
	replicaRow
	Tables []lineRow  `json:"tables"`
	Causes []causeRow `json:"causes"`
}

type lineRow struct {
	Table   int     `json:"table"`
	Zone    string  `json:"zone"`
	Replica string  `json:"replica"`
	Weight  float64 `json:"weight"`
	Share   float64 `json:"share"` // of the table's open lines
	State   string  `json:"state"`
	Out     bool    `json:"withdrawn"`
}

func (s *Server) replicas(p *page, rest string, _ *http.Request) (any, error) {
	m := p.View.Detail.Balancer
	if rest == "" {
		var rows []replicaRow
		for i := range m.Replicas {
			rows = append(rows, s.row(p, &m.Replicas[i]))
		}
		slices.SortFunc(rows, func(a, b replicaRow) int {
			return cmp.Or(strings.Compare(a.Zone, b.Zone), strings.Compare(a.Address, b.Address))
		})
		return rows[:min(len(rows), rowsMost)], nil
	}
	for i := range m.Replicas {
		if r := &m.Replicas[i]; pubsubmsg.Address(r.ID) == rest {
			p.Title, p.Kind = "Replica "+rest, "replica"
			one := replicaPage{replicaRow: s.row(p, r)}
			for _, t := range m.Tables {
				for _, l := range s.lines(m, t) {
					if l.Replica == rest {
						one.Tables = append(one.Tables, l)
					}
				}
			}
			one.Causes = s.causeRows(p, s.from.Decisions(50, func(c *controller.Decision) bool {
				return c.Mentions(rest) || c.Mentions(fmt.Sprintf("%v:%d", r.ID.Addr, r.ID.Port))
			}))
			return one, nil
		}
	}
	return nil, fmt.Errorf("replica %.60q: %w in this life", rest, errNone)
}

func (s *Server) lines(m *balancer.View, t balancer.TableView) (rows []lineRow) {
	states := map[model.ReplicaID]*balancer.ReplicaView{}
	for i := range m.Replicas {
		states[m.Replicas[i].ID] = &m.Replicas[i]
	}
	sum := 0.0
	for _, l := range t.Entries {
		row := lineRow{Table: int(t.ID), Zone: s.zone(t.Zone), Replica: pubsubmsg.Address(l.Replica), Weight: l.Weight}
		if r := states[l.Replica]; r != nil {
			row.State, row.Out = r.State, r.Withdrawn
		}
		if !row.Out {
			sum += l.Weight
		}
		rows = append(rows, row)
	}
	for i := range rows {
		if sum > 0 && !rows[i].Out {
			rows[i].Share = rows[i].Weight / sum
		}
	}
	return rows
}

// forwarderRow is a joined forwarder.
type forwarderRow struct {
	Name    string  `json:"name"`
	Number  int     `json:"number"`
	Zone    string  `json:"zone"`
	Table   int     `json:"table"` // -1: its own
	Rate    float64 `json:"usual_rate"`
	Joined  string  `json:"joined"`
	Unacked int     `json:"unacknowledged_messages"`
	Oldest  string  `json:"oldest_unacknowledged,omitempty"`
}

type forwarderPage struct {
	forwarderRow
	Lines  []lineRow  `json:"lines"`
	Causes []causeRow `json:"causes"`
}

func (s *Server) forwarders(p *page, rest string, _ *http.Request) (any, error) {
	look := p.View.Detail
	var rows []forwarderRow
	for _, x := range look.Balancer.Proxies {
		f := look.Proxies[x.ID]
		row := forwarderRow{Name: f.Name, Number: int(x.ID), Zone: s.zone(x.Zone), Table: x.Table, Rate: x.ExpectedRate, Joined: Ago(p.Now, f.ConnectedAt), Unacked: x.UnackedMessages}
		if x.UnackedMessages > 0 {
			row.Oldest = Ago(p.Now, x.OldestUnackedAt)
		}
		if rest == "" {
			rows = append(rows, row)
			continue
		}
		if f.Name != rest {
			continue
		}
		p.Title, p.Kind = "Forwarder "+rest, "forwarder"
		one := forwarderPage{forwarderRow: row}
		about := []string{fmt.Sprintf("forwarder %d on", x.ID), "joined " + rest, "left " + rest}
		for _, t := range look.Balancer.Tables {
			if int(t.ID) == x.Table {
				one.Lines = s.lines(look.Balancer, t)
				about = append(about, fmt.Sprintf("table %d:", t.ID))
			}
		}
		one.Causes = s.causeRows(p, s.from.Decisions(50, func(c *controller.Decision) bool { return slices.ContainsFunc(about, c.Mentions) }))
		return one, nil
	}
	if rest != "" {
		return nil, fmt.Errorf("forwarder %.60q: %w joined here now", rest, errNone)
	}
	slices.SortFunc(rows, func(a, b forwarderRow) int { return strings.Compare(a.Name, b.Name) })
	return rows[:min(len(rows), rowsMost)], nil
}

// tableRow is a table with its lines.
type tableRow struct {
	Table int       `json:"table"`
	Zone  string    `json:"zone"`
	Users int       `json:"forwarders"`
	Rate  float64   `json:"usual_rate"`
	Lines []lineRow `json:"lines"`
}

func (s *Server) tables(p *page, rest string, _ *http.Request) (any, error) {
	m := p.View.Detail.Balancer
	var rows []tableRow
	for _, t := range m.Tables {
		if rest == "" || rest == strconv.Itoa(int(t.ID)) {
			rows = append(rows, tableRow{int(t.ID), s.zone(t.Zone), t.Proxies, t.ExpectedRate, s.lines(m, t)})
		}
	}
	if rest != "" && len(rows) == 0 {
		return nil, fmt.Errorf("table %.20q: %w", rest, errNone)
	}
	return rows[:min(len(rows), rowsMost)], nil
}

// zoneRow is a hall: who is where, and where its tables send.
type zoneRow struct {
	Zone       string             `json:"zone"`
	Forwarders int                `json:"forwarders"`
	Rate       float64            `json:"usual_rate"`
	Replicas   map[string]int     `json:"replicas_by_state"`
	SendsTo    map[string]float64 `json:"weight_share_by_zone"` // by ordered weights and usual rates
}

func (s *Server) zones(p *page, rest string, _ *http.Request) (any, error) {
	if rest != "" {
		return nil, errNone
	}
	m := p.View.Detail.Balancer
	rows := make([]zoneRow, len(s.about.Zones))
	for i, name := range s.about.Zones {
		rows[i] = zoneRow{Zone: name, Replicas: map[string]int{}, SendsTo: map[string]float64{}}
	}
	home := map[string]string{}
	for _, r := range m.Replicas {
		home[pubsubmsg.Address(r.ID)] = s.zone(r.Zone)
		if r.Zone < len(rows) {
			rows[r.Zone].Replicas[r.State]++
		}
	}
	for _, x := range m.Proxies {
		if x.Zone < len(rows) {
			rows[x.Zone].Forwarders++
			rows[x.Zone].Rate += x.ExpectedRate
		}
	}
	bound := make([]float64, len(rows))
	for _, t := range m.Tables {
		if t.Zone >= len(rows) {
			continue
		}
		bound[t.Zone] += t.ExpectedRate
		for _, l := range s.lines(m, t) {
			rows[t.Zone].SendsTo[home[l.Replica]] += l.Share * t.ExpectedRate
		}
	}
	for i := range rows {
		for to := range rows[i].SendsTo {
			if bound[i] > 0 {
				rows[i].SendsTo[to] /= bound[i]
			}
		}
	}
	return rows, nil
}

// causeRow is a step with its orders and why.
type causeRow struct {
	Number uint64   `json:"number"`
	Life   uint64   `json:"life,omitempty"` // an earlier one
	Ago    string   `json:"at"`
	Came   []string `json:"came"`
	Said   []string `json:"said"`
	Orders []string `json:"orders"`
	Cut    int      `json:"orders_left_out,omitempty"`
}

func (s *Server) causeRows(p *page, all []controller.Decision) []causeRow {
	rows := make([]causeRow, 0, len(all))
	for _, c := range all {
		rows = append(rows, causeRow{c.Number, c.Incarnation, Ago(p.Now, c.At), c.Inputs, c.Reasons, c.Updates, c.OmittedUpdates})
	}
	return rows
}

// ordersPage is the journal of causes, narrowed by ?about=.
type ordersPage struct {
	About  string     `json:"about"`
	Causes []causeRow `json:"causes"`
}

func (s *Server) orders(p *page, rest string, r *http.Request) (any, error) {
	if rest != "" {
		return nil, errNone
	}
	about := r.URL.Query().Get("about")
	if len(about) > 200 {
		about = about[:200]
	}
	return ordersPage{about, s.causeRows(p, s.from.Decisions(200, func(c *controller.Decision) bool { return about == "" || c.Mentions(about) }))}, nil
}

func (s *Server) settings(_ *page, rest string, _ *http.Request) (any, error) {
	if rest != "" {
		return nil, errNone
	}
	return s.about.Settings(), nil
}

// beforePage is what the life before left standing: forwarders that have not been bound since work on it.
type beforePage struct {
	Known      bool           `json:"known"`
	Life       uint64         `json:"life"`
	Version    uint64         `json:"version"`
	Withdrawn  []string       `json:"withdrawn"`
	Forwarders map[string]int `json:"forwarders_by_table"`
	Tables     []beforeTable  `json:"tables"`
}

type beforeTable struct {
	Table string           `json:"table"`
	Lines []pubsub.LineOut `json:"lines"`
}

func (s *Server) before(_ *page, rest string, _ *http.Request) (any, error) {
	if rest != "" {
		return nil, errNone
	}
	var was pubsub.Snapshot
	if s.about.PreviousSnapshot == nil || json.Unmarshal(s.about.PreviousSnapshot, &was) != nil {
		return beforePage{}, nil
	}
	b := beforePage{Known: true, Life: was.Life, Version: was.Version, Withdrawn: was.Withdrawn, Forwarders: map[string]int{}}
	for _, table := range was.Forwarders {
		b.Forwarders[table]++
	}
	for name, lines := range was.Tables {
		b.Tables = append(b.Tables, beforeTable{name, lines})
	}
	slices.SortFunc(b.Tables, func(a, c beforeTable) int {
		return cmp.Or(cmp.Compare(len(a.Table), len(c.Table)), strings.Compare(a.Table, c.Table))
	})
	return b, nil
}

// groupPage is who holds which part, by what this member knows.
type groupPage struct {
	Alone bool `json:"alone,omitempty"`
	cluster.Status
}

func (s *Server) group(_ *page, rest string, _ *http.Request) (any, error) {
	if rest != "" {
		return nil, errNone
	}
	if s.about.Cluster == nil {
		return groupPage{Alone: true}, nil
	}
	g := groupPage{Status: s.about.Cluster()}
	g.Takeovers = slices.Clone(g.Takeovers)
	slices.Reverse(g.Takeovers) // the newest first
	return g, nil
}
