package platform

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// modelProxy applies updates as the platform's protocol page describes it: it keeps what it shuts out across streams,
// and only a readmission ends a withdrawal.
type modelProxy struct {
	weights   map[string]float64
	withdrawn map[string]bool
}

func (p *modelProxy) apply(update platformmsg.Update) {
	if update.Full {
		clear(p.weights)
	}
	for _, entry := range update.Entries {
		p.weights[entry.Replica] = entry.Weight
		if entry.Weight == 0 {
			delete(p.weights, entry.Replica)
		}
	}
	for _, replica := range update.Withdrawn {
		p.withdrawn[replica] = true
	}
	for _, replica := range update.Readmitted {
		delete(p.withdrawn, replica)
	}
}

// withdrawalPlay is an instance with one proxy, of which both lose what they hold at different times.
type withdrawalPlay struct {
	t      *rapid.T
	server *Server
	stream *stream
	bound  bool
	proxy  *modelProxy
}

const (
	playedReplicas = 5
	playedProxy    = model.ProxyID(7)
)

func newWithdrawalPlay(t *rapid.T) *withdrawalPlay {
	names := platformmsg.NewReplicaNames()
	for n := range playedReplicas {
		names.Register(fmt.Sprint("s-", n))
	}
	play := &withdrawalPlay{
		t:      t,
		server: &Server{config: Config{ReplicaNames: names, Operations: []string{"read", "log"}}},
		proxy:  &modelProxy{weights: map[string]float64{}, withdrawn: map[string]bool{}},
	}
	play.restart()
	return play
}

// restart starts another life of the instance, which knows nothing of the former one. The proxy joins it.
func (p *withdrawalPlay) restart() {
	p.server.publishedState = snapshot.New(1, 6, snapshot.UntilReadmission)
	p.join()
}

// join begins a new stream of the proxy.
func (p *withdrawalPlay) join() {
	p.bound = false
	p.stream = &stream{proxy: playedProxy}
	p.server.admit(p.stream)
}

// publish publishes updates; lost: the stream breaks while the messages are on their way.
func (p *withdrawalPlay) publish(lost bool, updates ...snapshot.Update) {
	batch := &snapshot.Batch{AckSequence: snapshot.NoAckSequence, Updates: updates}
	for _, delivery := range p.server.publishedState.Apply(batch) {
		if update := p.server.buildUpdate(p.stream, delivery); !lost {
			p.proxy.apply(update)
		}
	}
	if lost {
		p.join()
	}
}

func (p *withdrawalPlay) replica(n int) model.ReplicaID {
	id, known := p.server.config.ReplicaNames.ID(fmt.Sprint("s-", n))
	if !known {
		p.t.Fatalf("replica %d has no id", n)
	}
	return id
}

func (p *withdrawalPlay) setWeight(n int, weight float64) snapshot.Update {
	return snapshot.Update{Kind: snapshot.SetWeight, Table: 1, Replica: p.replica(n), Weight: weight}
}

func (p *withdrawalPlay) setWithdrawn(n int, withdrawn bool) snapshot.Update {
	return snapshot.Update{Kind: snapshot.SetWithdrawn, Replica: p.replica(n), Withdrawn: withdrawn}
}

// bind binds the proxy. Any replicas may be those that the balancer takes for withdrawn by others.
func (p *withdrawalPlay) bind() snapshot.Update {
	p.bound = true
	update := snapshot.Update{Kind: snapshot.BindProxy, Proxy: playedProxy, Table: 1}
	for n := range playedReplicas {
		isWithdrawn := p.stream.subscriber.IsWithdrawn(p.replica(n))
		if !isWithdrawn && rapid.Bool().Draw(p.t, "readmitted with the bind") {
			update.Readmitted = append(update.Readmitted, p.replica(n))
		}
	}
	return update
}

func (p *withdrawalPlay) applyRandomEvent() {
	n := rapid.IntRange(0, playedReplicas-1).Draw(p.t, "replica")
	lost := rapid.IntRange(0, 4).Draw(p.t, "lost") == 0
	switch rapid.IntRange(0, 6).Draw(p.t, "event") {
	case 0:
		p.restart()
	case 1:
		p.join()
	case 2:
		if !p.bound {
			p.publish(lost, p.bind())
		}
	case 3, 4:
		p.publish(lost, p.setWithdrawn(n, rapid.Bool().Draw(p.t, "withdrawn")))
	default:
		p.publish(lost, p.setWeight(n, float64(rapid.IntRange(0, 2).Draw(p.t, "weight"))))
	}
}

// Whatever order binds, withdrawals, readmissions, broken streams and restarts come in, and whatever is lost on the
// way: once nothing is withdrawn any more and the proxy is bound, it can pick every replica of its table after a
// bounded number of messages. Guards against withdrawals that nothing ends (shut-out-new of the review).
func TestNoWithdrawalOutlastsItsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		play := newWithdrawalPlay(t)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			play.applyRandomEvent()
		}
		for _, replica := range slices.Clone(play.server.publishedState.Withdrawn) {
			play.publish(false, snapshot.Update{Kind: snapshot.SetWithdrawn, Replica: replica})
		}
		for n := range playedReplicas {
			play.publish(false, play.setWeight(n, 1))
		}
		if !play.bound {
			play.publish(false, play.bind())
		}
		for round := range playedReplicas {
			play.publish(false, play.setWeight(0, float64(2+round)))
		}
		for replica := range play.proxy.weights {
			if play.proxy.withdrawn[replica] {
				t.Fatalf("%s is in the table and still withdrawn", replica)
			}
		}
		if len(play.proxy.weights) != playedReplicas {
			t.Fatalf("the table has %d entries, want %d", len(play.proxy.weights), playedReplicas)
		}
	})
}
