package console

import (
	"bytes"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"peppervale/internal/balancer"
	"peppervale/internal/cluster"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
)

var update = flag.Bool("update", false, "rewrite the golden pages in testdata")

// fixedSource is a Source that never changes. All its values differ, so that a golden page shows which field each value
// comes from.
type fixedSource struct{ view *controller.View }

func (s fixedSource) View() *controller.View         { return s.view }
func (s fixedSource) DetailedView() *controller.View { return s.view }

func (s fixedSource) Stats() pubsub.Stats {
	return pubsub.Stats{
		Proxies: 1, Observers: 2, Connections: 3, Version: 4, QueuedEntries: 5, MaxQueuedEntries: 6, Messages: 7, Entries: 8,
		Bytes: 9, SnapshotFolds: 10, Resyncs: 11, ProtocolErrors: 12, Replaced: 13, JoinsDeferred: 14,
		JoinsRejected: 15, JoinStorms: 16, UnsentBytes: 17,
		RateLimited: 18, Redirected: 19, Fenced: 20,
	}
}

func (s fixedSource) Decisions(limit int, match func(*controller.Decision) bool) []controller.Decision {
	decisions := []controller.Decision{
		{
			At: 97 * model.Second, Number: 3, Incarnation: 21, Inputs: []string{"timer"},
			Reasons: []string{"withdrew 10.0.0.1:81"}, Updates: []string{"table 6: 10.0.0.1:81 weighs 0.5"},
			OmittedUpdates: 22,
		},
		{
			At: 96 * model.Second, Number: 2, Incarnation: 20, Inputs: []string{"joined till-1"},
			Reasons: []string{"gate open"}, Updates: []string{"forwarder 7 on table 6"},
			OmittedUpdates: 23,
		},
	}
	var matches []controller.Decision
	for _, decision := range decisions {
		if match(&decision) && len(matches) < limit {
			matches = append(matches, decision)
		}
	}
	return matches
}

var (
	firstReplica  = model.ReplicaID{Addr: [4]byte{10, 0, 0, 1}, Port: 81}
	secondReplica = model.ReplicaID{Addr: [4]byte{10, 0, 0, 2}, Port: 82}
)

// fixedView returns a view with every field set.
func fixedView(safeModeEnded bool) *controller.View {
	detail := &controller.Detail{
		At:       99_500_000,
		Balancer: fixedBalancerView(safeModeEnded),
		Proxies: map[model.ProxyID]controller.Proxy{
			7: {Name: "till-1", Zone: 1, ExpectedRate: 73, OnStandingTable: true, ConnectedAt: 89 * model.Second},
		},
		Endpoints: map[model.ReplicaID]model.Endpoint{
			firstReplica: {
				ID: firstReplica, Zone: 1, Status: model.EndpointReady, StartedAt: 94 * model.Second,
			},
			secondReplica: {
				ID: secondReplica, Zone: 0, Status: model.EndpointDraining, StartedAt: 88 * model.Second,
			},
		},
	}
	return &controller.View{
		At: 99_600_000, SafeModeEnded: safeModeEnded, ConnectedProxies: 81, ReadyReplicas: 82, ListedReplicas: 83,
		EndpointsAt: 87 * model.Second, Steps: 84, LongestStep: 85, PendingReports: 86, MergedReports: 87,
		Detail: detail,
	}
}

