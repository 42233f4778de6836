package scenario

import (
	"strings"
	"testing"

	"peppervale/internal/model"
)

// A bench day by hand: what it says comes back in the script, smaller by one factor.
func TestFromBench(t *testing.T) {
	text := `{"site":"small","kind":"big","length":50000000,"zones":["a","b"],"traffic":{"load":0.5},"clients":{"retries":1},
	"discovery":{"notice":600000,"silent_notice":9000000,"add":1000000},"drain_grace":3000000,"fall_multiple":4,"fall_for":2000000,
	"classes":[{"name":"read","effect":"safe","share":1,"work":100000,"cv":0.5,"aim":500000,"deadline":1200000,"worth":1},
	{"name":"log","effect":"keyed","share":1,"work":100000,"cv":0.5,"aim":500000,"deadline":1200000,"worth":3,"window":1200000}],
	"tiers":[{"kinds":[{"name":"k","cores":2,"queue":9,"cold":8000000,"cold_from":0.3}],"report_fields":["util"],"report_period":500000,
	"handshake_work":5000,"conn_cap_per_core":80,"stated_cold_from":0.2,"stated_cold":17000000}],
	"servers":[` + strings.TrimSuffix(strings.Repeat(`{"zone":0,"kind":0,"speed":1,"up":true},`, 40), ",") + `],
	"balancers":[` + strings.TrimSuffix(strings.Repeat(`{"zone":0},`, 80), ",") + `],
	"troubles":[{"kind":"balancer_crash","at":9000000,"len":3000000,"on":[80]},{"kind":"balancer_crash","at":9000000,"len":3000000,"on":[1,2,3,4]},
	{"kind":"origin_slow","at":1000000,"len":3000000,"size":4},{"kind":"slow","at":1000000,"len":3000000,"size":4,"on":[1,2,3,4]}],
	"fam":{"controllers":[0,1],"backlog":8000,"bare":2600000,"period":1000000,"head":6,"rate":4000,"intake":150,"standing":6,"pick":"two",
	"redial":200000,"try_aims":0.8,"usual_how":1,"admit":"share"}}`
	script, notes, err := FromBench([]byte(text), 40)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse("small.hcl", script)
	if err != nil {
		t.Fatalf("%v\n%s", err, script)
	}
	if s.Forwarders.EachZone != 20 || s.Replicas.EachZone != 10 || s.Terms.QueueLimit != 4000 || len(s.Governors) != 2 ||
		s.Guarantees.Cold != 17*model.Second || s.Load.Rate < 199 || s.Load.Rate > 201 {
		t.Fatalf("%+v", s)
	}
	kinds := ""
	for _, step := range s.Steps {
		kinds += step.Kind + " "
	}
	if kinds != "governor_crash forwarder_crash slow " || s.Steps[0].Part != 0.5 || s.Steps[1].Part != 0.05 || s.Steps[2].Part != 0.1 {
		t.Fatalf("%s %+v", kinds, s.Steps)
	}
	if len(notes) != 2 || !strings.Contains(notes[0], "origin_slow is left out") {
		t.Fatal(notes)
	}
	for _, bad := range []string{"", "{}", `{"length":1,"zones":["a"]}`} {
		if _, _, err := FromBench([]byte(bad), 40); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}
