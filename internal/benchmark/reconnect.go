package benchmark

import (
	"fmt"
	"io"
	"time"

	"peppervale/internal/admission"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
)

const (
	stormEntryRate   = 1e9 // entries a second
	stormBurst       = 50  // joins
	stormJoinTimeout = 60 * time.Second
)

// ConnectionStormResult is the result of ConnectionStorm, in which all proxies connect at once.
type ConnectionStormResult struct {
	Proxies       int
	AdmissionRate float64       // admitted joins a second; 0: no limit
	Duration      time.Duration // until all proxies are admitted
	Deferrals     uint64        // of all proxies
	MaxDeferrals  int           // largest number of deferrals of one proxy
	PeakJoins     int           // largest number of joins within a second of the clock
	Storms        uint64        // changes of the server from the normal state to the storm state
	CPU           time.Duration // of server and proxies
}

// ConnectionStorm measures how the server admits the given number of proxies that connect at once.
func ConnectionStorm(proxies int, admissionRate float64) (*ConnectionStormResult, error) {
	testbed, err := newTestbed()
	if err != nil {
		return nil, err
	}
	defer testbed.close()
	joinSeconds := make(chan model.Microseconds, 10*proxies)
	source, err := newPublisher(testbed.now, publisherSettings{
		proxies:     proxies,
		rate:        stormEntryRate,
		limits:      pubsub.Limits{Connections: 2 * proxies},
		admission:   admission.Limits{Rate: admissionRate, Burst: stormBurst, Jitter: 1, Seed: 1},
		onConnected: func() { joinSeconds <- testbed.now() / model.Second },
	})
	if err != nil {
		return nil, err
	}
	defer source.server.Close()
	started := time.Now()
	cpuBefore := cpuTime()
	testbed.addIdleProxies(proxies, source.server.Addr(), model.Second, ignoreEvent)
	defer testbed.stopProxies()
	if _, err := source.awaitProxies(proxies, stormJoinTimeout); err != nil {
		return nil, err
	}
	result := &ConnectionStormResult{
		Proxies:       proxies,
		AdmissionRate: admissionRate,
		Duration:      time.Since(started),
		CPU:           cpuTime() - cpuBefore,
	}
	statistics := source.server.Stats()
	result.Deferrals = statistics.JoinsDeferred
	result.Storms = statistics.JoinStorms
	result.MaxDeferrals = testbed.maxDeferrals()
	result.PeakJoins = peakPerSecond(joinSeconds)
	return result, nil
}

// maxDeferrals returns the maximum number of deferrals of a proxy.
func (b *testbed) maxDeferrals() int {
	maximum := 0
	b.loop.Do(func() {
		for _, p := range b.proxies {
			maximum = max(maximum, p.Deferred)
		}
	})
	return maximum
}

// peakPerSecond reads the seconds of all joins from the channel and returns the maximum number of joins in one second.
func peakPerSecond(joinSeconds chan model.Microseconds) int {
	counts := map[model.Microseconds]int{}
	peak := 0
	for range len(joinSeconds) {
		second := <-joinSeconds
		counts[second]++
		peak = max(peak, counts[second])
	}
	return peak
}

// PrintConnectionStorms writes a table of the results of ConnectionStorm.
func PrintConnectionStorms(out io.Writer, results []*ConnectionStormResult) {
	printf(out, "| forwarders | joins a second let in | all in after | put off, in all | of one at most | "+
		"most joins in a second | storms | CPU, both ends |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, result := range results {
		rate := "all"
		if result.AdmissionRate > 0 {
			rate = fmt.Sprint(result.AdmissionRate)
		}
		printf(out, "| %d | %s | %s | %d | %d | %d | %d | %s |\n",
			result.Proxies, rate, roundMilliseconds(result.Duration), result.Deferrals, result.MaxDeferrals,
			result.PeakJoins, result.Storms, roundMilliseconds(result.CPU))
	}
}