func fixedBalancerView(safeModeEnded bool) *balancer.View {
	return &balancer.View{
		SafeModeEnded: safeModeEnded, UnreportedReplicas: []model.ReplicaID{secondReplica}, Saturation: 0.31,
		NormalizedLatency: 0.32, WarmingFraction: 0.33, UnackedEntries: 34, Quotas: []float64{0.35, 0.36},
		RetryPolicy: model.RetryOnAnyFailure,
		Replicas: []balancer.ReplicaView{
			{
				ID: firstReplica, Zone: 1, State: "resting", Withdrawn: true, WarmingUp: true,
				WithdrawnAt: 91 * model.Second, ReportedAt: 92 * model.Second, UtilizationAt: 93 * model.Second,
				StartedAt: 94 * model.Second, SlowStartAt: 95 * model.Second, Utilization: 0.41,
				NormalizedLatency: 0.42, SlowStartFactor: 0.43, AttemptRate: 44, ErrorRate: 0.45, Entries: 46,
				Ejections: 47,
			},
			{
				ID: secondReplica, Zone: 0, State: "serving", ReportedAt: 98 * model.Second,
				UtilizationAt: 99 * model.Second, Utilization: 0.51, NormalizedLatency: 0.52, SlowStartFactor: 0.53,
				AttemptRate: 54, ErrorRate: 0.55, Entries: 56, Ejections: 57,
			},
		},
		Tables: []balancer.TableView{{
			ID: 6, Zone: 1, ExpectedRate: 61, Proxies: 62,
			Entries: []balancer.EntryView{
				{Replica: firstReplica, Weight: 0.63},
				{Replica: secondReplica, Weight: 0.64},
			},
		}},
		Proxies: []balancer.ProxyView{{
			ID: 7, Zone: 1, ExpectedRate: 71, Table: 6, UnackedMessages: 72, OldestUnackedAt: 90 * model.Second,
		}},
	}
}

// fixedClusterStatus returns a status with every field set.
func fixedClusterStatus() cluster.Status {
	return cluster.Status{
		Member: "govan-1", Leader: secondMember, Term: 4, AppliedIndex: 5, Fault: "no majority",
		LeaseDuration: 2_000_000, MaxClockDrift: 30_000,
		Members: []cluster.MemberStatus{{
			Name: "govan-1", Zone: "govan", Channel: "127.0.0.1:7701", Capacity: 100.5, Voter: true, SeemsAlive: true,
			Draining: true, Removed: true, Incarnation: 6, Shards: 7, ExpectedRate: 8.5,
		}},
		Shards: []cluster.ShardStatus{{
			Number: 9, Zone: "govan", Holder: "govan-1", Target: secondMember, Pinned: true, Epoch: 10, ExpectedRate: 11.5,
			HeldHere: true, LeaseRemaining: 1_200_000, WaitReason: "waits for " + secondMember,
		}},
		Takeovers: []cluster.Takeover{
			{
				At: 13, Leader: secondMember, Shard: 9, Epoch: 10, From: secondMember, To: "govan-1", Planned: true,
				Reason: "its member leaves",
			},
			{
				At: 14, Leader: "govan-1", Shard: 15, Epoch: 16, From: "govan-1", To: secondMember, Planned: true,
				Reason: "evener",
			},
		},
	}
}

// fixedPreviousSnapshot is the last snapshot of the previous incarnation, as it is stored.
const fixedPreviousSnapshot = `{"kind":"snapshot","life":24,"version":25,` +
	`"tables":{"6":[{"replica":"10.0.0.1:81","weight":0.26}]},"withdrawn":["10.0.0.2:82"],` +
	`"levels":[{"operations":3,"share":0.27,"way":2}],"forwarders":{"till-1":"6","till-2":""}}`

// fixedServers returns a server after safe mode and one in safe mode, both with every value set, and one that has
// neither a cluster nor a previous incarnation.
func fixedServers() (afterSafeModeServer, safeModeServer, standaloneServer *Server) {
	instance := Instance{
		Name:             "govan-1",
		Incarnation:      26,
		Zones:            []string{"govan", secondZone},
		Operations:       []string{"recipe-read", "recipe-write"},
		Settings:         func() [][2]string { return [][2]string{{"listen", "127.0.0.1:7700"}} },
		PreviousSnapshot: []byte(fixedPreviousSnapshot),
		QueueLimit:       100,
		Now:              func() model.Microseconds { return 100 * model.Second },
		Cluster:          fixedClusterStatus,
	}
	afterSafeModeServer = &Server{instance: instance, source: fixedSource{fixedView(true)}}
	safeModeServer = &Server{instance: instance, source: fixedSource{fixedView(false)}}
	instance.Cluster = nil
	instance.PreviousSnapshot = nil
	standaloneServer = &Server{instance: instance, source: fixedSource{fixedView(true)}}
	return afterSafeModeServer, safeModeServer, standaloneServer
}

