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

// Proxy settings that are not in the stand-in's file.
const (
	retryableAttemptShare = 0.8 // timeout of an attempt that may be retried, as a share of the objective
	proxyDialTimeout      = 250 * model.Millisecond
	proxyIdleTimeout      = 15 * model.Second // of an unused connection to a replica

	workSpread = 0.5 // coefficient of variation of the work per request
)

// StandInProxy is the command `peppervale standin proxy`.
type StandInProxy struct {
	Config string `help:"Configuration file of the stand-in proxy (HCL)." required:"" type:"existingfile"`
}

// proxySettings is the content of a proxy's file: the proxy and the requests that it sends.
type proxySettings struct {
	proxy         proxy.Config
	standingTable []invariants.TableEntry
	operations    []config.Operation
	meanWork      model.Microseconds // per request
	seed          uint64
}

// readProxy reads a proxy's file. The numbers in the calls of Float, Duration and Int are the default, the minimum and
// the maximum of a setting; the unit of a duration is the microsecond.
func readProxy(top *config.Block) proxySettings {
	var settings proxySettings
	zones := top.Strings("zones", true)
	settings.operations = config.ReadOperations(top)
	block := top.SingleBlock("forwarder", 1, true)
	settings.proxy = proxy.Config{
		Name:                  block.Labels[0],
		Zone:                  block.String("zone", "", zones...),
		ExpectedRate:          block.Float("rate", 5, 0.01, 10_000),
		Pick:                  proxy.Pick(block.String("pick", "pair", "lottery", "wheel", "pair")),
		DefaultRetryPolicy:    model.RetryIfNotExecuted,
		RetryableAttemptShare: retryableAttemptShare,
		RedialInterval:        block.Duration("redial", 200*model.Millisecond, model.Millisecond, maxStandInDuration),
		DialTimeout:           proxyDialTimeout,
		IdleTimeout:           proxyIdleTimeout,
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

// readStandingTable reads the table that a proxy uses until it receives one from an instance.
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
	generator := &requestGenerator{settings: settings, loop: loop, random: standin.NewRandom(settings.seed, "load")}
	loop.Do(func() {
		generator.proxy = proxy.New(loop, engine, settings.proxy, settings.seed, ignoreObservation)
		generator.proxy.Start(settings.standingTable)
		generator.scheduleRequest()
	})
	defer loop.Do(generator.proxy.Kill)
	callPeriodically(ctx, standInStatisticsInterval, func() {
		loop.Do(func() { generator.writeStatistics(out) })
	})
	return nil
}

// requestGenerator makes a proxy send requests at random intervals. Its methods run on the loop.
type requestGenerator struct {
	settings proxySettings
	loop     *standin.Loop
	random   *standin.Random
	proxy    *proxy.Proxy

	requests, withinObjective uint64
}

// scheduleRequest sends a request after a random interval, then schedules the next request.
func (g *requestGenerator) scheduleRequest() {
	seconds := g.random.Interval(g.settings.proxy.ExpectedRate)
	g.loop.After(model.Microseconds(seconds*float64(model.Second)), func() {
		g.sendRequest()
		g.scheduleRequest()
	})
}

// sendRequest sends a request with a random operation and a random amount of work.
func (g *requestGenerator) sendRequest() {
	g.requests++
	operation := g.random.IntN(len(g.settings.operations))
	objective := g.settings.operations[operation].LatencyObjective
	g.proxy.HandleRequest(&proxy.Request{
		Number:    g.requests,
		Operation: operation,
		Work:      float64(g.settings.meanWork) * g.random.LogNormal(workSpread),
		Done: func(result proxy.Result, latency model.Microseconds) {
			if result == proxy.Succeeded && latency <= objective {
				g.withinObjective++
			}
		},
	})
}

func (g *requestGenerator) writeStatistics(out io.Writer) {
	printf(out, "joined to %q, bound %v, %d lines held; %d asked, %d within the objective; %d messages\n",
		g.proxy.JoinedInstance(), g.proxy.Bound(), len(g.proxy.HeldEntries()), g.requests, g.withinObjective,
		g.proxy.Messages)
}
