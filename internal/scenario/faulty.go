package scenario

import (
	"github.com/rs/zerolog"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/discovery"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/snapshot"
	"peppervale/internal/standin"
)

// The kinds of faulty controllers, as written in scenario files.
const (
	emptyTableFault    = "empty-table"      // removes every table entry
	retryAnythingFault = "repeats-anything" // orders retries after any failure, for every operation
	hiddenDrainsFault  = "hides-drains"     // never withdraws draining replicas
	coldOverloadFault  = "full-to-cold"     // gives a started replica nearly all traffic at once
	messageFloodFault  = "floods"           // sends every entry to every proxy repeatedly
)

// FaultyControllerKinds are the kinds of faulty controllers. Each binds all proxies to one table of all replicas and
// then violates one invariant. Scenarios with them show that the check of that invariant detects a violation.
var FaultyControllerKinds = []string{
	emptyTableFault, retryAnythingFault, hiddenDrainsFault, coldOverloadFault, messageFloodFault,
}

const (
	faultyControllerName = "rogue"
	faultyTable          = model.TableID(1)
	faultyTickInterval   = 200 * model.Millisecond
	faultyStartDelay     = 3 * model.Second // from the creation of the controller to the first faulty update of tick
	faultyColdWeight     = 1000             // of a replica that started after the controller; others have weight 1
	floodBatchesPerTick  = 20               // how often a tick publishes all entries
	faultyEntryRate      = 1e6              // entries per second
	ackSequenceLimit     = 65536
)

// faultyController serves the publish-subscribe channel and subscribes to the registry like an instance. Its fields may
// be accessed on the goroutine of loop only.
type faultyController struct {
	kind           string
	loop           *standin.Loop
	now            func() model.Microseconds
	server         *pubsub.Server
	registry       *discovery.ConsulClient
	proxies        map[model.ProxyID]bool
	readyEndpoints map[model.ReplicaID]model.Endpoint
	ackSequence    int
	startedAt      model.Microseconds
}

func newFaultyController(run *runner) (*faultyController, error) {
	controller := &faultyController{
		kind:           run.script.FaultyController,
		loop:           run.loop,
		now:            run.now,
		proxies:        map[model.ProxyID]bool{},
		readyEndpoints: map[model.ReplicaID]model.Endpoint{},
		startedAt:      run.now(),
	}
	var err error
	controller.server, err = pubsub.Listen(pubsub.Config{
		Listen:           run.network.instanceAddress(0, channelPort),
		Incarnation:      1,
		Zones:            run.script.Zones,
		ReportPeriod:     run.script.Balancer.ReportPeriod,
		MessageOverhead:  run.script.Balancer.MessageOverhead,
		EntriesPerSecond: faultyEntryRate,
		Now:              run.now,
		Log:              zerolog.Nop(),
	}, controller)
	if err != nil {
		return nil, err
	}
	controller.registry, err = discovery.NewConsulClient(discovery.ConsulConfig{
		Address:   run.registry.Addr(),
		Service:   serviceName,
		UserAgent: "peppervale/" + faultyControllerName,
		Zones:     run.script.Zones,
		Wait:      (5 * model.Second).Duration(),
		Timeout:   (2 * model.Second).Duration(),
		Log:       zerolog.Nop(),
	}, controller)
	if err != nil {
		controller.server.Close()
		return nil, err
	}
	controller.registry.Subscribe()
	controller.loop.After(faultyTickInterval, controller.tick)
	return controller, nil
}

func (c *faultyController) close() {
	c.registry.Close()
	c.server.Close()
}

// ProxyConnected admits the proxy and binds it to faultyTable.
func (c *faultyController) ProxyConnected(proxy model.ProxyID, stream uint64, _ pubsubmsg.Join, _ int) {
	c.loop.Post(func() {
		c.server.AdmitProxy(proxy, stream)
		c.proxies[proxy] = true
		c.publish(snapshot.Update{Kind: snapshot.BindProxy, Proxy: proxy, Table: faultyTable})
	})
}

// ProxyDisconnected removes the proxy.
func (c *faultyController) ProxyDisconnected(proxy model.ProxyID, _ uint64) {
	c.loop.Post(func() { delete(c.proxies, proxy) })
}

