package config

import (
	"time"

	"peppervale/internal/model"
)

// defaultQueueSeconds is how much of the channel's rate its queue holds by default.
const defaultQueueSeconds = 2

// PeerLimits are the limits on peers of the publish-subscribe channel. Zero stands for the channel's own default,
// unless a field says otherwise.
type PeerLimits struct {
	Connections      int           // open at once
	Observers        int           // open at once
	UnsentBytes      int           // bytes that wait for one peer
	TotalUnsentBytes int           // bytes that wait for all peers together
	CommandRate      float64       // of one peer, a second
	CommandBurst     int           // of one peer, at once
	GreetingTimeout  time.Duration // within which a peer must join or subscribe
	JoinRate         float64       // joins a second; 0: no limit
	JoinBurst        int           // joins at once
	MaxProxies       int           // joined proxies in all; 0: no limit
}

// PeerLimits reads the limits on peers from the block channel { }.
func (b *Block) PeerLimits() PeerLimits {
	return PeerLimits{
		Connections:      b.Int("connections", 0, 0, maxCount),
		Observers:        b.Int("observers", 0, 0, maxCount),
		TotalUnsentBytes: b.Int("unsent_all_bytes", 0, 0, maxTotalUnsentBytes),
		CommandRate:      b.Float("commands", 0, 0, maxCount),
		CommandBurst:     b.Int("commands_burst", 2000, 2, maxCount),
		UnsentBytes:      b.Int("unsent_bytes", 0, 0, maxUnsentBytes),
		GreetingTimeout:  b.Duration("greeting", 0, 0, maxDuration).Duration(),
		JoinRate:         b.Float("joins", 0, 0, maxCount),
		JoinBurst:        b.Int("joins_burst", 50, 1, maxCount),
		MaxProxies:       b.Int("joined_most", 0, 0, maxCount),
	}
}

// ReadChannelConfig reads the settings of the block channel { } that instances and checkers share, into balancer and
// guarantees. It returns the channel's rate in entries a second and the load reports a second that the balancer takes.
func ReadChannelConfig(block *Block, balancer *model.Config, guarantees *Guarantees) (rate float64, reportLimit int) {
	rate = block.Float("pace", 3000, 1, maxRate)
	defaultQueue := int(max(1, min(defaultQueueSeconds*rate, maxCount)))
	balancer.QueueLimit = block.Int("queue", defaultQueue, 1, maxCount)
	balancer.MessageOverhead = block.Int("overhead", 6, 0, 10_000)
	balancer.ReportPeriod = block.Duration("period", model.Second, 10*model.Millisecond, maxDuration)
	balancer.MessageLimit = block.Int("messages_most", 0, 0, maxCount)
	balancer.MessageWindow = block.Duration("messages_within", 10*model.Second, model.Millisecond, maxDuration)
	reportLimit = block.Int("intake", 500, 1, maxCount)
	guarantees.QueueLimit = balancer.QueueLimit
	guarantees.MessageLimit = balancer.MessageLimit
	guarantees.MessageWindow = balancer.MessageWindow
	return rate, reportLimit
}
