// Package measure times parts of the program at sizes that are stated, beside a raw cost measured in the same run. Its
// figures are of one machine and say nothing absolute; the ratios are what to keep.
package benchmark

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/pubsub"
	"peppervale/internal/snapshot"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
)

// ChannelFigures are of one size. Times are from Publish to the last acknowledgement of all.
type ChannelFigures struct {
	Forwarders, Lines, Rounds int
	P50, P99                  time.Duration
	LinesPerSecond            float64 // of all forwarders, heads not counted
	BytesPerRound             int
	CPUPerMessage             time.Duration // both ends, system time included
	MemoryPerPeer             int           // bytes of heap and stacks, both ends
	RawP50                    time.Duration // the same bytes to as many plain sockets, and an answer from each
	RawCPU                    time.Duration
}

// listeners starts n forwarders that carry no invocations and have no other governor; kill ends them.
func listeners(loop *standin.Loop, engine *netpoll.Engine, n int, address string, redial model.Microseconds, seen func(invariants.Seen)) (all []*proxy.Forwarder, kill func()) {
	loop.Do(func() {
		for k := range n {
			f := proxy.New(loop, engine, proxy.Facts{Name: fmt.Sprint("listener-", k), Zone: "zone", Redial: redial, ConnectFor: 10 * model.Second,
				StreamsOnly: true, Governors: []proxy.Governor{{Name: "g", Address: address}}}, 1, seen)
			f.Start(nil)
			all = append(all, f)
		}
	})
	return all, func() {
		loop.Do(func() {
			for _, f := range all {
				f.Kill()
			}
		})
	}
}

// publisher admits whoever joins and waits for receipts.
type publisher struct {
	server  *pubsub.Server
	joined  chan model.ProxyID
	applied chan uint32
}

func (p *publisher) ProxyConnected(proxy model.ProxyID, stream uint64, _ pubsubmsg.Join, _ int) {
	go func() { // the server holds the peer's turn
		p.server.AdmitProxy(proxy, stream)
		p.joined <- proxy
	}()
}
func (p *publisher) ProxyDisconnected(model.ProxyID, uint64)                {}
func (p *publisher) Acknowledged(_ model.ProxyID, _ uint64, receipt uint32) { p.applied <- receipt }
func (p *publisher) LoadReported(int, []model.LoadReport)                   {}

// Channel publishes changes of so many lines to n forwarders, round after round, at no pace.
func Channel(n, lines, rounds int) (*ChannelFigures, error) {
	now := controller.Clock()
	p := &publisher{joined: make(chan model.ProxyID, n), applied: make(chan uint32, 2*n)}
	before := memory()
	var err error
	p.server, err = pubsub.Listen(pubsub.Config{Listen: "127.0.0.1:0", Incarnation: 1, Zones: []string{"zone"}, ReportPeriod: 3600 * model.Second, MessageOverhead: 6,
		Pace: 1e12, Now: now, Log: zerolog.Nop(), Limits: pubsub.Limits{Connections: n + 10, Unsent: 4 << 20}}, p)
	if err != nil {
		return nil, err
	}
	defer p.server.Close()
	engine, err := proxy.NewEngine()
	if err != nil {
		return nil, err
	}
	defer engine.Stop()
	loop := standin.NewLoop(now)
	defer loop.Stop()
	_, kill := listeners(loop, engine, n, p.server.Addr(), model.Second, func(invariants.Seen) {})
	defer kill()
	var orders []snapshot.Update
	for k := range lines {
		orders = append(orders, snapshot.Update{Kind: snapshot.SetWeight, Table: 1, Replica: replicaID(k), Weight: 1})
	}
	for range n {
		select {
		case proxy := <-p.joined:
			orders = append(orders, snapshot.Update{Kind: snapshot.BindProxy, Proxy: proxy, Table: 1})
		case <-time.After(30 * time.Second):
			return nil, fmt.Errorf("measure: not all of %d forwarders joined", n)
		}
	}
	f := &ChannelFigures{Forwarders: n, Lines: lines, Rounds: rounds}
	if _, err := p.round(orders, 0, n, now); err != nil {
		return nil, err
	}
	f.MemoryPerPeer = (memory() - before) / n
	start, sent := cpu(), p.server.Stats().Bytes
	var times []time.Duration
	for k := range rounds {
		orders = orders[:lines]
		for i := range orders {
			orders[i].Weight = 1 + float64(k%7)/10
		}
		took, err := p.round(orders, k+1, n, now)
		if err != nil {
			return nil, err
		}
		times = append(times, took)
	}
	f.CPUPerMessage = (cpu() - start) / time.Duration(n*rounds)
	f.BytesPerRound = int(p.server.Stats().Bytes-sent) / rounds
	f.P50, f.P99 = quantiles(times)
	f.LinesPerSecond = float64(n*lines) / f.P50.Seconds()
	f.RawP50, f.RawCPU, err = raw(n, f.BytesPerRound/n, rounds)
	return f, err
}

