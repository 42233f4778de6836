package config

import (
	"time"

	"peppervale/internal/model"
)

// PeerLimits is what peers of the publish-subscribe channel may cost; zeros leave it to the channel.
type PeerLimits struct {
	Connections  int           // open at once
	Observers    int           // open at once
	Unsent       int           // bytes that wait for one peer
	UnsentAll    int           // bytes that wait for all peers together
	CommandRate  float64       // of one peer, a second
	CommandBurst int           // of one peer, at once
	Greeting     time.Duration // within which a peer must join or subscribe
	JoinRate     float64       // joins a second; 0: no limit
	JoinBurst    int           // joins at once
	JoinMost     int           // joined proxies in all; 0: no limit
}

// Peers reads the limits on peers from the block channel { }.
func (b *Block) Peers() PeerLimits {
	return PeerLimits{
		Connections:  b.Whole("connections", 0, 0, maxCount),
		Observers:    b.Whole("observers", 0, 0, maxCount),
		UnsentAll:    b.Whole("unsent_all_bytes", 0, 0, 1<<40),
		CommandRate:  b.Number("commands", 0, 0, maxCount),
		CommandBurst: b.Whole("commands_burst", 2000, 2, maxCount),
		Unsent:       b.Whole("unsent_bytes", 0, 0, 1<<30),
		Greeting:     b.Span("greeting", 0, 0, maxDuration).Duration(),
		JoinRate:     b.Number("joins", 0, 0, maxCount),
		JoinBurst:    b.Whole("joins_burst", 50, 1, maxCount),
		JoinMost:     b.Whole("joined_most", 0, 0, maxCount),
	}
}

// ReadChannel reads the figures of the block channel { } that instances and checkers share. It gives the channel's
// rate in entries a second and the load reports a second that the balancer takes.
func ReadChannel(block *Block, balancer *model.Config, guarantees *Guarantees) (rate float64, reportLimit int) {
	rate = block.Number("pace", 3000, 1, 1e9)
	defaultQueue := int(max(1, min(2*rate, maxCount)))
	balancer.QueueLimit = block.Whole("queue", defaultQueue, 1, maxCount)
	balancer.MessageOverhead = block.Whole("overhead", 6, 0, 10_000)
	balancer.ReportPeriod = block.Span("period", model.Second, 10*model.Millisecond, maxDuration)
	balancer.MessageLimit = block.Whole("messages_most", 0, 0, maxCount)
	balancer.MessageWindow = block.Span("messages_within", 10*model.Second, model.Millisecond, maxDuration)
	reportLimit = block.Whole("intake", 500, 1, maxCount)
	guarantees.QueueMost = balancer.QueueLimit
	guarantees.WriteMost = balancer.MessageLimit
	guarantees.WriteSpan = balancer.MessageWindow
	return rate, reportLimit
}
