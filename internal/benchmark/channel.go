package benchmark

import (
	"io"
	"time"

	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/snapshot"
)

const (
	unlimitedRate      = 1e12    // entries a second
	maxUnsentBytes     = 4 << 20 // for each connection
	spareConnections   = 10      // connections allowed beyond those of the proxies
	channelJoinTimeout = 30 * time.Second
	channelTable       = model.TableID(1)
)

// ChannelResult is the result of Channel for one size. A round lasts from the call of Publish to the last proxy's
// acknowledgement. Median and P99 are durations of rounds.
type ChannelResult struct {
	Proxies             int
	Entries             int // changed in each round
	Rounds              int
	Median              time.Duration
	P99                 time.Duration
	EntriesPerSecond    float64 // delivered to all proxies, without message overhead
	BytesPerRound       int
	CPUPerMessage       time.Duration // of sender and receiver, including system time
	MemoryPerConnection int           // bytes of heap and stacks, of sender and receiver
	Raw                 RawCost       // of the same number of bytes over plain sockets
}

// Channel publishes new weights of the given number of entries to proxies in each round, without a rate limit. It also
// sends the same number of bytes over plain sockets.
func Channel(proxies, entries, rounds int) (*ChannelResult, error) {
	memoryBefore := memoryInUse()
	testbed, err := newTestbed()
	if err != nil {
		return nil, err
	}
	defer testbed.close()
	source, err := newPublisher(testbed.now, publisherSettings{
		proxies: proxies,
		rate:    unlimitedRate,
		limits:  pubsub.Limits{Connections: proxies + spareConnections, UnsentBytes: maxUnsentBytes},
	})
	if err != nil {
		return nil, err
	}
	defer source.server.Close()
	testbed.addIdleProxies(proxies, source.server.Addr(), model.Second, ignoreEvent)
	defer testbed.stopProxies()
	updates, err := source.bindProxies(testbed, proxies, entries)
	if err != nil {
		return nil, err
	}
	result := &ChannelResult{Proxies: proxies, Entries: entries, Rounds: rounds}
	result.MemoryPerConnection = (memoryInUse() - memoryBefore) / proxies
	if err := result.measureRounds(source, updates, testbed.now); err != nil {
		return nil, err
	}
	result.Raw, err = measureRawSockets(proxies, result.BytesPerRound/proxies, rounds)
	return result, err
}

// bindProxies binds all proxies to one table and returns the updates that set the weights of the entries.
func (p *publisher) bindProxies(testbed *testbed, proxies, entries int) ([]snapshot.Update, error) {
	var updates []snapshot.Update
	for k := range entries {
		updates = append(updates, snapshot.Update{
			Kind:    snapshot.SetWeight,
			Table:   channelTable,
			Replica: replicaID(k),
			Weight:  1,
		})
	}
	proxyIDs, err := p.awaitProxies(proxies, channelJoinTimeout)
	if err != nil {
		return nil, err
	}
	for _, proxy := range proxyIDs {
		updates = append(updates, snapshot.Update{Kind: snapshot.BindProxy, Proxy: proxy, Table: channelTable})
	}
	if _, err := p.publishRound(updates, 0, proxies, testbed.now); err != nil {
		return nil, err
	}
	return updates[:entries], nil
}

// measureRounds runs the rounds, each of which changes the weights of all entries, and records their cost.
func (r *ChannelResult) measureRounds(
	source *publisher, updates []snapshot.Update, now func() model.Microseconds,
) error {
	cpuBefore := cpuTime()
	bytesBefore := source.server.Stats().Bytes
	var durations []time.Duration
	for round := range r.Rounds {
		for i := range updates {
			updates[i].Weight = 1 + float64(round%7)/10
		}
		duration, err := source.publishRound(updates, round+1, r.Proxies, now)
		if err != nil {
			return err
		}
		durations = append(durations, duration)
	}
	r.CPUPerMessage = (cpuTime() - cpuBefore) / time.Duration(r.Proxies*r.Rounds)
	r.BytesPerRound = int(source.server.Stats().Bytes-bytesBefore) / r.Rounds
	r.Median, r.P99 = medianAndP99(durations)
	r.EntriesPerSecond = float64(r.Proxies*r.Entries) / r.Median.Seconds()
	return nil
}

// PrintChannels writes a table of the results of Channel.
func PrintChannels(out io.Writer, results []*ChannelResult) {
	const (
		timePrecision = 10 * time.Microsecond
		cpuPrecision  = 100 * time.Nanosecond
	)
	printf(out, "| forwarders | lines | bytes a round | p50 to last receipt | p99 | lines a second | "+
		"CPU a message, both ends | memory a peer, both ends | raw p50 | raw CPU | ratio p50 |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, result := range results {
		printf(out, "| %d | %d | %d | %s | %s | %.0f | %s | %d B | %s | %s | %.2f |\n",
			result.Proxies, result.Entries, result.BytesPerRound,
			result.Median.Round(timePrecision), result.P99.Round(timePrecision),
			result.EntriesPerSecond, result.CPUPerMessage.Round(cpuPrecision), result.MemoryPerConnection,
			result.Raw.Median.Round(timePrecision), result.Raw.CPUPerMessage.Round(cpuPrecision),
			float64(result.Median)/float64(result.Raw.Median))
	}
}