// Acknowledged does nothing.
func (c *faultyController) Acknowledged(model.ProxyID, uint64, uint32) {}

// LoadReported does nothing.
func (c *faultyController) LoadReported(int, []model.LoadReport) {}

// EndpointsChanged publishes the endpoint list. All kinds but hiddenDrainsFault withdraw the replicas that are not
// ready.
func (c *faultyController) EndpointsChanged(scope model.EndpointUpdate, endpoints []model.Endpoint) {
	c.loop.Post(func() {
		if scope == model.PollFailed {
			c.registry.Subscribe()
			return
		}
		updates := c.addReady(endpoints)
		updates = append(updates, c.withdrawMissing(endpoints)...)
		c.publish(updates...)
	})
}

// addReady records the ready endpoints and returns the updates for the new and restarted ones.
func (c *faultyController) addReady(endpoints []model.Endpoint) []snapshot.Update {
	var updates []snapshot.Update
	for _, endpoint := range endpoints {
		if endpoint.Status != model.EndpointReady {
			continue
		}
		previous, known := c.readyEndpoints[endpoint.ID]
		if !known || previous.StartedAt != endpoint.StartedAt {
			updates = append(updates,
				setWeight(endpoint.ID, c.initialWeight(endpoint)),
				snapshot.Update{Kind: snapshot.SetWithdrawn, Replica: endpoint.ID})
		}
		c.readyEndpoints[endpoint.ID] = endpoint
	}
	return updates
}

func (c *faultyController) initialWeight(endpoint model.Endpoint) float64 {
	if c.kind == coldOverloadFault && endpoint.StartedAt > c.startedAt {
		return faultyColdWeight
	}
	return 1
}

// withdrawMissing removes the replicas that are no longer ready and returns the updates that withdraw them.
func (c *faultyController) withdrawMissing(endpoints []model.Endpoint) []snapshot.Update {
	isReady := map[model.ReplicaID]bool{}
	for _, endpoint := range endpoints {
		isReady[endpoint.ID] = endpoint.Status == model.EndpointReady
	}
	var updates []snapshot.Update
	for id := range c.readyEndpoints {
		if isReady[id] {
			continue
		}
		delete(c.readyEndpoints, id)
		if c.kind != hiddenDrainsFault {
			updates = append(updates, snapshot.Update{Kind: snapshot.SetWithdrawn, Replica: id, Withdrawn: true})
		}
	}
	return updates
}

func (c *faultyController) publish(updates ...snapshot.Update) {
	if len(updates) == 0 {
		return
	}
	c.ackSequence = (c.ackSequence + 1) % ackSequenceLimit
	c.server.Publish(&snapshot.Batch{Updates: updates, AckSequence: c.ackSequence, At: c.now()})
}

// tick publishes the faulty updates of the controller's kind every faultyTickInterval, after faultyStartDelay. The
// faults of hiddenDrainsFault and coldOverloadFault are in EndpointsChanged.
func (c *faultyController) tick() {
	c.loop.After(faultyTickInterval, c.tick)
	if c.now()-c.startedAt < faultyStartDelay {
		return
	}
	switch c.kind {
	case emptyTableFault:
		c.publish(c.setAllWeights(0)...)
	case retryAnythingFault:
		quota := pubsubmsg.Quota{Operations: 0, Share: 1, RetryPolicy: model.RetryTwiceOnAnyFailure}
		c.publish(snapshot.Update{Kind: snapshot.SetQuota, Quota: quota})
	case messageFloodFault:
		for range floodBatchesPerTick {
			c.publish(c.setAllWeights(1)...)
		}
	}
}

func (c *faultyController) setAllWeights(weight float64) []snapshot.Update {
	var updates []snapshot.Update
	for id := range c.readyEndpoints {
		updates = append(updates, setWeight(id, weight))
	}
	return updates
}

func setWeight(id model.ReplicaID, weight float64) snapshot.Update {
	return snapshot.Update{Kind: snapshot.SetWeight, Table: faultyTable, Replica: id, Weight: weight}
}
