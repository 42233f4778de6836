package comparison

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/model"
)

// testView describes a controller's view.
type testView struct {
	name        string
	incarnation uint64
	replicas    map[string]string // by address; the values are keys of testReplicas
	proxies     []string
	age         model.Microseconds
}

// testReplicas are possible reports about a replica.
var testReplicas = map[string]reportedReplica{
	"serving":  {State: "serving", ListedStatus: "ready", SlowStartFactor: 1},
	"ejected":  {State: "resting", ListedStatus: "ready", SlowStartFactor: 1, Withdrawn: true},
	"draining": {State: "away", ListedStatus: "draining", Withdrawn: true},
	"gone":     {State: "away", ListedStatus: "gone", Withdrawn: true},
	// Listed as gone, but not withdrawn yet.
	"not withdrawn": {State: "serving", ListedStatus: "gone", SlowStartFactor: 1},
}

// polledControllers returns polled controllers with the given views, each at an address of its own.
func polledControllers(now model.Microseconds, views ...testView) []polledController {
	var controllers []polledController
	for i, view := range views {
		reported := &reportedView{
			name:        view.name,
			incarnation: view.incarnation,
			safeMode:    safeModeEnded,
			replicas:    map[string]reportedReplica{},
			proxies:     map[string]reportedProxy{},
		}
		for address, report := range view.replicas {
			replica := testReplicas[report]
			replica.Address = address
			reported.replicas[address] = replica
		}
		for _, proxy := range view.proxies {
			reported.proxies[proxy] = reportedProxy{Name: proxy, Table: 0}
		}
		controllers = append(controllers, polledController{
			address: fmt.Sprint("http://", i), view: reported, receivedAt: now - view.age,
		})
	}
	return controllers
}

// TestReplicaReportsDetermineKindOfDisagreement shows which kind of disagreement, if any, each pair of reports about
// one replica causes.
func TestReplicaReportsDetermineKindOfDisagreement(t *testing.T) {
	for _, test := range []struct {
		first  string
		second string // empty: the replica is unknown
		want   disagreementKind
	}{
		{"serving", "serving", ""},
		{"serving", "draining", sendsToLeaving},
		{"gone", "serving", sendsToLeaving},
		{"ejected", "draining", listDiffers},
		{"serving", "", listDiffers},
		{"serving", "ejected", stateDiffers},
		{"ejected", "ejected", ""},
		{"gone", "draining", ""},
		{"gone", "", ""},
		{"not withdrawn", "gone", ""},
	} {
		t.Run(test.first+" and "+test.second, func(t *testing.T) {
			first := testView{name: "a", replicas: map[string]string{"r": test.first}}
			second := testView{name: "b", replicas: map[string]string{}}
			if test.second != "" {
				second.replicas["r"] = test.second
			}
			found, compared := newTracker().compare(0, polledControllers(0, first, second))
			if compared != 2 || (len(found) == 0) != (test.want == "") {
				t.Fatalf("%d controllers compared, want 2; disagreements: %+v", compared, found)
			}
			if len(found) > 0 && (found[0].Kind != test.want || len(found[0].Sides) != 2) {
				t.Errorf("want the test's kind and two sides, got %+v", found)
			}
		})
	}
}

// TestDisagreementBecomesPersistentOnlyIfItLasts shows that a disagreement ends when a delayed endpoint list arrives,
// and becomes persistent and is reported first if the list never arrives.
func TestDisagreementBecomesPersistentOnlyIfItLasts(t *testing.T) {
	tracker := newTracker()
	firstView := testView{name: "a", replicas: map[string]string{"late": "gone", "never": "gone"}}
	compare := func(now model.Microseconds, lateReport, neverReport string) []disagreement {
		secondView := testView{name: "b", replicas: map[string]string{"late": lateReport, "never": neverReport}}
		found, _ := tracker.compare(now, polledControllers(now, firstView, secondView))
		return found
	}
	compare(0, "serving", "serving")

	now := 2 * model.Second
	found := compare(now, "gone", "serving")
	if len(found) != 1 || found[0].Subject != "never" || found[0].isPersistent(now) {
		t.Fatalf("want one disagreement that is not persistent yet, got %+v", found)
	}

	now = 5 * model.Second
	found = compare(now, "serving", "serving")
	if len(found) != 2 || found[0].Subject != "never" || !found[0].isPersistent(now) || found[0].Since != 0 {
		t.Fatalf("want the persistent disagreement first of two, got %+v", found)
	}
	if found[1].isPersistent(now) || found[1].Since != now {
		t.Fatalf("want a new start for the disagreement that had ended, got %+v", found)
	}

	if found = compare(6*model.Second, "gone", "gone"); len(found) != 0 {
		t.Fatalf("want no disagreement once the lists are the same, got %+v", found)
	}
}

