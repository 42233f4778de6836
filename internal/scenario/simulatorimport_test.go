package scenario

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"peppervale/internal/model"
)

// simulatorText returns a small scenario of the simulator with 40 replicas, 80 proxies and the given faults. Its two
// controllers have the numbers 80 and 81.
func simulatorText(faults string) []byte {
	return fmt.Appendf(nil, `{"site":"small","kind":"big","length":50000000,"zones":["a","b"],
	"traffic":{"load":0.5},"clients":{"retries":1},
	"discovery":{"notice":600000,"silent_notice":9000000,"add":1000000},
	"drain_grace":3000000,"fall_multiple":4,"fall_for":2000000,
	"classes":[
		{"name":"read","effect":"safe","share":1,"work":100000,"cv":0.5,"aim":500000,"deadline":1200000,"worth":1},
		{"name":"log","effect":"keyed","share":1,"work":100000,"cv":0.5,"aim":500000,"deadline":1200000,"worth":3,
		"window":1200000}],
	"tiers":[{"kinds":[{"name":"k","cores":2,"queue":9,"cold":8000000,"cold_from":0.3}],
		"report_fields":["util"],"report_period":500000,"handshake_work":5000,"conn_cap_per_core":80,
		"stated_cold_from":0.2,"stated_cold":17000000}],
	"servers":[%s],
	"balancers":[%s],
	"troubles":[%s],
	"fam":{"controllers":[0,1],"backlog":8000,"bare":2600000,"period":1000000,"head":6,"rate":4000,"intake":150,
		"standing":6,"pick":"two","redial":200000,"try_aims":0.8,"usual_how":1,"admit":"share"}}`,
		repeated(`{"zone":0,"kind":0,"speed":1,"up":true}`, 40), repeated(`{"zone":0}`, 80), faults)
}

// repeated returns the element count times, separated by commas, as the content of a JSON list.
func repeated(element string, count int) string {
	return strings.TrimSuffix(strings.Repeat(element+",", count), ",")
}

// importScenario converts the scenario of simulatorText to half its size, which is 40 proxies, and parses the result.
func importScenario(t *testing.T, faults string) (script *Script, notes []string) {
	t.Helper()
	text, notes, err := ImportSimulatorScenario(simulatorText(faults), 40)
	if err != nil {
		t.Fatal(err)
	}
	script, err = Parse("small.hcl", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	return script, notes
}

func TestImportScalesFleetByOneFactorWhenProxiesAreLimited(t *testing.T) {
	script, notes := importScenario(t, "")
	for _, tt := range []struct {
		name      string
		got, want int
	}{
		{"proxies of a zone", script.Proxies.PerZone, 20},
		{"replicas of a zone", script.Replicas.PerZone, 10},
		{"queue", script.Balancer.QueueLimit, 4000},
		{"instances", len(script.InstanceZones), 2},
		{"warm-up period", int(script.Guarantees.WarmUpPeriod), int(17 * model.Second)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if tt.got != tt.want {
				t.Errorf("got %d, want %d", tt.got, tt.want)
			}
		})
	}
	if script.Load.Rate < 199 || script.Load.Rate > 201 {
		t.Errorf("rate %f, want 199 to 201", script.Load.Rate)
	}
	if len(notes) != 1 || !strings.Contains(notes[0], "0.50 of its size") {
		t.Error(notes)
	}
}

