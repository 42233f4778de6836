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

// environment replaces the proxy server and endpoint discovery and records the calls to them.
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
			t.Fatalf("got event %q, want %q", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("event %q was not received within 10 s", want)
	}
}

// expectUpdate receives batches until one contains a matching update, and returns that batch.
func (e *environment) expectUpdate(t *testing.T, match func(snapshot.Update) bool, description string) *snapshot.Batch {
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
			t.Fatalf("%s was not published within 20 s", description)
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

// waitForView waits for the view of the step that published a batch; the step stores it after publishing the batch.
func waitForView(t *testing.T, controller *Controller, batch *snapshot.Batch) *View {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if view := controller.View(); view != nil && view.At >= batch.At {
			return view
		}
	}
	t.Fatal("no view was stored within 10 s after a batch was published")
	return nil
}

// In safe mode, before every listed replica has been named in a load report, no proxy is bound, but withdrawals are
// published.
func TestSafeModePublishesWithdrawalsOnly(t *testing.T) {
	config := testConfig()
	config.ReportPeriod = 5 * model.Second // the start window does not end within this test
	controller, env := startController(t, readyEndpoints(1, 2, 3), config)
	controller.ProxyConnected(7, 70, pubsubmsg.Join{Name: "proxy-1", ExpectedRate: 5}, 0)
	env.expectEvent(t, "admit 7 70")
	draining := model.Endpoint{ID: id(3), Status: model.EndpointDraining}
	controller.EndpointsChanged(model.FullList, append(readyEndpoints(1, 2), draining))
	batch := env.expectUpdate(t, func(update snapshot.Update) bool {
		return update.Kind == snapshot.SetWithdrawn && update.Withdrawn && update.Replica == id(3)
	}, "the draining replica's withdrawal")
	for _, update := range batch.Updates {
		if isBinding(update) {
			t.Fatal("a proxy was bound in safe mode")
		}
	}
	view := waitForView(t, controller, batch)
	if view.SafeModeEnded || view.ReadyReplicas != 2 || view.ListedReplicas != 3 {
		t.Fatalf("got view %+v, want safe mode with 2 ready of 3 listed replicas", view)
	}
}

// Once every replica has been named in a load report, proxies are bound, and the same batch requests an
// acknowledgement.
func TestProxiesAreBoundWhenAllReplicasAreReported(t *testing.T) {
	controller, env := startController(t, readyEndpoints(1, 2), testConfig())
	controller.ProxyConnected(7, 70, pubsubmsg.Join{Name: "proxy-1", ExpectedRate: 5}, 0)
	env.expectEvent(t, "admit 7 70")
	controller.LoadReported(0, []model.LoadReport{
		{Replica: id(1), Attempts: 5, MeanLatency: 1000, Window: model.Second},
		{Replica: id(2), Attempts: 5, MeanLatency: 1000, Window: model.Second},
	})
	batch := env.expectUpdate(t, isBinding, "a binding")
	if batch.AckSequence < 0 || batch.At == 0 {
		t.Fatalf("got batch %+v, want an acknowledgement request and a time", batch)
	}
	controller.Acknowledged(7, 70, uint32(batch.AckSequence))
	controller.ProxyDisconnected(7, 70)
	controller.ProxyConnected(7, 71, pubsubmsg.Join{Name: "proxy-1", ExpectedRate: 5}, 0)
	env.expectEvent(t, "admit 7 71")
	env.expectUpdate(t, isBinding, "a binding after the proxy reconnected")
}

// After a failed poll the controller subscribes again and keeps the endpoint list.
func TestFailedPollKeepsEndpointList(t *testing.T) {
	controller, env := startController(t, readyEndpoints(1, 2), testConfig())
	controller.EndpointsChanged(model.PollFailed, nil)
	env.expectEvent(t, "subscribe")
	if view := controller.View(); view.ReadyReplicas != 2 {
		t.Fatalf("got view %+v, want 2 ready replicas", view)
	}
}

// Guards against an instance that follows no endpoint list any more: a poll fails while a list waits for the same step.
func TestSubscribesAgainIfPollFailsWhileListWaits(t *testing.T) {
	controller := New(testConfig(), 1000, NewClock(), zerolog.Nop())
	env := newEnvironment(10_000)
	controller.EndpointsChanged(model.FullList, readyEndpoints(1, 2))
	controller.EndpointsChanged(model.PollFailed, nil)
	go controller.Run(env, env, nil)
	t.Cleanup(controller.Stop)
	env.expectEvent(t, "subscribe") // at the start
	env.expectEvent(t, "subscribe") // after the failure
	if view := controller.View(); view.ReadyReplicas != 2 || view.FailedPolls != 1 {
		t.Fatalf("got view %+v, want 2 ready replicas and 1 failed poll", view)
	}
}

// A detail is copied only while DetailedView is called.
func TestDetailIsCopiedWhenDetailedViewIsCalled(t *testing.T) {
	controller, env := startController(t, readyEndpoints(1, 2), testConfig())
	controller.ProxyConnected(7, 70, pubsubmsg.Join{Name: "proxy-1", ExpectedRate: 5}, 0)
	env.expectEvent(t, "admit 7 70")
	env.expectUpdate(t, isBinding, "a binding")
	if view := controller.View(); view.Detail != nil {
		t.Fatal("a detail was copied without a call of DetailedView")
	}
	deadline := time.Now().Add(10 * time.Second)
	for ; controller.DetailedView().Detail == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no detail was copied within 10 s after a call of DetailedView")
		}
	}
	detail := controller.View().Detail
	if len(detail.Balancer.Replicas) != 2 || len(detail.Balancer.Proxies) != 1 ||
		detail.Proxies[7].Name != "proxy-1" || len(detail.Endpoints) != 2 {
		t.Fatalf("got detail %+v, want 2 replicas, 2 endpoints and the proxy proxy-1", detail)
	}
}
