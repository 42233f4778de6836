package console

import (
	"strings"
	"testing"

	"peppervale/internal/cluster"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
)

// standbySource is the Source of a cluster member that holds no shard. Its event loop has not started.
type standbySource struct{}

func (standbySource) View() *controller.View         { return nil }
func (standbySource) DetailedView() *controller.View { return nil }
func (standbySource) Stats() pubsub.Stats            { return pubsub.Stats{} }
func (standbySource) Decisions(int, func(*controller.Decision) bool) []controller.Decision {
	return nil
}

func standbyStatus() cluster.Status {
	return cluster.Status{
		Member: "govan-1", Leader: secondMember, Term: 4, Fault: "a majority is <not> there",
		LeaseDuration: 2 * model.Second,
		Members: []cluster.MemberStatus{
			{Name: "govan-1", Zone: "govan", SeemsAlive: true, Voter: true},
			{Name: secondMember, Zone: secondZone, Draining: true, Shards: 1, ExpectedRate: 12},
		},
		Shards: []cluster.ShardStatus{{
			Number: 0, Zone: "govan", Holder: secondMember, Target: "govan-1", Epoch: 7,
			WaitReason: "evener: waits for " + secondMember,
		}},
		Takeovers: []cluster.Takeover{
			{Shard: 0, Epoch: 6, To: "govan-1", Reason: "with nobody"},
			{Shard: 0, Epoch: 7, From: "govan-1", To: secondMember, Reason: "its member is gone"},
		},
	}
}

// startStandbyConsole starts the console of a cluster member that holds no shard, and returns its URL.
func startStandbyConsole(t *testing.T) string {
	t.Helper()
	console, err := Listen("127.0.0.1:0", Instance{
		Name:     "govan-1",
		Zones:    []string{"govan", secondZone},
		Now:      func() model.Microseconds { return 10 * model.Second },
		Settings: func() [][2]string { return nil },
		Cluster:  standbyStatus,
	}, standbySource{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(console.Close)
	return "http://" + console.Addr()
}

// TestClusterPageOnStandbyShowsFaultHoldersAndTakeovers shows that a member on standby shows its fault, the holders of
// the shards, and the takeovers.
func TestClusterPageOnStandbyShowsFaultHoldersAndTakeovers(t *testing.T) {
	url := startStandbyConsole(t)
	status, text := httpGet(t, url+"/group")
	for _, want := range []string{
		"a majority is &lt;not&gt; there",
		secondMember + ", term 4",
		", draining",
		"non-voter",
		"evener: waits for " + secondMember,
		"lease expired",
		"first",
		"</html>",
	} {
		if status != 200 || !strings.Contains(text, want) {
			t.Errorf("status %d, want 200 and %q:\n%s", status, want, text)
		}
	}
	newestIndex, oldestIndex := strings.Index(text, "its member is gone"), strings.Index(text, "with nobody")
	if newestIndex > oldestIndex {
		t.Error("want the newest takeover first")
	}
	if status, text := httpGet(t, url+"/group?as=json"); status != 200 || !strings.Contains(text, `"epoch": 7`) {
		t.Errorf("cluster page as JSON: want status 200 and epoch 7, got %d\n%s", status, text)
	}
}

// TestOverviewOnStandbyIsUnavailable shows that a page that needs a view explains why it is unavailable.
func TestOverviewOnStandbyIsUnavailable(t *testing.T) {
	url := startStandbyConsole(t)
	if status, text := httpGet(t, url+"/"); status != 503 || !strings.Contains(text, "on standby") {
		t.Errorf("overview on standby: want status 503, got %d, %s", status, text)
	}
}

func TestClusterPageOfNonMemberHasExplanationAndNoLink(t *testing.T) {
	fixture := startFixture(t, 2, 0)
	status, text, _ := fixture.get("/group")
	if status != 200 || !strings.Contains(text, "not a member of a cluster") || strings.Contains(text, `href="/group"`) {
		t.Errorf("want status 200 and no link to the cluster page, got %d\n%s", status, text)
	}
}
