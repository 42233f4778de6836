package config

import (
	"math"
	"time"

	"peppervale/internal/model"
)

// defaultQueueSeconds is the default size of the channel's queue, in seconds at the channel's rate.
const defaultQueueSeconds = 2

// PeerLimits are the limits on peers of the publish-subscribe channel. Zero selects the channel's own default, unless
// the field's comment says otherwise.
type PeerLimits struct {
	Connections      int           // open connections
	Observers        int           // open connections of observers
	UnsentBytes      int           // unsent bytes to one peer
	TotalUnsentBytes int           // unsent bytes to all peers in total
	CommandRate      float64       // commands per second from one peer
	CommandBurst     int           // commands from one peer at once
	GreetingTimeout  time.Duration // time within which a peer must join or subscribe
	HeldBytes        int           // memory of one peer's command that has not arrived completely
	TotalHeldBytes   int           // the same of all peers in total
	CommandTimeout   time.Duration // time within which a command must arrive completely
	SilenceTimeout   time.Duration // time after which the stream of a silent proxy ends
	ProxyNames       int           // names of proxies that are remembered
	JoinRate         float64       // joins per second; 0: no limit
	JoinBurst        int           // joins at once
	MaxProxies       int           // joined proxies in total; 0: no limit
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
		HeldBytes:        b.Int("held_bytes", 0, 0, maxHeldBytes),
		TotalHeldBytes:   b.Int("held_all_bytes", 0, 0, maxTotalHeldBytes),
		CommandTimeout:   b.Duration("unfinished", 0, 0, maxDuration).Duration(),
		SilenceTimeout:   b.Duration("silence", 0, 0, maxDuration).Duration(),
		ProxyNames:       b.Int("names_most", 0, 0, math.MaxUint16),
		JoinRate:         b.Float("joins", 0, 0, maxCount),
		JoinBurst:        b.Int("joins_burst", 50, 1, maxCount),
		MaxProxies:       b.Int("joined_most", 0, 0, maxCount),
	}
}

// ReadChannelConfig reads the settings of the block channel { } that instances and checkers share into balancer and
// guarantees. It returns the channel's rate in entries per second and the maximum number of load reports per second
// that the balancer accepts.
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