// TestOldViewsAreNotCompared also shows that a proxy is reported as connected nowhere only if the views of all
// controllers are recent.
func TestOldViewsAreNotCompared(t *testing.T) {
	tracker := newTracker()
	tracker.compare(0, polledControllers(0,
		testView{name: "a", proxies: []string{"till"}},
		testView{name: "b", proxies: []string{"bar"}},
	))

	now := 6 * model.Second
	found, compared := tracker.compare(now, polledControllers(now,
		testView{name: "a", proxies: []string{"till"}, replicas: map[string]string{"r": "serving"}},
		testView{name: "b", proxies: []string{"bar"}, replicas: map[string]string{"r": "gone"}, age: 6 * model.Second},
	))
	if compared != 1 || len(found) != 0 {
		t.Fatalf("%d controllers compared, want 1 and no disagreement: %+v", compared, found)
	}

	withoutBar := []testView{{name: "a", proxies: []string{"till"}}, {name: "b"}}
	now = 7 * model.Second
	found, _ = tracker.compare(now, polledControllers(now, withoutBar...))
	if len(found) != 1 || found[0].Kind != connectedNowhere || found[0].Subject != "bar" {
		t.Fatalf("want proxy bar connected nowhere, got %+v", found)
	}

	now = 300 * model.Second
	if found, _ = tracker.compare(now, polledControllers(now, withoutBar...)); len(found) != 0 {
		t.Fatalf("want no report of a proxy missing for longer than maxMissingTime, got %+v", found)
	}
}

func TestDecreasedIncarnationAndDuplicateNameAreReported(t *testing.T) {
	tracker := newTracker()
	tracker.compare(0, polledControllers(0, testView{name: "a", incarnation: 7}, testView{name: "b", incarnation: 3}))
	found, _ := tracker.compare(model.Second, polledControllers(model.Second,
		testView{name: "a", incarnation: 6, proxies: []string{"till"}},
		testView{name: "a", incarnation: 4, proxies: []string{"till"}},
	))
	var kinds []disagreementKind
	for _, disagreement := range found {
		kinds = append(kinds, disagreement.Kind)
	}
	if !slices.Equal(kinds, []disagreementKind{incarnationDecreased, duplicateName, connectedTwice}) {
		t.Fatalf("want three disagreements by severity, got %+v", found)
	}
}

// TestComparisonIgnoresOrderAndAcceptsEqualReports shows for random views: controllers with the same reports do not
// disagree about replicas, the order of the controllers does not matter, and no disagreement starts in the future.
func TestComparisonIgnoresOrderAndAcceptsEqualReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		forwardTracker, reverseTracker := newTracker(), newTracker()
		var now model.Microseconds
		for range rapid.IntRange(1, 12).Draw(t, "comparisons") {
			now += model.Microseconds(rapid.IntRange(0, 6).Draw(t, "pause")) * model.Second
			views := drawViews(t)
			checkAgreement(t, now, views)
			controllers := polledControllers(now, views...)
			found, _ := forwardTracker.compare(now, controllers)
			slices.Reverse(controllers)
			reversed, _ := reverseTracker.compare(now, controllers)
			checkSameDisagreements(t, now, found, reversed)
		}
	})
}

// drawViews draws the views that three controllers have of two replicas.
func drawViews(t *rapid.T) []testView {
	reports := []string{"", "serving", "ejected", "draining", "gone", "not withdrawn"}
	var views []testView
	for i, name := range []string{"a", "b", "c"} {
		view := testView{
			name:        name,
			incarnation: uint64(i),
			replicas:    map[string]string{},
			age:         model.Microseconds(rapid.IntRange(0, 7).Draw(t, "age")) * model.Second,
		}
		for _, address := range []string{"r1", "r2"} {
			if report := rapid.SampledFrom(reports).Draw(t, "report"); report != "" {
				view.replicas[address] = report
			}
		}
		views = append(views, view)
	}
	return views
}

// checkAgreement fails if there is a disagreement when all controllers report the replicas as the first one does.
func checkAgreement(t *rapid.T, now model.Microseconds, views []testView) {
	t.Helper()
	equalViews := slices.Clone(views)
	for i := range equalViews {
		equalViews[i].replicas = views[0].replicas
	}
	if found, _ := newTracker().compare(now, polledControllers(now, equalViews...)); len(found) != 0 {
		t.Fatalf("disagreements although all reports are the same: %+v", found)
	}
}

func checkSameDisagreements(t *rapid.T, now model.Microseconds, found, reversed []disagreement) {
	t.Helper()
	if len(found) != len(reversed) {
		t.Fatalf("numbers of disagreements depend on the order of controllers:\n%+v\n%+v", found, reversed)
	}
	for i, first := range found {
		second := reversed[i]
		equal := first.Kind == second.Kind && first.Subject == second.Subject && first.Since == second.Since
		if !equal || first.Since > now {
			t.Fatalf("disagreements differ by the order of controllers, or start in the future:\n%+v\n%+v", first, second)
		}
	}
}
