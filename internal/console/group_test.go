package console

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"peppervale/internal/cluster"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
)

// standby is a governor of a group that has not begun to step: it holds no part.
type standby struct{}

func (standby) View() *controller.View                                               { return nil }
func (standby) DetailedView() *controller.View                                       { return nil }
func (standby) Stats() pubsub.Stats                                                  { return pubsub.Stats{} }
func (standby) Decisions(int, func(*controller.Decision) bool) []controller.Decision { return nil }

// A governor that stands by has nothing to show but its group, and says so on every other page; the group's page tells why it holds
// nothing, who holds what and how it came to be.
func TestTheGroupOfOneThatStandsBy(t *testing.T) {
	status := cluster.Status{Member: "govan-1", Leader: "partick-1", Term: 4, Fault: "a majority is <not> there", LeaseDuration: 2 * model.Second,
		Members:   []cluster.MemberStatus{{Name: "govan-1", Zone: "govan", SeemsAlive: true, Voter: true}, {Name: "partick-1", Zone: "partick", Draining: true, Shards: 1, Load: 12}},
		Shards:    []cluster.ShardStatus{{Number: 0, Zone: "govan", Holder: "partick-1", Target: "govan-1", Epoch: 7, WaitReason: "evener: waits for partick-1"}},
		Takeovers: []cluster.Event{{Shard: 0, Epoch: 6, To: "govan-1", Reason: "with nobody"}, {Shard: 0, Epoch: 7, From: "govan-1", To: "partick-1", Reason: "its member is gone"}}}
	pages, err := Listen("127.0.0.1:0", Instance{Name: "govan-1", Zones: []string{"govan", "partick"}, Now: func() model.Microseconds { return 10 * model.Second },
		Settings: func() [][2]string { return nil }, Cluster: func() cluster.Status { return status }}, standby{})
	if err != nil {
		t.Fatal(err)
	}
	defer pages.Close()
	get := func(path string) (int, string) {
		r, err := http.Get("http://" + pages.Addr() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		text, err := io.ReadAll(r.Body)
		if err != nil {
			t.Fatal(err)
		}
		return r.StatusCode, string(text)
	}
	code, text := get("/group")
	for _, word := range []string{"a majority is &lt;not&gt; there", "partick-1, term 4", ", leaving", "no vote", "evener: waits for partick-1", "its lease ran out", "first", "</html>"} {
		if code != 200 || !strings.Contains(text, word) {
			t.Errorf("%d, without %q:\n%s", code, word, text)
		}
	}
	if newest, oldest := strings.Index(text, "its member is gone"), strings.Index(text, "with nobody"); newest > oldest {
		t.Error("the newest takeover is not the first")
	}
	if code, text := get("/group?as=json"); code != 200 || !strings.Contains(text, `"epoch": 7`) {
		t.Errorf("%d\n%s", code, text)
	}
	if code, text := get("/"); code != 503 || !strings.Contains(text, "stands by") {
		t.Errorf("the first page: %d, %s", code, text)
	}
}

// A governor that shares nothing says so.
func TestNoGroup(t *testing.T) {
	d := open(t, 2, 0)
	if code, text, _ := d.get("/group"); code != 200 || !strings.Contains(text, "shares the fleet with nobody") || strings.Contains(text, `href="/group"`) {
		t.Errorf("%d\n%s", code, text)
	}
}
