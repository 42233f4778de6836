package benchmark

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/admission"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
)

// StormFigures are of one storm: all dial within a tenth of a second.
type StormFigures struct {
	Forwarders  int
	Rate        float64 // joins a second that are let in; 0: all
	AllIn       time.Duration
	Deferrals   uint64
	DeferredMax int // of one forwarder
	PeakJoins   int // in a second
	Storms      uint64
	CPU         time.Duration // both ends
}

// counter notes joins by the second.
type counter struct {
	*publisher
	now     func() model.Microseconds
	seconds chan model.Microseconds
}

func (c *counter) ProxyConnected(p model.ProxyID, stream uint64, j pubsubmsg.Join, zone int) {
	c.seconds <- c.now() / model.Second
	c.publisher.ProxyConnected(p, stream, j, zone)
}

// Storm has n forwarders dial at once.
func Storm(n int, rate float64) (*StormFigures, error) {
	now := controller.Clock()
	c := &counter{&publisher{joined: make(chan model.ProxyID, n), applied: make(chan uint32, n)}, now, make(chan model.Microseconds, 10*n)}
	server, err := pubsub.Listen(pubsub.Config{Listen: "127.0.0.1:0", Incarnation: 1, Zones: []string{"zone"}, ReportPeriod: 3600 * model.Second, MessageOverhead: 6, Pace: 1e9,
		Now: now, Log: zerolog.Nop(), Limits: pubsub.Limits{Connections: 2 * n}, Joins: admission.Limits{Rate: rate, Burst: 50, Jitter: 1, Seed: 1}}, c)
	if err != nil {
		return nil, err
	}
	c.server = server
	defer server.Close()
	engine, err := proxy.NewEngine()
	if err != nil {
		return nil, err
	}
	defer engine.Stop()
	loop := standin.NewLoop(now)
	defer loop.Stop()
	began, start := time.Now(), cpu()
	all, kill := listeners(loop, engine, n, server.Addr(), model.Second, func(invariants.Seen) {})
	defer kill()
	for range n {
		select {
		case <-c.joined:
		case <-time.After(60 * time.Second):
			return nil, fmt.Errorf("measure: not all of %d forwarders joined", n)
		}
	}
	f := &StormFigures{Forwarders: n, Rate: rate, AllIn: time.Since(began), CPU: cpu() - start}
	st := server.Stats()
	f.Deferrals, f.Storms = st.Deferred, st.Storms
	loop.Do(func() {
		for _, one := range all {
			f.DeferredMax = max(f.DeferredMax, one.Deferred)
		}
	})
	perSecond := map[model.Microseconds]int{}
	for range len(c.seconds) {
		perSecond[<-c.seconds]++
	}
	var counts []int
	for _, k := range perSecond {
		counts = append(counts, k)
	}
	f.PeakJoins = slices.Max(counts)
	return f, nil
}

// PrintStorms writes a table.
func PrintStorms(w io.Writer, all []*StormFigures) {
	fmt.Fprintf(w, "| forwarders | joins a second let in | all in after | put off, in all | of one at most | most joins in a second | storms | CPU, both ends |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, f := range all {
		rate := "all"
		if f.Rate > 0 {
			rate = fmt.Sprint(f.Rate)
		}
		fmt.Fprintf(w, "| %d | %s | %s | %d | %d | %d | %d | %s |\n", f.Forwarders, rate, f.AllIn.Round(time.Millisecond), f.Deferrals, f.DeferredMax, f.PeakJoins, f.Storms, f.CPU.Round(time.Millisecond))
	}
}
