package snapshot

import (
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/model"
)

// A partial batch is sent to its recipients only; the others get its changes, as they are by then, with their next
// message.
func TestPartialBatchKeepsChangesOfOtherSubscribers(t *testing.T) {
	state := New(1, 6, UntilSnapshot)
	for proxy := range model.ProxyID(3) {
		state.Subscribe(proxy, "")
	}
	apply(state, weightUpdate(1, 1, 1), weightUpdate(1, 2, 1),
		Update{Kind: BindProxy, Proxy: 0, Table: 1}, Update{Kind: BindProxy, Proxy: 1, Table: 1})
	partial := func(sequence int, recipients []model.ProxyID, updates ...Update) []Delivery {
		return state.Apply(&Batch{AckSequence: sequence, Partial: true, Recipients: recipients, Updates: updates})
	}
	got := partial(1, []model.ProxyID{0}, weightUpdate(1, 1, 2), withdrawalUpdate(2, true))
	if len(got) != 1 || got[0].Subscriber.Proxy != 0 || len(got[0].Message.Withdrawals) != 1 {
		t.Fatalf("an update for one of three proxies: got %+v, want a message to proxy 0", got)
	}
	partial(2, nil, weightUpdate(1, 1, 3))
	got = partial(3, []model.ProxyID{1, 2})
	if len(got) != 2 {
		t.Fatalf("a batch without updates for two proxies: got %d messages, want 2", len(got))
	}
	bound, unbound := got[0].Message, got[1].Message
	if len(bound.Entries) != 1 || bound.Entries[0].Weight != 3 || len(bound.Withdrawals) != 1 ||
		bound.AckSequence != 3 {
		t.Fatalf("the kept changes: got %+v, want the newest weight, once, and the withdrawal", bound)
	}
	if len(unbound.Entries) != 0 || len(unbound.Withdrawals) != 1 {
		t.Fatalf("the kept changes of an unbound proxy: got %+v, want the withdrawal", unbound)
	}
	if got = partial(4, []model.ProxyID{1}); len(got) != 1 || len(got[0].Message.Entries) != 0 {
		t.Fatalf("after the kept changes were sent: got %+v, want a message without changes", got)
	}
}

// Guards against changes that are lost while they are kept: whatever is changed, and whoever gets a message, in
// whatever order, once everybody has got a last message each proxy shuts out exactly those replicas of its tables that
// are withdrawn, and what is kept stays bounded.
func TestKeptChangesLeaveProxiesWithTheSameWithdrawals(t *testing.T) {
	const proxies, replicas, tables = 3, 4, 2
	rapid.Check(t, func(t *rapid.T) {
		lifetime := rapid.SampledFrom([]WithdrawalLifetime{UntilSnapshot, UntilReadmission}).Draw(t, "lifetime")
		state := New(1, 6, lifetime)
		fleet := map[model.ProxyID]*modelProxy{}
		everybody := []model.ProxyID{}
		for proxy := range model.ProxyID(proxies) {
			state.Subscribe(proxy, "")
			fleet[proxy] = &modelProxy{lifetime, map[model.ReplicaID]bool{}}
			everybody = append(everybody, proxy)
		}
		publish := func(recipients []model.ProxyID, updates []Update) {
			batch := &Batch{AckSequence: NoAckSequence, Partial: true, Recipients: recipients, Updates: updates}
			for _, delivery := range state.Apply(batch) {
				fleet[delivery.Subscriber.Proxy].apply(delivery.Message)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			recipients := rapid.SliceOfDistinct(rapid.SampledFrom(everybody), rapid.ID).Draw(t, "recipients")
			var updates []Update
			for range rapid.IntRange(0, 4).Draw(t, "updates") {
				updates = append(updates, drawUpdate(t, replicas, tables, proxies))
			}
			for _, update := range updates {
				if update.Kind == BindProxy { // a bind is always sent at once
					recipients = append(recipients, update.Proxy)
				}
			}
			publish(recipients, updates)
			for _, subscriber := range state.Subscribers {
				if kept := subscriber.pending; kept != nil && len(kept.withdrawalChanges) > replicas {
					t.Fatalf("%d changes of withdrawals are kept, want at most %d", len(kept.withdrawalChanges), replicas)
				}
			}
		}
		publish(everybody, nil)
		for id, proxy := range fleet {
			requireSameWithdrawals(t, state, state.SubscribersByProxy[id], proxy)
		}
	})
}
