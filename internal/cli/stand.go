package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
	"peppervale/internal/standin/replica"
)

// Stand is peppervale stand: one stand-in, to try a governor against by hand.
type Stand struct {
	Replica   StandReplica   `cmd:"" help:"Serve invocations as a replica would."`
	Forwarder StandForwarder `cmd:"" help:"Join a governor and send invocations by its tables."`
	Registry  StandRegistry  `cmd:"" help:"Serve a machine list; the file is read again each second."`
}

const longest = 3600 * model.Second

func unseen(invariants.Seen) {}

// open reads a stand-in's file; what goes wrong is input.
func open[T any](path string, read func(top *config.Block) T) (T, error) {
	r, top := config.Open(path)
	var v T
	if top != nil {
		v = read(top)
		top.Done()
	}
	if err := r.Err(); err != nil {
		return v, fmt.Errorf("%w:\n%w", ErrInput, err)
	}
	return v, nil
}

// address reads an address with a port as a replica's id.
func address(b *config.Block, name string) model.ReplicaID {
	text := b.Address(name, false)
	id, err := pubsubmsg.ParseAddress(text)
	if err != nil && text != "" {
		b.Fault(name, "%s: %v", name, err)
	}
	return id
}

// StandReplica is peppervale stand replica.
type StandReplica struct {
	Config string `help:"The stand-in's file, HCL." required:"" type:"existingfile"`
}

type replicaFile struct {
	facts   replica.Facts
	windows []model.Microseconds
	cold    bool
}

func readReplica(top *config.Block) (f replicaFile) {
	for _, o := range config.Operations(top) {
		f.windows = append(f.windows, o.Window)
	}
	b := top.One("replica", 0, true)
	f.facts = replica.Facts{ID: address(b, "listen"), Zone: b.Text("zone", ""), Bay: b.Text("bay", "bay"), Cores: b.Whole("cores", 2, 1, 1000),
		Speed: b.Number("speed", 1, 0.01, 100), Waiting: b.Whole("waiting", 20, 0, 1_000_000), Connections: b.Whole("connections", 200, 1, 1_000_000),
		ColdShare: b.Number("cold_share", 0.25, 0.01, 1), ColdSpan: b.Span("cold_span", 8*model.Second, 0, longest),
		ReportEvery: b.Span("report_every", 500*model.Millisecond, 0, longest)}
	f.cold = b.Yes("cold", true)
	b.Done()
	return f
}

// Run is the command.
func (c *StandReplica) Run(ctx context.Context, out io.Writer) error {
	f, err := open(c.Config, readReplica)
	if err != nil {
		return err
	}
	loop := standin.NewLoop(controller.Clock())
	defer loop.Stop()
	var r *replica.Replica
	loop.Do(func() {
		r = replica.New(loop, f.facts, replica.NewBay(), f.windows, unseen)
		err = r.Start(f.cold)
	})
	if err != nil {
		return err
	}
	defer loop.Do(r.Stop)
	fmt.Fprintf(out, "replica %s serves\n", pubsubmsg.Address(f.facts.ID))
	every(ctx, 5*time.Second, func() {
		loop.Do(func() { fmt.Fprintf(out, "served %d\n", r.Served) })
	})
	return nil
}

// every calls f until the context ends.
func every(ctx context.Context, span time.Duration, f func()) {
	tick := time.NewTicker(span)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}

// StandRegistry is peppervale stand registry.
type StandRegistry struct {
	Config string `help:"The stand-in's file, HCL." required:"" type:"existingfile"`
}

type registryFile struct {
	listen, service string
	entries         []registry.Entry
	trouble         registry.Trouble
}

func readRegistry(top *config.Block) (f registryFile) {
	b := top.One("registry", 0, true)
	f.listen, f.service = b.Address("listen", true), b.Text("service", "")
	f.trouble = registry.Trouble{Fails: b.Yes("fails", false), Silent: b.Yes("silent", false), Late: b.Span("late", 0, 0, longest)}
	b.Done()
	for _, e := range top.Blocks("entry", 1) {
		id, err := pubsubmsg.ParseAddress(e.Labels[0])
		if err != nil {
			e.Fault("", "entry: %v", err)
		}
		f.entries = append(f.entries, registry.Entry{ID: id, Zone: e.Text("zone", ""), Bay: e.Text("bay", "bay"), Kind: e.Text("kind", "kind"),
			Started: model.Microseconds(e.Number("started_ms", 0, 0, 1e15)) * model.Millisecond, Draining: e.Yes("draining", false)})
		e.Done()
	}
	return f
}