// TestEachPageMatchesItsGoldenJSON guards the JSON that programs parse: a changed key or value would break them.
func TestEachPageMatchesItsGoldenJSON(t *testing.T) {
	afterSafeModeServer, safeModeServer, standaloneServer := fixedServers()
	for _, test := range []struct {
		file   string
		server *Server
		path   string
	}{
		{"overview.json", safeModeServer, "/"},
		{"overview_open.json", afterSafeModeServer, "/"},
		{"zones.json", afterSafeModeServer, "/zones"},
		{"replicas.json", afterSafeModeServer, "/replicas"},
		{"replica.json", afterSafeModeServer, "/replicas/10.0.0.1:81"},
		{"forwarders.json", afterSafeModeServer, "/forwarders"},
		{"forwarder.json", afterSafeModeServer, "/forwarders/till-1"},
		{"tables.json", afterSafeModeServer, "/tables"},
		{"table.json", afterSafeModeServer, "/tables/6"},
		{"orders.json", afterSafeModeServer, "/orders"},
		{"orders_about.json", afterSafeModeServer, "/orders?about=gate"},
		{"settings.json", afterSafeModeServer, "/settings"},
		{"before.json", afterSafeModeServer, "/before"},
		{"before_unknown.json", standaloneServer, "/before"},
		{"group.json", afterSafeModeServer, "/group"},
		{"group_alone.json", standaloneServer, "/group"},
	} {
		t.Run(test.file, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodGet, test.path, nil)
			request.Header.Set("Accept", "application/json")
			response := httptest.NewRecorder()
			test.server.serve(response, request)
			if response.Code != http.StatusOK || response.Header().Get("Content-Type") != "application/json" {
				t.Fatalf("%s: want JSON with status 200, got %d %s", test.path, response.Code, response.Body)
			}
			checkGolden(t, filepath.Join("testdata", test.file), response.Body.Bytes())
		})
	}
}

// TestEachPageRendersAsHTML guards against templates that use a field or a value that the page's body does not have.
// Such a template fails only when the page is rendered.
func TestEachPageRendersAsHTML(t *testing.T) {
	afterSafeModeServer, safeModeServer, standaloneServer := fixedServers()
	paths := []string{
		"/", "/zones", "/replicas", "/replicas/10.0.0.1:81", "/forwarders", "/forwarders/till-1", "/tables", "/tables/6",
		"/orders", "/settings", "/before", "/group",
	}
	for name, server := range map[string]*Server{
		"after safe mode": afterSafeModeServer, "in safe mode": safeModeServer, "without a cluster": standaloneServer,
	} {
		for _, path := range paths {
			t.Run(name+path, func(t *testing.T) {
				response := httptest.NewRecorder()
				server.serve(response, httptest.NewRequest(http.MethodGet, path, nil))
				text := response.Body.String()
				if response.Code != http.StatusOK || !strings.Contains(text, "</html>") {
					t.Errorf("want a whole page with status 200, got %d %s", response.Code, text)
				}
			})
		}
	}
}

// checkGolden reports bytes that differ from the golden file. With -update it first writes them to the file.
func checkGolden(t *testing.T, file string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	compareGolden(t, file, got)
}

// compareGolden reports bytes that differ from a golden file. It never rewrites the file.
func compareGolden(t *testing.T, file string, got []byte) {
	t.Helper()
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant the golden file\n%s", file, got, want)
	}
}
