package admission

import (
	"container/heap"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/model"
)

func TestBurstIsAdmittedAtOnce(t *testing.T) {
	controller := New(Limits{Rate: 10, Burst: 20}, 0)
	for n := range 20 {
		if decision, _ := controller.Decide(0, fmt.Sprint(n), n); decision != Admit {
			t.Fatalf("connection %d of a burst was not admitted", n)
		}
	}
	decision, retryAfter := controller.Decide(0, "late", 20)
	if decision != Defer || retryAfter != model.Second/10 || !controller.InStorm() {
		t.Fatalf("beyond the burst: got decision %v and retry after %d us, want Defer and 100000", decision, retryAfter)
	}
}

func TestReservedProxyIsAdmittedAtReservedTime(t *testing.T) {
	controller := New(Limits{Rate: 10, Burst: 1}, 0)
	controller.Decide(0, "first", 0)
	_, retryAfter := controller.Decide(0, "second", 1)
	if decision, delay := controller.Decide(retryAfter/2, "second", 1); decision != Defer || delay != retryAfter/2 {
		t.Fatalf("early retry: got decision %v and retry after %d us, want Defer and the other half", decision, delay)
	}
	if decision, _ := controller.Decide(retryAfter, "second", 1); decision != Admit {
		t.Fatal("a retry at the reserved time was not admitted")
	}
}

func TestStormEndsWhenReservationIsNotUsed(t *testing.T) {
	controller := New(Limits{Rate: 10, Burst: 1}, 0)
	controller.Decide(0, "first", 0)
	controller.Decide(0, "does not return", 1)
	decision, _ := controller.Decide(100*model.Second, "much later", 1)
	if decision != Admit || controller.InStorm() || len(controller.reservations) != 0 {
		t.Fatalf("the storm did not end: got decision %v with %d reservations", decision, len(controller.reservations))
	}
}

func TestControllerRejectsWhenMaxProxiesAreConnected(t *testing.T) {
	controller := New(Limits{Rate: 10, Burst: 10, MaxProxies: 2, Jitter: 0.5}, 0)
	decision, retryAfter := controller.Decide(0, "third", 2)
	if decision != Reject || retryAfter < rejectRetryAfter || retryAfter > rejectRetryAfter*3/2 {
		t.Fatalf("got decision %v and retry after %d us, want a rejection", decision, retryAfter)
	}
}

// arrivals is a heap of connection attempts ordered by time.
type arrivals []arrival

type arrival struct {
	at    model.Microseconds
	proxy int
}

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// Two thousand proxies that connect at once are all admitted in the time that follows from the rate, without a second
// storm: no proxy is deferred more than twice, and no second has more connections than the rate and the burst allow.
func TestStormOfTwoThousandProxiesIsAdmittedAtRate(t *testing.T) {
	const proxies, rate, burst = 2000, 200, 50
	controller := New(Limits{Rate: rate, Burst: burst, Jitter: 1, Seed: 7}, 0)
	var queue arrivals
	for proxy := range proxies {
		heap.Push(&queue, arrival{model.Microseconds(proxy % 100), proxy})
	}
	deferrals := map[int]int{}
	connectionsInSecond := map[model.Microseconds]int{} // by second
	admitted := 0
	var lastAdmitted model.Microseconds
	for len(queue) > 0 {
		next := heap.Pop(&queue).(arrival)
		connectionsInSecond[next.at/model.Second]++
		decision, retryAfter := controller.Decide(next.at, fmt.Sprint(next.proxy), admitted)
		if decision == Admit {
			admitted++
			lastAdmitted = next.at
			continue
		}
		deferrals[next.proxy]++
		if deferrals[next.proxy] > 2 {
			t.Fatalf("proxy %d was deferred %d times, want at most 2", next.proxy, deferrals[next.proxy])
		}
		heap.Push(&queue, arrival{next.at + retryAfter, next.proxy})
	}
	if admitted != proxies || lastAdmitted > model.Microseconds(float64(proxies)/rate*1.1)*model.Second {
		t.Fatalf("%d proxies were admitted, the last after %d us; want 2000 within 11 s", admitted, lastAdmitted)
	}
	for second, count := range connectionsInSecond {
		if second > 0 && count > rate+burst {
			t.Fatalf("%d connections in second %d exceed rate and burst", count, second)
		}
	}
}

// In any sequence of connections, no span has more admissions than burst and rate allow and one for each proxy; a proxy
// that retries in time is admitted; and there are no more reservations than proxies.
func TestAnySequenceOfConnectionsStaysWithinRate(t *testing.T) {
	const proxies = 41
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.IntRange(1, 50).Draw(t, "rate"), rapid.IntRange(1, 20).Draw(t, "burst")
		controller := New(Limits{Rate: float64(rate), Burst: burst, Jitter: 0.5, Seed: 1}, 0)
		var now model.Microseconds
		var admittedAt []model.Microseconds
		retryAt := map[int]model.Microseconds{}
		for range rapid.IntRange(1, 300).Draw(t, "connections") {
			now += model.Microseconds(rapid.IntRange(0, 200_000).Draw(t, "pause"))
			proxy := rapid.IntRange(0, proxies-1).Draw(t, "proxy")
			decision, retryAfter := controller.Decide(now, fmt.Sprint(proxy), 0)
			if decision == Admit {
				admittedAt = append(admittedAt, now)
				delete(retryAt, proxy)
				continue
			}
			dueAt, isDeferred := retryAt[proxy]
			if isDeferred && now >= dueAt && now <= dueAt+model.Second/model.Microseconds(rate) {
				t.Fatalf("proxy %d retried in time and was deferred again", proxy)
			}
			if retryAfter <= 0 {
				t.Fatalf("a proxy was deferred by %d us, want more than 0", retryAfter)
			}
			retryAt[proxy] = now + retryAfter
		}
		for i, from := range admittedAt {
			for k, until := range admittedAt[i:] {
				// Unused reservations stay valid for the duration of the storm after it, so each proxy may add one admission.
				seconds := float64(until-from) / float64(model.Second)
				if limit := float64(burst) + seconds*float64(rate) + proxies; float64(k+1) > limit {
					t.Fatalf("%d connections admitted within %d us exceed rate, burst and reservations", k+1, until-from)
				}
			}
		}
		if len(controller.reservations) > proxies {
			t.Fatalf("%d reservations, want at most 41, one for each proxy", len(controller.reservations))
		}
	})
}

// If the limits change in a storm, reservations stay valid, and without limits all connections are admitted.
func TestReservationsStayValidWhenLimitsChange(t *testing.T) {
	controller := New(Limits{Rate: 1, Burst: 1}, 0)
	controller.Decide(0, "first", 0)
	_, retryAfter := controller.Decide(0, "second", 1)
	controller.SetLimits(Limits{Rate: 100, Burst: 5}, model.Second/10)
	if decision, _ := controller.Decide(retryAfter, "second", 1); decision != Admit {
		t.Fatal("a reservation was dropped when the limits changed")
	}
	controller.Decide(retryAfter, "third", 2)
	controller.SetLimits(Limits{}, retryAfter)
	for n := range 100 {
		if decision, _ := controller.Decide(retryAfter, fmt.Sprint("all", n), n); decision != Admit {
			t.Fatalf("without limits: got decision %v, want admission", decision)
		}
	}
}
