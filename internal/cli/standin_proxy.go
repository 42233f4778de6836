package cli

import (
	"context"
	"fmt"
	"io"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
)

// What a stand-in proxy's file does not set.
const (
	firstAttemptShare = 0.8 // of the latency objective, for an attempt that may be retried
	proxyDialTimeout  = 250 * model.Millisecond
	proxyIdleTimeout  = 15 * model.Second

	workSpread = 0.5 // coefficient of variation of the requests' work
)

// StandInProxy is peppervale standin proxy.
type StandInProxy struct {
	Config string `help:"The stand-in's file, HCL." required:"" type:"existingfile"`
}

// proxySettings is the file of a proxy and its load.
type proxySettings struct {
	proxy         proxy.Config
	standingTable []invariants.TableEntry
	operations    []config.Operation
	meanWork      model.Microseconds // of a request
	seed          uint64
}

func readProxy(top *config.Block) proxySettings {
	var settings proxySettings
	zones := top.Strings("zones", true)
	settings.operations = config.ReadOperations(top)
	block := top.SingleBlock("forwarder", 1, true)
	settings.proxy = proxy.Config{
		Name:               block.Labels[0],
		Zone:               block.String("zone", "", zones...),
		ExpectedRate:       block.Float("rate", 5, 0.01, 10_000),
		Pick:               proxy.Pick(block.String("pick", "pair", "lottery", "wheel", "pair")),
		DefaultRetryPolicy: model.RetryIfNotExecuted,
		FirstAttemptShare:  firstAttemptShare,
		RedialInterval:     block.Duration("redial", 200*model.Millisecond, model.Millisecond, maxStandInDuration),
		DialTimeout:        proxyDialTimeout,
		IdleTimeout:        proxyIdleTimeout,
	}
	for i, address := range block.Strings("governors", true) {
		instance := proxy.Instance{Name: fmt.Sprint("governor-", i+1), Address: address}
		settings.proxy.Instances = append(settings.proxy.Instances, instance)
	}
	settings.standingTable = readStandingTable(block)
	settings.meanWork = block.Duration("work", 100*model.Millisecond, 1, maxStandInDuration)
	settings.seed = uint64(block.Int("seed", 1, 0, 1<<30))
	block.RejectUnknown()
	for _, operation := range settings.operations {
		settings.proxy.Operations = append(settings.proxy.Operations,
			proxy.Operation{LatencyObjective: operation.LatencyObjective, Timeout: operation.Timeout})
	}
	return settings
}

// readStandingTable reads the table that a proxy uses until an instance sends it one.
func readStandingTable(block *config.Block) []invariants.TableEntry {
	var table []invariants.TableEntry
	for _, address := range block.Strings("standing", true) {
		id, err := pubsubmsg.ParseAddress(address)
		if err != nil {
			block.AddError("standing", "standing: %v", err)
		}
		table = append(table, invariants.TableEntry{Replica: id, Weight: 1})
	}
	return table
}

// Run sends requests until the context is done.
func (c *StandInProxy) Run(ctx context.Context, out io.Writer) error {
	settings, err := openStandInFile(c.Config, readProxy)
	if err != nil {
		return err
	}
	engine, err := proxy.NewEngine()
	if err != nil {
		return err
	}
	defer engine.Stop()
	loop := standin.NewLoop(controller.NewClock())
	defer loop.Stop()
	load := &proxyLoad{settings: settings, loop: loop, random: standin.NewRandom(settings.seed, "load")}
	loop.Do(func() {
		load.proxy = proxy.New(loop, engine, settings.proxy, settings.seed, ignoreObservation)
		load.proxy.Start(settings.standingTable)
		load.scheduleRequest()
	})
	defer loop.Do(load.proxy.Kill)
	repeat(ctx, standInStatisticsInterval, func() {
		loop.Do(func() { load.writeStatistics(out) })
	})
	return nil
}

// proxyLoad has a proxy send requests at random times. All of it runs on the loop.
type proxyLoad struct {
	settings proxySettings
	loop     *standin.Loop
	random   *standin.Random
	proxy    *proxy.Proxy

	requests, withinObjective uint64
}

// scheduleRequest sends a request after a random time, and then schedules the next one.
func (l *proxyLoad) scheduleRequest() {
	seconds := l.random.Interval(l.settings.proxy.ExpectedRate)
	l.loop.After(model.Microseconds(seconds*float64(model.Second)), func() {
		l.sendRequest()
		l.scheduleRequest()
	})
}

// sendRequest sends a request of a random operation and size.
func (l *proxyLoad) sendRequest() {
	l.requests++
	operation := l.random.IntN(len(l.settings.operations))
	objective := l.settings.operations[operation].LatencyObjective
	l.proxy.HandleRequest(&proxy.Request{
		Number:    l.requests,
		Operation: operation,
		Work:      float64(l.settings.meanWork) * l.random.LogNormal(workSpread),
		Done: func(result proxy.Result, latency model.Microseconds) {
			if result == proxy.Succeeded && latency <= objective {
				l.withinObjective++
			}
		},
	})
}

func (l *proxyLoad) writeStatistics(out io.Writer) {
	printf(out, "joined to %q, bound %v, %d lines held; %d asked, %d within the objective; %d messages\n",
		l.proxy.JoinedInstance(), l.proxy.Bound(), len(l.proxy.HeldEntries()),
		l.requests, l.withinObjective, l.proxy.Messages)
}
