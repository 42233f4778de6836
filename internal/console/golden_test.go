package console

import (
	"bytes"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"peppervale/internal/balancer"
	"peppervale/internal/cluster"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
)

var update = flag.Bool("update", false, "write the golden pages in testdata anew")

// still is a source that always tells the same.
type still struct{ view *controller.View }

func (s still) View() *controller.View         { return s.view }
func (s still) DetailedView() *controller.View { return s.view }

func (s still) Stats() pubsub.Stats {
	return pubsub.Stats{Forwarders: 1, Observers: 2, Connections: 3, Version: 4, Queue: 5, QueueMost: 6, Messages: 7, Lines: 8, Bytes: 9, Folds: 10,
		Resyncs: 11, Faults: 12, Replaced: 13, Deferred: 14, Shed: 15, Storms: 16, Unsent: 17, PutOff: 18, Moved: 19, Fenced: 20}
}

func (s still) Decisions(most int, match func(*controller.Decision) bool) (found []controller.Decision) {
	for _, cause := range []controller.Decision{
		{At: 97 * model.Second, Number: 3, Incarnation: 21, Inputs: []string{"timer"}, Reasons: []string{"withdrew 10.0.0.1:81"}, Updates: []string{"table 6: 10.0.0.1:81 weighs 0.5"}, OmittedUpdates: 22},
		{At: 96 * model.Second, Number: 2, Incarnation: 20, Inputs: []string{"joined till-1"}, Reasons: []string{"gate open"}, Updates: []string{"forwarder 7 on table 6"}, OmittedUpdates: 23},
	} {
		if match(&cause) && len(found) < most {
			found = append(found, cause)
		}
	}
	return found
}

// stillView is a view with every field set.
func stillView(open bool) *controller.View {
	one, two := model.ReplicaID{Addr: [4]byte{10, 0, 0, 1}, Port: 81}, model.ReplicaID{Addr: [4]byte{10, 0, 0, 2}, Port: 82}
	module := &balancer.View{SafeModeEnded: open, UnreportedReplicas: []model.ReplicaID{two}, Saturation: 0.31, NormalizedLatency: 0.32, WarmingFraction: 0.33, UnackedEntries: 34, Quotas: []float64{0.35, 0.36}, RetryPolicy: model.RetryOnAnyFailure,
		Replicas: []balancer.ReplicaView{
			{ID: one, Zone: 1, State: "resting", Withdrawn: true, WarmingUp: true, WithdrawnAt: 91 * model.Second, ReportedAt: 92 * model.Second, UtilizationAt: 93 * model.Second, StartedAt: 94 * model.Second,
				SlowStartAt: 95 * model.Second, Utilization: 0.41, NormalizedLatency: 0.42, SlowStartFactor: 0.43, RequestRate: 44, ErrorRate: 0.45, Entries: 46, Ejections: 47},
			{ID: two, Zone: 0, State: "serving", ReportedAt: 98 * model.Second, UtilizationAt: 99 * model.Second, Utilization: 0.51, NormalizedLatency: 0.52, SlowStartFactor: 0.53, RequestRate: 54, ErrorRate: 0.55, Entries: 56, Ejections: 57},
		},
		Tables:  []balancer.TableView{{ID: 6, Zone: 1, ExpectedRate: 61, Proxies: 62, Entries: []balancer.EntryView{{Replica: one, Weight: 0.63}, {Replica: two, Weight: 0.64}}}},
		Proxies: []balancer.ProxyView{{ID: 7, Zone: 1, ExpectedRate: 71, Table: 6, UnackedMessages: 72, OldestUnackedAt: 90 * model.Second}},
	}
	look := &controller.Detail{At: 99_500_000, Balancer: module,
		Proxies: map[model.ProxyID]controller.Proxy{7: {Name: "till-1", Zone: 1, ExpectedRate: 73, OnStandingTable: true, ConnectedAt: 89 * model.Second}},
		Endpoints: map[model.ReplicaID]model.Endpoint{one: {ID: one, Zone: 1, Status: model.EndpointReady, StartedAt: 94 * model.Second},
			two: {ID: two, Zone: 0, Status: model.EndpointDraining, StartedAt: 88 * model.Second}}}
	return &controller.View{At: 99_600_000, SafeModeEnded: open, ConnectedProxies: 81, ReadyReplicas: 82, ListedReplicas: 83, EndpointsAt: 87 * model.Second, Steps: 84, LongestStep: 85, PendingReports: 86, MergedReports: 87, Detail: look}
}

