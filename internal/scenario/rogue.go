package scenario

import (
	"fmt"

	"github.com/rs/zerolog"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/discovery"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/snapshot"
	"peppervale/internal/standin"
)

// RogueKinds are the governors of the stand's own that break one rule each, so that the checker is seen to fail. Each
// binds all forwarders to one table of all replicas, and then does one thing wrong.
var RogueKinds = []string{
	"empty-table",      // takes every line back
	"repeats-anything", // orders further tries after any failure, for every operation
	"hides-drains",     // never withdraws what drains
	"full-to-cold",     // gives a started replica nearly all traffic at once
	"floods",           // sends every line to everybody, again and again
}

// rogue speaks the channel and reads the list like a governor; it is not one.
type rogue struct {
	kind    string
	name    string
	loop    *standin.Loop
	server  *pubsub.Server
	list    *discovery.ConsulClient
	line    pubsub.Config
	streams map[model.ProxyID]bool
	ready   map[model.ReplicaID]model.Endpoint
	receipt int
	began   model.Microseconds
}

const rogueTable = model.TableID(1)

func newRogue(d *play) (*rogue, error) {
	r := &rogue{kind: d.Rogue, name: "rogue", loop: d.loop, streams: map[model.ProxyID]bool{}, ready: map[model.ReplicaID]model.Endpoint{}, began: d.now()}
	var err error
	r.line = pubsub.Config{Listen: fmt.Sprintf("127.%d.254.1:7700", d.octet), Incarnation: 1, Zones: d.Zones, ReportPeriod: d.Terms.ReportPeriod,
		MessageOverhead: d.Terms.MessageOverhead, Pace: 1e6, Now: d.now, Log: zerolog.Nop()}
	if r.server, err = pubsub.Listen(r.line, r); err != nil {
		return nil, err
	}
	r.list, err = discovery.NewConsulClient(discovery.ConsulConfig{Address: d.list.Addr(), Service: serviceName, UserAgent: "peppervale/" + r.name, Zones: d.Zones,
		Wait: (5 * model.Second).Duration(), Timeout: (2 * model.Second).Duration(), Log: zerolog.Nop()}, r)
	if err != nil {
		r.server.Close()
		return nil, err
	}
	r.list.Subscribe()
	r.loop.After(200*model.Millisecond, r.beat)
	return r, nil
}

func (r *rogue) close() {
	r.list.Close()
	r.server.Close()
}

// ProxyConnected and the rest are what the channel and the list tell.
func (r *rogue) ProxyConnected(p model.ProxyID, stream uint64, _ pubsubmsg.Join, _ int) {
	r.loop.Post(func() {
		r.server.AdmitProxy(p, stream)
		r.streams[p] = true
		r.publish(snapshot.Update{Kind: snapshot.BindProxy, Proxy: p, Table: rogueTable})
	})
}

func (r *rogue) ProxyDisconnected(p model.ProxyID, _ uint64) {
	r.loop.Post(func() { delete(r.streams, p) })
}

func (r *rogue) Acknowledged(model.ProxyID, uint64, uint32) {}

func (r *rogue) LoadReported(int, []model.LoadReport) {}

// EndpointsChanged takes the list; but for what it hides it withdraws as it should.
func (r *rogue) EndpointsChanged(scope model.EndpointUpdate, entries []model.Endpoint) {
	r.loop.Post(func() {
		if scope == model.PollFailed {
			r.list.Subscribe()
			return
		}
		named := map[model.ReplicaID]bool{}
		var orders []snapshot.Update
		for _, e := range entries {
			if named[e.ID] = e.Status == model.EndpointReady; e.Status != model.EndpointReady {
				continue
			}
			if old, known := r.ready[e.ID]; !known || old.StartedAt != e.StartedAt {
				weight := 1.0
				if r.kind == "full-to-cold" && e.StartedAt > r.began {
					weight = 1000
				}
				orders = append(orders, snapshot.Update{Kind: snapshot.SetWeight, Table: rogueTable, Replica: e.ID, Weight: weight},
					snapshot.Update{Kind: snapshot.SetWithdrawn, Replica: e.ID})
			}
			r.ready[e.ID] = e
		}
		for id := range r.ready {
			if !named[id] {
				delete(r.ready, id)
				if r.kind != "hides-drains" {
					orders = append(orders, snapshot.Update{Kind: snapshot.SetWithdrawn, Replica: id, Withdrawn: true})
				}
			}
		}
		r.publish(orders...)
	})
}

func (r *rogue) publish(orders ...snapshot.Update) {
	if len(orders) > 0 {
		r.receipt = (r.receipt + 1) % 65536
		r.server.Publish(&snapshot.Batch{Updates: orders, AckSequence: r.receipt, At: r.line.Now()})
	}
}

// beat does what it does wrong, once the day has begun to run.
func (r *rogue) beat() {
	r.loop.After(200*model.Millisecond, r.beat)
	if r.line.Now()-r.began < 3*model.Second {
		return
	}
	switch r.kind {
	case "empty-table":
		var orders []snapshot.Update
		for id := range r.ready {
			orders = append(orders, snapshot.Update{Kind: snapshot.SetWeight, Table: rogueTable, Replica: id})
		}
		r.publish(orders...)
	case "repeats-anything":
		r.publish(snapshot.Update{Kind: snapshot.SetQuota, Quota: pubsubmsg.Quota{Operations: 0, Share: 1, RetryPolicy: model.RetryTwiceOnAnyFailure}})
	case "floods":
		for range 20 {
			var orders []snapshot.Update
			for id := range r.ready {
				orders = append(orders, snapshot.Update{Kind: snapshot.SetWeight, Table: rogueTable, Replica: id, Weight: 1})
			}
			r.publish(orders...)
		}
	}
}
