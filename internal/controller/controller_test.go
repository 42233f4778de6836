package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// environment stands in for the proxy server and for endpoint discovery and records the calls that they get.
type environment struct {
	batches chan *snapshot.Batch
	events  chan string
}

func newEnvironment(capacity int) *environment {
	return &environment{batches: make(chan *snapshot.Batch, capacity), events: make(chan string, capacity)}
}

func (e *environment) AdmitProxy(p model.ProxyID, stream uint64) {
	e.events <- fmt.Sprint("admit ", p, " ", stream)
}
func (e *environment) Publish(b *snapshot.Batch) { e.batches <- b }
func (e *environment) Subscribe()                { e.events <- "subscribe" }

func (e *environment) expectEvent(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-e.events:
		if got != want {
			t.Fatalf("%s, want %s", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("no %s", want)
	}
}

// expectUpdate takes batches until one holds an update that matches.
func (e *environment) expectUpdate(t *testing.T, match func(snapshot.Update) bool, what string) *snapshot.Batch {
	t.Helper()
	deadline := time.After(20 * time.Second)
	for {
		select {
		case batch := <-e.batches:
			for _, update := range batch.Updates {
				if match(update) {
					return batch
				}
			}
		case <-deadline:
			t.Fatalf("no update: %s", what)
		}
	}
}

func isBinding(update snapshot.Update) bool { return update.Kind == snapshot.BindProxy }

func testConfig() model.Config {
	return model.Config{
		Seed: 1, Operations: []model.Operation{{LatencyObjective: 500_000, PriorityWeight: 1}},
		Zones: 1, SubscriptionRequired: true, AdmissionControl: true, FullQuota: 1, StandingTableSize: 4,
		ReportPeriod: 200 * model.Millisecond, MessageOverhead: 6, QueueLimit: 100_000, UtilizationField: -1,
		WarmUpPeriod: 17 * model.Second,
	}
}

func startController(t *testing.T, cached []model.Endpoint, config model.Config) (*Controller, *environment) {
	t.Helper()
	controller := New(config, 1000, NewClock(), zerolog.Nop())
	env := newEnvironment(10_000)
	go controller.Run(env, env, cached)
	t.Cleanup(controller.Stop)
	env.expectEvent(t, "subscribe")
	return controller, env
}

func readyEndpoints(numbers ...byte) []model.Endpoint {
	var endpoints []model.Endpoint
	for _, n := range numbers {
		endpoints = append(endpoints, model.Endpoint{ID: id(n), Status: model.EndpointReady})
	}
	return endpoints
}

// waitForView returns the view of the step that published a batch: it is stored after the batch is published.
func waitForView(t *testing.T, controller *Controller, batch *snapshot.Batch) *View {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if view := controller.View(); view != nil && view.At >= batch.At {
			return view
		}
	}
	t.Fatal("no view follows a published batch")
	return nil
}

// In safe mode no proxy is bound before each listed replica is named in a report, but withdrawals are published.
func TestSafeModePublishesWithdrawalsOnly(t *testing.T) {
	config := testConfig()
	config.ReportPeriod = 5 * model.Second // the start window does not end within this test
	controller, env := startController(t, readyEndpoints(1, 2, 3), config)
	controller.ProxyConnected(7, 70, pubsubmsg.Join{Name: "till", ExpectedRate: 5}, 0)
	env.expectEvent(t, "admit 7 70")
	draining := model.Endpoint{ID: id(3), Status: model.EndpointDraining}
	controller.EndpointsChanged(model.FullList, append(readyEndpoints(1, 2), draining))
	batch := env.expectUpdate(t, func(update snapshot.Update) bool {
		return update.Kind == snapshot.SetWithdrawn && update.Withdrawn && update.Replica == id(3)
	}, "the draining replica's withdrawal")
	for _, update := range batch.Updates {
		if isBinding(update) {
			t.Fatal("bound in safe mode")
		}
	}
	view := waitForView(t, controller, batch)
	if view.SafeModeEnded || view.ReadyReplicas != 2 || view.ListedReplicas != 3 {
		t.Fatalf("%+v", view)
	}
}

// Once each replica has been reported on, proxies are bound, and an acknowledgement is asked for with the same batch.
func TestSafeModeEndsOnReports(t *testing.T) {
	controller, env := startController(t, readyEndpoints(1, 2), testConfig())
	controller.ProxyConnected(7, 70, pubsubmsg.Join{Name: "till", ExpectedRate: 5}, 0)
	env.expectEvent(t, "admit 7 70")
	controller.LoadReported(0, []model.LoadReport{
		{Replica: id(1), Attempts: 5, MeanLatency: 1000, Window: model.Second},
		{Replica: id(2), Attempts: 5, MeanLatency: 1000, Window: model.Second},
	})
	batch := env.expectUpdate(t, isBinding, "a binding")
	if batch.AckSequence < 0 || batch.At == 0 {
		t.Fatalf("%+v", batch)
	}
	controller.Acknowledged(7, 70, uint32(batch.AckSequence))
	controller.ProxyDisconnected(7, 70)
	controller.ProxyConnected(7, 71, pubsubmsg.Join{Name: "till", ExpectedRate: 5}, 0)
	env.expectEvent(t, "admit 7 71")
	env.expectUpdate(t, isBinding, "a binding of the new stream")
}

// After a failed poll the controller subscribes again, and what is known stays.
func TestFailedPollKeepsTheList(t *testing.T) {
	controller, env := startController(t, readyEndpoints(1, 2), testConfig())
	controller.EndpointsChanged(model.PollFailed, nil)
	env.expectEvent(t, "subscribe")
	if view := controller.View(); view.ReadyReplicas != 2 {
		t.Fatalf("%+v", view)
	}
}

// A detail is copied only while DetailedView is called.
func TestDetailIsCopiedOnDemand(t *testing.T) {
	controller, env := startController(t, readyEndpoints(1, 2), testConfig())
	controller.ProxyConnected(7, 70, pubsubmsg.Join{Name: "till", ExpectedRate: 5}, 0)
	env.expectEvent(t, "admit 7 70")
	env.expectUpdate(t, isBinding, "a binding")
	if view := controller.View(); view.Detail != nil {
		t.Fatal("a detail is copied without a call of DetailedView")
	}
	deadline := time.Now().Add(10 * time.Second)
	for ; controller.DetailedView().Detail == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no detail comes")
		}
	}
	detail := controller.View().Detail
	if len(detail.Balancer.Replicas) != 2 || len(detail.Balancer.Proxies) != 1 ||
		detail.Proxies[7].Name != "till" || len(detail.Endpoints) != 2 {
		t.Fatalf("%+v", detail)
	}
}
