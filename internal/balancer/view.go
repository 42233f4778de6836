package balancer

import (
	"slices"

	"peppervale/internal/model"
)

// View is a copy of a balancer's state. It is never modified, so any goroutine may read it.
type View struct {
	SafeModeEnded      bool
	UnreportedReplicas []model.ReplicaID // listed as ready, and not yet named in a load report
	Saturation         float64           // how short of capacity the fleet is; above 0.5 load is shed
	NormalizedLatency  float64           // mean latency of good attempts over the objective, median replica
	WarmingFraction    float64           // share of the replicas in use that are new and warming up
	UnackedEntries     int               // entries sent and not yet acknowledged
	QueueRefusals      int               // updates delayed by the queue limit since the start; each try counts
	MessageRefusals    int               // updates delayed by the message limit since the start; each try counts
	Quotas             []float64         // admitted share, by operation
	RetryPolicy        model.RetryPolicy
	Replicas           []ReplicaView
	Tables             []TableView
	Proxies            []ProxyView // in the order in which they connected
}

// ReplicaView is the state of a replica. A time of 0 means never.
type ReplicaView struct {
	ID                model.ReplicaID
	Zone              int
	State             string // away (absent), draining, easing (warming), serving or resting (ejected)
	Withdrawn         bool   // its withdrawal was sent, and no readmission since
	WarmingUp         bool   // it started within the warm-up period
	WithdrawnAt       model.Microseconds
	ReportedAt        model.Microseconds
	UtilizationAt     model.Microseconds
	StartedAt         model.Microseconds
	SlowStartAt       model.Microseconds
	Utilization       float64 // share of the cores in use
	NormalizedLatency float64 // mean latency of good attempts over the objective
	SlowStartFactor   float64 // fraction of its full weight that it may have now
	AttemptRate       float64 // attempts a second, over about ten report periods
	ErrorRate         float64 // share of attempts that failed, over about ten report periods
	Entries           int     // number of its entries in tables
	Ejections         int     // number in a row
}

// TableView is the state of a shared table.
type TableView struct {
	ID           model.TableID
	Zone         int
	ExpectedRate float64 // sum over its proxies, in requests a second
	Proxies      int     // number of proxies that use the table
	Entries      []EntryView
}

// EntryView is an entry of a table as it was last sent.
type EntryView struct {
	Replica model.ReplicaID
	Weight  float64
}

// noTable is the table number of a proxy that uses a standing table.
const noTable = -1

// ProxyView is the state of a connected proxy.
type ProxyView struct {
	ID              model.ProxyID
	Zone            int
	ExpectedRate    float64            // requests a second
	Table           int                // its first table; -1 while it uses a standing table
	UnackedMessages int                // messages sent and not yet acknowledged
	OldestUnackedAt model.Microseconds // when the oldest unacknowledged message was sent; 0 if there is none
}

// stateNames are the values of ReplicaView.State. The console serves them as JSON, so they must not change.
var stateNames = map[replicaState]string{
	absent:   "away",
	draining: "draining",
	warming:  "easing",
	serving:  "serving",
	ejected:  "resting",
}

// View returns a copy of the present state. It takes time linear in the size of the fleet.
func (b *Balancer) View() *View {
	view := &View{
		SafeModeEnded:     !b.safeMode.active(),
		Saturation:        b.load.saturation,
		NormalizedLatency: b.load.normalizedLatency,
		WarmingFraction:   b.load.warmingFraction,
		UnackedEntries:    b.window.unackedEntries,
		QueueRefusals:     b.window.queueRefusals,
		MessageRefusals:   b.window.messageRefusals,
		Quotas:            slices.Clone(b.shedder.quotas),
		RetryPolicy:       b.shedder.retryPolicy,
		Replicas:          make([]ReplicaView, 0, len(b.replicas)),
		Tables:            make([]TableView, 0, len(b.subsets.tables)),
		Proxies:           make([]ProxyView, 0, len(b.proxies)),
	}
	for _, r := range b.replicas {
		if r.listedReady() && !r.load.reported {
			view.UnreportedReplicas = append(view.UnreportedReplicas, r.id)
		}
		view.Replicas = append(view.Replicas, b.viewReplica(r))
	}
	for _, t := range b.subsets.tables {
		view.Tables = append(view.Tables, t.view())
	}
	for _, p := range b.proxies {
		view.Proxies = append(view.Proxies, p.view())
	}
	return view
}

func (b *Balancer) viewReplica(source *replica) ReplicaView {
	return ReplicaView{
		ID:                source.id,
		Zone:              source.zone,
		State:             stateNames[source.state],
		Withdrawn:         source.withdrawn,
		WarmingUp:         b.isWarmingUp(source),
		WithdrawnAt:       source.withdrawnAt,
		ReportedAt:        source.load.reportedAt,
		UtilizationAt:     source.load.utilizationAt,
		StartedAt:         source.startedAt,
		SlowStartAt:       source.slowStartAt,
		Utilization:       source.load.utilization,
		NormalizedLatency: source.load.normalizedLatency,
		SlowStartFactor:   b.slowStartFactor(source),
		AttemptRate:       source.load.recent.rate() * float64(model.Second),
		ErrorRate:         source.load.recent.errorRate(),
		Entries:           len(source.entries),
		Ejections:         source.ejections,
	}
}

func (t *table) view() TableView {
	view := TableView{ID: t.id, Zone: t.zone, ExpectedRate: t.expectedRate, Proxies: len(t.users)}
	for _, e := range t.entries {
		view.Entries = append(view.Entries, EntryView{Replica: e.replica.id, Weight: e.weight})
	}
	return view
}

func (p *proxy) view() ProxyView {
	view := ProxyView{
		ID: p.id, Zone: p.zone, ExpectedRate: p.expectedRate, Table: noTable, UnackedMessages: len(p.unacked),
	}
	if len(p.tables) > 0 {
		view.Table = int(p.tables[0].id)
	}
	if len(p.unacked) > 0 {
		view.OldestUnackedAt = p.unacked[0].at
	}
	return view
}