// importedFaults lists faults of the simulator and the steps that they are converted to, without At and Duration.
var importedFaults = []struct {
	name, fault string
	want        Step
}{
	{
		"controller crash", `"kind":"balancer_crash","on":[80]`,
		Step{Kind: InstanceCrash, Fraction: 0.5, Size: 3, Number: 1},
	},
	{
		"proxy crash", `"kind":"balancer_crash","on":[1,2,3,4]`,
		Step{Kind: ProxyCrash, Fraction: 0.05, Size: 3, Number: 1},
	},
	{
		"proxy roll", `"kind":"balancer_roll","on":[1]`,
		Step{Kind: ProxyCrash, Fraction: 0.013, Size: 3, Number: 1},
	},
	{
		"controller roll", `"kind":"balancer_roll","on":[80,81]`,
		Step{Kind: InstanceRoll, Fraction: 1, Size: 3, Number: 1},
	},
	{
		"slow replicas", `"kind":"slow","size":4,"on":[1,2,3,4]`,
		Step{Kind: ReplicaSlow, Fraction: 0.1, Size: 4, Number: 1},
	},
	{
		"late reports", `"kind":"report_late","size":2000000`,
		Step{Kind: LoadReportsLate, Fraction: 1, Size: 2, Number: 1},
	},
	{
		"late reports in seconds", `"kind":"report_late","size":2`,
		Step{Kind: LoadReportsLate, Fraction: 1, Size: 2, Number: 1},
	},
	{
		"deploy", `"kind":"deploy","size":0.1,"extra":5000000`,
		Step{Kind: Deploy, Fraction: 1, Size: 5, Number: 2},
	},
	{
		"silent zone loss", `"kind":"zone_loss","which":1,"extra":1`,
		Step{Kind: ZoneLoss, Fraction: 1, Number: 1, Zone: "b", Silent: true},
	},
	{
		"failing operation", `"kind":"class_fail","which":1,"size":1`,
		Step{Kind: OperationFails, Fraction: 1, Size: 1, Number: 1, Group: "log"},
	},
	{
		"fewer connections", `"kind":"conn_squeeze","size":7`,
		Step{Kind: FewerConnections, Fraction: 1, Size: 7, Number: 7},
	},
	{
		"added replicas", `"kind":"grow","on":[1,2,3,4,5,6,7,8]`,
		Step{Kind: Grow, Fraction: 0.2, Number: 2},
	},
}

func TestImportedFaultsBecomeSteps(t *testing.T) {
	for _, tt := range importedFaults {
		t.Run(tt.name, func(t *testing.T) {
			script, _ := importScenario(t, `{"at":9000000,"len":3000000,`+tt.fault+`}`)
			tt.want.At = seconds(9)
			tt.want.Duration = seconds(3)
			if len(script.Steps) != 1 || script.Steps[0] != tt.want {
				t.Errorf("got %+v, want %+v", script.Steps, tt.want)
			}
		})
	}
}

func TestImportKeepsFaultOrderAndNotesUnsupportedFaults(t *testing.T) {
	script, notes := importScenario(t, `{"kind":"balancer_crash","at":9000000,"len":3000000,"on":[80]},
	{"kind":"balancer_crash","at":9000000,"len":3000000,"on":[1,2,3,4]},
	{"kind":"origin_slow","at":1000000,"len":3000000,"size":4},
	{"kind":"slow","at":1000000,"len":3000000,"size":4,"on":[1,2,3,4]}`)
	var kinds []string
	for _, step := range script.Steps {
		kinds = append(kinds, string(step.Kind))
	}
	if got := strings.Join(kinds, " "); got != "governor_crash forwarder_crash slow" {
		t.Fatal(got)
	}
	if len(notes) != 2 || !strings.Contains(notes[0], "origin_slow is left out") {
		t.Fatal(notes)
	}
}

func TestImportRejectsInvalidSimulatorScenarios(t *testing.T) {
	textWithoutRunningReplica := strings.ReplaceAll(string(simulatorText("")), `"up":true`, `"up":false`)
	for _, tt := range []struct{ name, text string }{
		{"empty text", ""},
		{"empty object", "{}"},
		{"no fleet", `{"length":1,"zones":["a"]}`},
		{"no length", strings.Replace(string(simulatorText("")), `"length":50000000`, `"length":0`, 1)},
		{"no running replica", textWithoutRunningReplica},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, _, err := ImportSimulatorScenario([]byte(tt.text), 40)
			var invalid *SimulatorScenarioError
			if !errors.As(err, &invalid) {
				t.Errorf("error %v, want a SimulatorScenarioError", err)
			}
		})
	}
}
