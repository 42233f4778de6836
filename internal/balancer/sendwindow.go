package balancer

import (
	"slices"

	"peppervale/internal/model"
)

// Shares of the queue limit that unacknowledged entries may fill.
const (
	urgentShare  = 0.9 // by updates that can't be put off
	promptShare  = 0.7 // by updates that should be sent soon
	routineShare = 0.5 // by the others
)

// budget is what an update may use: a share of the queue limit, and all but some of a proxy's messages. Spare messages
// are left for more urgent updates.
type budget struct {
	queueShare    float64
	spareMessages int
}

var (
	withdrawalBudget  = budget{urgentShare, 1} // of replicas that drain or are gone, and of updates in place of them
	promptBudget      = budget{promptShare, 1} // of temporary withdrawals and cut weights
	urgentBindBudget  = budget{urgentShare, 2}
	routineBindBudget = budget{routineShare, 2}
	quotaBudget       = budget{promptShare, 3}
	weightBudget      = budget{routineShare, 3}

	firstWeightsBudget = budget{1, 0} // of a table that no proxy uses yet
)

// sequenceNumbers is the count of acknowledgement sequence numbers, which stand in 16 bits on the wire.
const sequenceNumbers = 1 << 16

// sentMessage is a message that a proxy has not acknowledged.
type sentMessage struct {
	sequence int
	entries  int // that it is charged for
	at       model.Microseconds
}

// sendWindow bounds the entries that wait to be sent by counting those not acknowledged, as the network may be slower
// than configured. Costs are in entries.
type sendWindow struct {
	messageCost    int // of a message beyond its own entries
	queueLimit     int
	messageLimit   int // to one proxy within messageSpan; 0: no limit
	messageSpan    model.Microseconds
	unackedEntries int      // entries not acknowledged or reserved
	agedEntries    int      // entries counted again for their age
	sequence       int      // of the last message
	reached        []*proxy // by the message being written
	ackFromAll     bool     // every proxy is to acknowledge it, reached or not
}

func newSendWindow(config model.Config) sendWindow {
	return sendWindow{
		messageCost:  config.MessageOverhead + 1 + len(config.Operations),
		queueLimit:   config.QueueLimit,
		messageLimit: config.MessageLimit,
		messageSpan:  config.MessageWindow,
	}
}

// measureAge counts entries again for each second beyond the first that they wait for their acknowledgement: a network
// that has become slow still holds what was sent before, and withdrawals must not wait behind weights.
func (w *sendWindow) measureAge(now model.Microseconds, proxies []*proxy) {
	w.agedEntries = 0
	for _, p := range proxies {
		for _, message := range p.unacked {
			late := int(max(0, now-message.at-model.Second))
			w.agedEntries += late * message.entries / int(model.Second)
		}
	}
}

// reserve charges entries to each of some proxies if they may be sent now, and reports whether they may.
func (w *sendWindow) reserve(now model.Microseconds, proxies []*proxy, entries int, limits budget) bool {
	total := w.unackedEntries
	for _, p := range proxies {
		total += entries
		if p.reserved > 0 {
			continue
		}
		total += w.messageCost
		w.forgetOldMessages(now, p)
		if w.messagesExhausted(p, limits.spareMessages) {
			return false
		}
	}
	if len(proxies) > 0 && w.exceedsQueue(total, limits.queueShare) {
		return false
	}
	for _, p := range proxies {
		if p.reserved == 0 {
			p.reserved = w.messageCost
			w.reached = append(w.reached, p)
		}
		p.reserved += entries
	}
	w.unackedEntries = total
	return true
}

// messagesExhausted reports whether a further message would leave a proxy too few spare ones.
func (w *sendWindow) messagesExhausted(p *proxy, spare int) bool {
	return w.messageLimit > 0 && len(p.messageTimes)+spare >= w.messageLimit
}

// exceedsQueue reports whether entries pass a share of the queue limit. Aged entries count too, except for urgent
// updates.
func (w *sendWindow) exceedsQueue(entries int, share float64) bool {
	if share < urgentShare {
		entries += w.agedEntries
	}
	return float64(entries) > share*float64(w.queueLimit)
}

// forgetOldMessages drops the times of messages that count no longer against the limit.
func (w *sendWindow) forgetOldMessages(now model.Microseconds, p *proxy) {
	p.messageTimes = slices.DeleteFunc(p.messageTimes, func(at model.Microseconds) bool {
		return now-at > w.messageSpan
	})
}

// nextSequence numbers the message being written.
func (w *sendWindow) nextSequence() uint32 {
	w.sequence = (w.sequence + 1) % sequenceNumbers
	return uint32(w.sequence)
}

// recordSent records the message that was written as unacknowledged by every proxy that it reaches.
func (w *sendWindow) recordSent(now model.Microseconds) {
	for _, p := range w.reached {
		p.unacked = append(p.unacked, sentMessage{w.sequence, p.reserved, now})
		p.messageTimes = append(p.messageTimes, now)
		p.reserved = 0
	}
	w.reached = nil
}

// acknowledge frees the entries of a proxy's messages up to a sequence number. An unknown number frees nothing.
func (w *sendWindow) acknowledge(p *proxy, sequence int) {
	last := slices.IndexFunc(p.unacked, func(m sentMessage) bool { return m.sequence == sequence })
	w.release(p, last+1)
}

// release frees the entries of a proxy's first messages.
func (w *sendWindow) release(p *proxy, messages int) {
	for _, message := range p.unacked[:messages] {
		w.unackedEntries -= message.entries
	}
	p.unacked = p.unacked[messages:]
}

// finishMessage asks for an acknowledgement of what was published since the last message, if anything was.
func (b *Balancer) finishMessage() {
	if len(b.window.reached) > 0 {
		b.publisher.RequestAck(b.window.nextSequence(), b.window.ackFromAll)
		b.window.ackFromAll = false
	}
	b.window.recordSent(b.now)
}