// stillStatus is a group's status with every field set.
func stillStatus() cluster.Status {
	return cluster.Status{Member: "govan-1", Leader: "partick-1", Term: 4, AppliedIndex: 5, Fault: "no majority", LeaseDuration: 2_000_000, MaxClockDrift: 30_000,
		Members: []cluster.MemberStatus{{Name: "govan-1", Zone: "govan", Channel: "127.0.0.1:7701", Capacity: 100.5, Voter: true, SeemsAlive: true, Draining: true, Removed: true, Incarnation: 6, Shards: 7, Load: 8.5}},
		Shards: []cluster.ShardStatus{{Number: 9, Zone: "govan", Holder: "govan-1", Target: "partick-1", Pinned: true, Epoch: 10, Load: 11.5, HeldHere: true, LeaseRemaining: 1_200_000,
			WaitReason: "waits for partick-1"}},
		Takeovers: []cluster.Event{{At: 13, Leader: "partick-1", Shard: 9, Epoch: 10, From: "partick-1", To: "govan-1", Planned: true, Reason: "its member leaves"},
			{At: 14, Leader: "govan-1", Shard: 15, Epoch: 16, From: "govan-1", To: "partick-1", Planned: true, Reason: "evener"}}}
}

// publishedBefore is the state that the life before published, as it is stored.
const publishedBefore = `{"kind":"snapshot","life":24,"version":25,"tables":{"6":[{"replica":"10.0.0.1:81","weight":0.26}]},"withdrawn":["10.0.0.2:82"],` +
	`"levels":[{"operations":3,"share":0.27,"way":2}],"forwarders":{"till-1":"6","till-2":""}}`

// TestPagesAsJSON compares each page's JSON with the bytes that programs read today: its keys must not change.
func TestPagesAsJSON(t *testing.T) {
	about := Instance{Name: "govan-1", Incarnation: 26, Zones: []string{"govan", "partick"}, Operations: []string{"recipe-read", "recipe-write"}, QueueLimit: 100,
		Now: func() model.Microseconds { return 100 * model.Second }, Settings: func() [][2]string { return [][2]string{{"listen", "127.0.0.1:7700"}} },
		PreviousSnapshot: []byte(publishedBefore), Cluster: stillStatus}
	open, shut := &Server{about: about, from: still{stillView(true)}}, &Server{about: about, from: still{stillView(false)}}
	about.Cluster, about.PreviousSnapshot = nil, nil
	alone := &Server{about: about, from: still{stillView(true)}}
	for _, c := range []struct {
		file   string
		server *Server
		path   string
	}{
		{"overview.json", shut, "/"},
		{"overview_open.json", open, "/"},
		{"zones.json", open, "/zones"},
		{"replicas.json", open, "/replicas"},
		{"replica.json", open, "/replicas/10.0.0.1:81"},
		{"forwarders.json", open, "/forwarders"},
		{"forwarder.json", open, "/forwarders/till-1"},
		{"tables.json", open, "/tables"},
		{"table.json", open, "/tables/6"},
		{"orders.json", open, "/orders"},
		{"orders_about.json", open, "/orders?about=gate"},
		{"settings.json", open, "/settings"},
		{"before.json", open, "/before"},
		{"before_unknown.json", alone, "/before"},
		{"group.json", open, "/group"},
		{"group_alone.json", alone, "/group"},
	} {
		t.Run(c.file, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodGet, c.path, nil)
			request.Header.Set("Accept", "application/json")
			answer := httptest.NewRecorder()
			c.server.serve(answer, request)
			if answer.Code != http.StatusOK || answer.Header().Get("Content-Type") != "application/json" {
				t.Fatalf("%s: %d %s", c.path, answer.Code, answer.Body)
			}
			checkGolden(t, filepath.Join("testdata", c.file), answer.Body.Bytes())
		})
	}
}

func checkGolden(t *testing.T, file string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
}
