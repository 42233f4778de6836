package pubsub

import (
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// maxAckSequence is the largest acknowledgement sequence: it has 16 bits.
const maxAckSequence = 65535

// resyncInterval is the least time between two snapshots that one proxy requests. It bounds the cost of a proxy that
// sends RESYNC in a loop.
const resyncInterval = model.Second

// requireJoined returns an error unless a proxy has joined on the connection.
func (c *connection) requireJoined() error {
	if c.stream.id == 0 {
		return errJoinFirst
	}
	return nil
}

// acknowledge handles ACK. An acknowledgement of an earlier incarnation is ignored: it does not cover messages of this
// one.
func (c *connection) acknowledge(args []resp.Value) error {
	ack, err := pubsubmsg.ParseAck(args)
	if err != nil {
		return err
	}
	if err := c.requireJoined(); err != nil {
		return err
	}
	isOutOfRange := ack.Sequence < 0 || ack.Sequence > maxAckSequence
	if isOutOfRange || !c.recordAcknowledged(ack) {
		return nil
	}
	c.server.events.Acknowledged(c.stream.proxy, c.stream.id, uint32(ack.Sequence))
	return nil
}

// recordAcknowledged records an acknowledgement, and reports whether it is one of this incarnation.
func (c *connection) recordAcknowledged(ack pubsubmsg.Ack) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if ack.Incarnation != c.server.publishedState.Incarnation {
		return false
	}
	c.stream.silence.recordAcknowledged(ack.Sequence, c.server.config.Now())
	return true
}

// reportLoad handles SUMS, which contains load reports. A repeated or older sequence number is ignored.
func (c *connection) reportLoad(args []resp.Value) error {
	message, err := pubsubmsg.ParseLoadReports(args)
	if err != nil {
		return err
	}
	if err := c.requireJoined(); err != nil {
		return err
	}
	if message.Sequence <= c.stream.lastReportSequence {
		return nil
	}
	c.stream.lastReportSequence = message.Sequence
	for i := range message.Reports {
		message.Reports[i].Zone = c.stream.zone
		message.Reports[i].Window = message.Window
	}
	c.server.events.LoadReported(c.stream.zone, message.Reports)
	return nil
}

// fenced handles FENCED: the proxy ignored a message because it has seen a newer epoch.
func (c *connection) fenced([]resp.Value) error {
	if err := c.requireJoined(); err != nil {
		return err
	}
	server := c.server
	server.mu.Lock()
	defer server.mu.Unlock()
	server.stats.Fenced++
	server.config.Log.Warn().Str("proxy", c.stream.join.Name).Int("shard", c.stream.shard).
		Msg("message fenced: proxy has seen a newer epoch")
	return nil
}

// resync handles RESYNC: it sends another snapshot, at most once each resyncInterval.
func (c *connection) resync([]resp.Value) error {
	if err := c.requireJoined(); err != nil {
		return err
	}
	server := c.server
	server.mu.Lock()
	defer server.mu.Unlock()
	now := server.config.Now()
	if c.stream.subscriber == nil || now-c.stream.resyncedAt < resyncInterval {
		return nil
	}
	c.stream.resyncedAt = now
	server.stats.Resyncs++
	server.sendSnapshot(c)
	return nil
}
