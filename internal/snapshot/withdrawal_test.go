package snapshot

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// Guards against a bound proxy that shuts out a replica for good: a bind in the step of a readmission must not lose the
// readmission where only a readmission ends a withdrawal.
func TestBindKeepsReadmissionOfSameStep(t *testing.T) {
	readmission := func(n byte) []pubsubmsg.Withdrawal { return []pubsubmsg.Withdrawal{{Replica: id(n)}} }
	for name, tt := range map[string]struct {
		lifetime   WithdrawalLifetime
		wantInBind []pubsubmsg.Withdrawal
		wantLater  []pubsubmsg.Withdrawal // with the first entry for replica 2
	}{
		"a snapshot ends it":         {UntilSnapshot, nil, nil},
		"only a readmission ends it": {UntilReadmission, readmission(1), readmission(2)},
	} {
		t.Run(name, func(t *testing.T) {
			state := New(1, 6, tt.lifetime)
			state.Subscribe(7, "7")
			apply(state, withdrawalUpdate(1, true), withdrawalUpdate(2, true))
			got := apply(state, withdrawalUpdate(1, false), withdrawalUpdate(2, false), weightUpdate(1, 1, 1),
				Update{Kind: BindProxy, Proxy: 7, Table: 1})
			requireWithdrawals(t, got, tt.wantInBind)
			requireWithdrawals(t, apply(state, weightUpdate(1, 2, 1)), tt.wantLater)
		})
	}
}

func requireWithdrawals(t *testing.T, deliveries []Delivery, want []pubsubmsg.Withdrawal) {
	t.Helper()
	if len(deliveries) != 1 {
		t.Fatalf("%d messages, want 1", len(deliveries))
	}
	if got := deliveries[0].Message.Withdrawals; !slices.Equal(got, want) {
		t.Fatalf("withdrawals %+v, want %+v", got, want)
	}
}

// modelProxy is a proxy that applies messages as its protocol has it.
type modelProxy struct {
	lifetime  WithdrawalLifetime
	withdrawn map[model.ReplicaID]bool
}

func (p *modelProxy) apply(message *pubsubmsg.Message) {
	if message.Full && message.Bound && p.lifetime == UntilSnapshot {
		clear(p.withdrawn)
	}
	for _, withdrawal := range message.Withdrawals {
		p.withdrawn[withdrawal.Replica] = withdrawal.Withdrawn
	}
}

// drawUpdate draws a change of a weight, a bind, a withdrawal or a readmission.
func drawUpdate(t *rapid.T, replicas, tables, proxies int) Update {
	replica := byte(rapid.IntRange(1, replicas).Draw(t, "replica"))
	table := model.TableID(rapid.IntRange(1, tables).Draw(t, "table"))
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return weightUpdate(table, replica, float64(rapid.IntRange(0, 2).Draw(t, "weight")))
	case 1:
		proxy := model.ProxyID(rapid.IntRange(0, proxies-1).Draw(t, "proxy"))
		return Update{Kind: BindProxy, Proxy: proxy, Table: table}
	default:
		return withdrawalUpdate(replica, rapid.Bool().Draw(t, "withdrawn"))
	}
}

// Guards against withdrawals that a proxy and its controller see differently: whatever is withdrawn, readmitted, added,
// removed and bound in whatever steps, a proxy shuts out exactly those replicas of its tables that are withdrawn.
func TestProxiesShutOutExactlyWhatIsWithdrawn(t *testing.T) {
	const replicas, proxies, tables = 4, 3, 2
	rapid.Check(t, func(t *rapid.T) {
		lifetime := rapid.SampledFrom([]WithdrawalLifetime{UntilSnapshot, UntilReadmission}).Draw(t, "lifetime")
		state := New(1, 6, lifetime)
		fleet := map[model.ProxyID]*modelProxy{}
		for proxy := range model.ProxyID(proxies) {
			state.Subscribe(proxy, "")
			fleet[proxy] = &modelProxy{lifetime, map[model.ReplicaID]bool{}}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			var updates []Update
			for range rapid.IntRange(1, 4).Draw(t, "updates") {
				updates = append(updates, drawUpdate(t, replicas, tables, proxies))
			}
			for _, delivery := range apply(state, updates...) {
				fleet[delivery.Subscriber.Proxy].apply(delivery.Message)
			}
			for id, proxy := range fleet {
				requireSameWithdrawals(t, state, state.SubscribersByProxy[id], proxy)
			}
		}
	})
}

func requireSameWithdrawals(t *rapid.T, state *State, subscriber *Subscriber, proxy *modelProxy) {
	for n := byte(1); n <= 4; n++ {
		replica := id(n)
		if subscriber.mayUse(replica) && proxy.withdrawn[replica] != state.isWithdrawn[replica] {
			t.Fatalf("proxy %d: replica %d withdrawn %t, want %t", subscriber.Proxy, n, proxy.withdrawn[replica],
				state.isWithdrawn[replica])
		}
	}
}