func replicaID(k int) model.ReplicaID {
	return model.ReplicaID{Addr: [4]byte{10, 1, byte(k / 200), byte(k%200 + 1)}, Port: 8080}
}

func (p *publisher) round(orders []snapshot.Update, number, n int, now func() model.Microseconds) (time.Duration, error) {
	began := time.Now()
	p.server.Publish(&snapshot.Batch{Updates: orders, AckSequence: number, At: now()})
	late := time.After(30 * time.Second)
	for got := 0; got < n; {
		select {
		case receipt := <-p.applied:
			if receipt == uint32(number) {
				got++
			}
		case <-late:
			return 0, fmt.Errorf("measure: %d of %d acknowledged round %d", got, n, number)
		}
	}
	return time.Since(began), nil
}

// raw writes as many bytes to as many plain sockets, each with a reader that answers with as many bytes as an
// acknowledgement has, and waits for all answers.
func raw(n, size, rounds int) (p50, perMessage time.Duration, err error) {
	const answer = 46
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	defer l.Close()
	answers := make(chan error, n)
	var ends []net.Conn
	defer func() {
		for _, c := range ends {
			c.Close()
		}
	}()
	for range n {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return 0, 0, err
		}
		s, err := l.Accept()
		if err != nil {
			return 0, 0, err
		}
		ends = append(ends, s, c)
		go func() { // the forwarder's end
			buf := make([]byte, size)
			for {
				if _, err := io.ReadFull(c, buf); err != nil {
					return
				}
				if _, err := c.Write(buf[:min(answer, size)]); err != nil {
					return
				}
			}
		}()
		go func() { // answers
			buf := make([]byte, min(answer, size))
			for {
				if _, err := io.ReadFull(s, buf); err != nil {
					return
				}
				answers <- nil
			}
		}()
	}
	message := make([]byte, size)
	start := cpu()
	var times []time.Duration
	for range rounds {
		began := time.Now()
		for k := 0; k < len(ends); k += 2 {
			if _, err := ends[k].Write(message); err != nil {
				return 0, 0, err
			}
		}
		for range n {
			<-answers
		}
		times = append(times, time.Since(began))
	}
	p50, _ = quantiles(times)
	return p50, (cpu() - start) / time.Duration(n*rounds), nil
}

func quantiles(times []time.Duration) (p50, p99 time.Duration) {
	slices.Sort(times)
	return times[len(times)/2], times[min(len(times)-1, len(times)*99/100)]
}

func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memory() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapInuse + m.StackInuse)
}

// Print writes a table of sizes.
func Print(w io.Writer, all []*ChannelFigures) {
	fmt.Fprintf(w, "| forwarders | lines | bytes a round | p50 to last receipt | p99 | lines a second | CPU a message, both ends | memory a peer, both ends | raw p50 | raw CPU | ratio p50 |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, f := range all {
		fmt.Fprintf(w, "| %d | %d | %d | %s | %s | %.0f | %s | %d B | %s | %s | %.2f |\n", f.Forwarders, f.Lines, f.BytesPerRound, f.P50.Round(10*time.Microsecond),
			f.P99.Round(10*time.Microsecond), f.LinesPerSecond, f.CPUPerMessage.Round(100*time.Nanosecond), f.MemoryPerPeer,
			f.RawP50.Round(10*time.Microsecond), f.RawCPU.Round(100*time.Nanosecond), float64(f.P50)/float64(f.RawP50))
	}
}