// Run is the command.
func (c *StandRegistry) Run(ctx context.Context, out io.Writer) error {
	f, err := open(c.Config, readRegistry)
	if err != nil {
		return err
	}
	loop := standin.NewLoop(controller.Clock())
	defer loop.Stop()
	var r *registry.Registry
	loop.Do(func() { r, err = registry.New(loop, f.listen, f.service, unseen) })
	if err != nil {
		return err
	}
	defer r.Close()
	fmt.Fprintf(out, "registry %s lists %d of %s\n", r.Addr(), len(f.entries), f.service)
	var old []registry.Entry
	set := func(f registryFile) {
		loop.Do(func() {
			r.Trouble = f.trouble
			for _, e := range old {
				if !slices.ContainsFunc(f.entries, func(n registry.Entry) bool { return n.ID == e.ID }) {
					r.Remove(e.ID)
				}
			}
			for _, e := range f.entries {
				r.Set(e)
			}
		})
		old = f.entries
	}
	set(f)
	told := ""
	every(ctx, time.Second, func() {
		f, err := open(c.Config, readRegistry)
		if err != nil { // half an edit: the list stays as it was
			if err.Error() != told {
				told = err.Error()
				fmt.Fprintln(os.Stderr, told)
			}
			return
		}
		set(f)
	})
	return nil
}

// StandForwarder is peppervale stand forwarder.
type StandForwarder struct {
	Config string `help:"The stand-in's file, HCL." required:"" type:"existingfile"`
}

type forwarderFile struct {
	facts    proxy.Facts
	standing []invariants.Line
	works    []config.Operation
	mean     []model.Microseconds
	seed     uint64
}

func readForwarder(top *config.Block) (f forwarderFile) {
	zones := top.Texts("zones", true)
	f.works = config.Operations(top)
	b := top.One("forwarder", 1, true)
	f.facts = proxy.Facts{Name: b.Labels[0], Zone: b.Text("zone", "", zones...), Rate: b.Number("rate", 5, 0.01, 10_000),
		Pick: proxy.Pick(b.Text("pick", "pair", "lottery", "wheel", "pair")), UsualWay: model.RetryIfNotExecuted, FirstWait: 0.8,
		Redial: b.Span("redial", 200*model.Millisecond, model.Millisecond, longest), ConnectFor: 250 * model.Millisecond, IdleFor: 15 * model.Second}
	for i, at := range b.Texts("governors", true) {
		f.facts.Governors = append(f.facts.Governors, proxy.Governor{Name: fmt.Sprint("governor-", i+1), Address: at})
	}
	for _, at := range b.Texts("standing", true) {
		id, err := pubsubmsg.ParseAddress(at)
		if err != nil {
			b.Fault("standing", "standing: %v", err)
		}
		f.standing = append(f.standing, invariants.Line{Replica: id, Weight: 1})
	}
	mean := b.Span("work", 100*model.Millisecond, 1, longest)
	f.seed = uint64(b.Whole("seed", 1, 0, 1<<30))
	b.Done()
	for _, o := range f.works {
		f.facts.Operations = append(f.facts.Operations, proxy.Operation{Objective: o.Objective, Timeout: o.Timeout})
		f.mean = append(f.mean, mean)
	}
	return f
}

// Run is the command.
func (c *StandForwarder) Run(ctx context.Context, out io.Writer) error {
	f, err := open(c.Config, readForwarder)
	if err != nil {
		return err
	}
	engine, err := proxy.NewEngine()
	if err != nil {
		return err
	}
	defer engine.Stop()
	loop := standin.NewLoop(controller.Clock())
	defer loop.Stop()
	chance := standin.NewChance(f.seed, "load")
	var asked, inTime uint64
	var one *proxy.Forwarder
	var ask func()
	ask = func() {
		loop.After(model.Microseconds(chance.Wait(f.facts.Rate)*float64(model.Second)), func() {
			asked++
			op := chance.Below(len(f.works))
			one.Invoke(&proxy.Invocation{Number: asked, Operation: op, Work: float64(f.mean[op]) * chance.Spread(0.5), Done: func(r proxy.Result, took model.Microseconds) {
				if r == proxy.Succeeded && took <= f.works[op].Objective {
					inTime++
				}
			}})
			ask()
		})
	}
	loop.Do(func() {
		one = proxy.New(loop, engine, f.facts, f.seed, unseen)
		one.Start(f.standing)
		ask()
	})
	defer loop.Do(one.Kill)
	every(ctx, 5*time.Second, func() {
		loop.Do(func() {
			fmt.Fprintf(out, "joined to %q, bound %v, %d lines held; %d asked, %d within the objective; %d messages\n", one.Joined(), one.Bound(), len(one.Holds()), asked, inTime, one.Messages)
		})
	})
	return nil
}
