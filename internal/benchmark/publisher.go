package benchmark

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/admission"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/snapshot"
)

const (
	longReportPeriod = 3600 * model.Second // longer than any experiment
	messageOverhead  = 6                   // cost of a message without entries, in entries
	roundTimeout     = 30 * time.Second
)

// publisher is a publish-subscribe server that admits every proxy and collects acknowledgements.
type publisher struct {
	server          *pubsub.Server
	onConnected     func() // called for each proxy before it is admitted; nil: none
	admittedProxies chan model.ProxyID
	ackSequences    chan uint32 // sequence of each acknowledgement
}

// publisherSettings are the settings that differ between the experiments.
type publisherSettings struct {
	proxies     int
	rate        float64 // limit in entries a second
	limits      pubsub.Limits
	admission   admission.Limits
	onConnected func()
}

func newPublisher(now func() model.Microseconds, settings publisherSettings) (*publisher, error) {
	source := &publisher{
		onConnected:     settings.onConnected,
		admittedProxies: make(chan model.ProxyID, settings.proxies),
		ackSequences:    make(chan uint32, 2*settings.proxies),
	}
	var err error
	source.server, err = pubsub.Listen(pubsub.Config{
		Listen:           loopbackAnyPort,
		Incarnation:      1,
		Zones:            []string{"zone"},
		ReportPeriod:     longReportPeriod,
		MessageOverhead:  messageOverhead,
		EntriesPerSecond: settings.rate,
		Now:              now,
		Log:              zerolog.Nop(),
		Limits:           settings.limits,
		JoinLimits:       settings.admission,
	}, source)
	if err != nil {
		return nil, err
	}
	return source, nil
}

// ProxyConnected admits the proxy on a separate goroutine, because the server handles the connection's next event only
// after ProxyConnected returns.
func (p *publisher) ProxyConnected(proxy model.ProxyID, stream uint64, _ pubsubmsg.Join, _ int) {
	if p.onConnected != nil {
		p.onConnected()
	}
	go func() {
		p.server.AdmitProxy(proxy, stream)
		p.admittedProxies <- proxy
	}()
}

// ProxyDisconnected ignores the event.
func (p *publisher) ProxyDisconnected(model.ProxyID, uint64) {}

// Acknowledged passes the acknowledgement to publishRound.
func (p *publisher) Acknowledged(_ model.ProxyID, _ uint64, sequence uint32) {
	p.ackSequences <- sequence
}

// LoadReported ignores the event.
func (p *publisher) LoadReported(int, []model.LoadReport) {}

// awaitProxies waits until the given number of proxies is admitted and returns them. The timeout applies to the
// wait for each proxy.
func (p *publisher) awaitProxies(count int, timeout time.Duration) ([]model.ProxyID, error) {
	var proxies []model.ProxyID
	for range count {
		select {
		case proxy := <-p.admittedProxies:
			proxies = append(proxies, proxy)
		case <-time.After(timeout):
			return nil, &TimeoutError{Condition: fmt.Sprintf("%d proxies connected", count)}
		}
	}
	return proxies, nil
}

// publishRound publishes updates and returns the time until all proxies have acknowledged them.
func (p *publisher) publishRound(
	updates []snapshot.Update, sequence, proxies int, now func() model.Microseconds,
) (time.Duration, error) {
	started := time.Now()
	p.server.Publish(&snapshot.Batch{Updates: updates, AckSequence: sequence, At: now()})
	timeout := time.After(roundTimeout)
	for acks := 0; acks < proxies; {
		select {
		case ackSequence := <-p.ackSequences:
			if ackSequence == uint32(sequence) {
				acks++
			}
		case <-timeout:
			condition := fmt.Sprintf("round %d acknowledged by %d proxies; %d have acknowledged it", sequence, proxies, acks)
			return 0, &TimeoutError{Condition: condition}
		}
	}
	return time.Since(started), nil
}
