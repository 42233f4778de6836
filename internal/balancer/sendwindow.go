package balancer

import (
	"slices"

	"peppervale/internal/model"
)

// Shares of the queue limit that unacknowledged entries may fill, by the urgency of the next update.
const (
	urgentShare  = 0.9 // for updates that must not be delayed
	promptShare  = 0.7 // for updates that should be sent soon
	routineShare = 0.5 // for all other updates
)

// budget is the limit of an update: a share of the queue limit, and whether each recipient must be allowed another
// message right after the update's, for a more urgent update.
type budget struct {
	queueShare   float64
	keepsMessage bool
}

var (
	withdrawalBudget  = budget{urgentShare, false} // withdrawals of draining or unlisted replicas, equally urgent updates
	promptBudget      = budget{promptShare, false} // temporary withdrawals, and weights to be sent at once
	urgentBindBudget  = budget{urgentShare, false}
	routineBindBudget = budget{routineShare, false}
	quotaBudget       = budget{promptShare, true}
	weightBudget      = budget{routineShare, true}

	firstWeightsBudget = budget{1, false} // weights of a new table, which no proxy uses yet
)

func (limits budget) isUrgent() bool { return limits.queueShare >= urgentShare }

// sequenceNumbers is the number of different sequence numbers. They have 16 bits on the wire.
const sequenceNumbers = 1 << 16

// sentMessage is a message that a proxy has not acknowledged.
type sentMessage struct {
	sequence int
	flush    uint64             // the flush in which it was sent
	entries  int                // entries reserved for the message, including its overhead
	at       model.Microseconds // send time
}

// sendWindow is the flow control: it limits the entries that are sent and not acknowledged, and so the length of the
// send queue. It does not rely on the configured speed of the network, which may be slower. Costs are in entries.
type sendWindow struct {
	messageCost    int // overhead of a message
	queueLimit     int // in entries
	partial        bool
	pacing         messagePacing
	unackedEntries int      // entries that are unacknowledged or reserved
	agedEntries    int      // entries added for the age of unacknowledged messages
	sequence       int      // sequence number of the last message
	recipients     []*proxy // proxies that get the message being written

	flush             uint64 // number of the flush in which the last message was sent
	acknowledgedFlush uint64 // newest flush of which a message was acknowledged
	ackFromAll        bool   // every proxy is to acknowledge the message, also proxies that are not in recipients

	messageRefusals int // updates refused because of the message limit, since the start
	queueRefusals   int // updates refused because of the queue limit, since the start
}

func newSendWindow(config model.Config) sendWindow {
	return sendWindow{
		messageCost: config.MessageOverhead + 1 + len(config.Operations),
		queueLimit:  config.QueueLimit,
		partial:     config.PartialDelivery,
		pacing:      newMessagePacing(config),
	}
}

// countAgedEntries counts the entries of a message once more for each second after the first that the message has
// been unacknowledged. A network that has become slow still has earlier messages queued, and withdrawals must not wait
// behind weights.
func (w *sendWindow) countAgedEntries(now model.Microseconds, proxies []*proxy) {
	w.agedEntries = 0
	if w.unackedEntries == 0 {
		return
	}
	for _, p := range proxies {
		for _, message := range p.unacked {
			excessAge := int(max(0, now-message.at-answerTimeout))
			w.agedEntries += excessAge * message.entries / int(model.Second)
		}
	}
}

// reserve reserves entries for each of the given proxies if all of them may be sent now, and reports whether they may.
func (w *sendWindow) reserve(now model.Microseconds, proxies []*proxy, entries int, limits budget) bool {
	if !w.pacing.allow(now, proxies, limits.keepsMessage) {
		w.messageRefusals++
		return false
	}
	total := w.countedEntries(limits)
	for _, p := range proxies {
		total += w.cost(p, entries)
	}
	if len(proxies) > 0 && w.exceedsQueue(total, w.attainableShare(len(proxies), entries, limits)) {
		w.queueRefusals++
		return false
	}
	for _, p := range proxies {
		w.take(p, entries)
	}
	return true
}

// reserveBind reserves entries for a bind of a proxy. A bind contains the complete state of the proxy, and so all that
// was deferred for it.
func (w *sendWindow) reserveBind(now model.Microseconds, p *proxy, entries int, limits budget) bool {
	deferred := p.deferred
	p.deferred = deferredParts{}
	reserved := w.reserve(now, []*proxy{p}, entries, limits)
	if !reserved {
		p.deferred = deferred
	}
	return reserved
}

// countedEntries are the entries that count against the share of an update. Aged entries count too, except for urgent
// updates.
func (w *sendWindow) countedEntries(limits budget) int {
	if limits.isUrgent() {
		return w.unackedEntries
	}
	return w.unackedEntries + w.agedEntries
}

// cost is what a message with further entries to a proxy adds to the queue: what was deferred for the proxy is sent
// too.
func (w *sendWindow) cost(p *proxy, entries int) int {
	cost := entries + p.deferred.entries
	if p.reserved == 0 {
		cost += w.messageCost
	}
	return cost
}

// take reserves entries for a proxy, together with what was deferred for it.
func (w *sendWindow) take(p *proxy, entries int) {
	cost := w.cost(p, entries)
	if p.reserved == 0 {
		w.recipients = append(w.recipients, p)
	}
	p.reserved += cost
	p.deferred = deferredParts{}
	w.unackedEntries += cost
}

// attainableShare is the share of the queue limit that an update to a number of proxies may fill. An update that
// exceeds its own share in an empty queue may fill the next larger one, as it would never be sent otherwise.
func (w *sendWindow) attainableShare(proxyCount, entries int, limits budget) float64 {
	share := limits.queueShare
	for _, larger := range []float64{promptShare, urgentShare} {
		if larger > share && w.isTooLarge(proxyCount, entries, share) {
			share = larger
		}
	}
	return share
}

// isTooLarge reports whether messages to a number of proxies, with some entries each, exceed a share of the queue limit
// even if nothing else is unacknowledged.
func (w *sendWindow) isTooLarge(proxyCount, entries int, share float64) bool {
	return float64(proxyCount*(w.messageCost+entries)) > share*float64(w.queueLimit)
}

// largestMessage is the number of entries that messages to a number of proxies may have in an empty queue; at least 1.
func (w *sendWindow) largestMessage(proxyCount int, limits budget) int {
	return max(1, int(limits.queueShare*float64(w.queueLimit))/max(proxyCount, 1)-w.messageCost)
}

// exceedsQueue reports whether entries exceed a share of the queue limit.
func (w *sendWindow) exceedsQueue(entries int, share float64) bool {
	return float64(entries) > share*float64(w.queueLimit)
}

// nextSequence returns the sequence number of the message being written.
func (w *sendWindow) nextSequence() uint32 {
	w.sequence = (w.sequence + 1) % sequenceNumbers
	w.flush++
	return uint32(w.sequence)
}

// recordSent records the message that was written as unacknowledged by each of its recipients.
func (w *sendWindow) recordSent(now model.Microseconds) {
	for _, p := range w.recipients {
		p.unacked = append(p.unacked, sentMessage{w.sequence, w.flush, p.reserved, now})
		w.pacing.recordSent(now, p)
		p.reserved = 0
	}
	w.recipients = nil
}

// acknowledge releases the entries of a proxy's messages up to a sequence number. An unknown number releases nothing.
func (w *sendWindow) acknowledge(now model.Microseconds, p *proxy, sequence int) {
	lastIndex := slices.IndexFunc(p.unacked, func(m sentMessage) bool { return m.sequence == sequence })
	if lastIndex >= 0 {
		p.acknowledgedAt = now
		w.acknowledgedFlush = max(w.acknowledgedFlush, p.unacked[lastIndex].flush)
	}
	w.release(p, lastIndex+1)
}

// release releases the entries of a proxy's oldest unacknowledged messages; count is the number of those messages.
func (w *sendWindow) release(p *proxy, count int) {
	for _, message := range p.unacked[:count] {
		w.unackedEntries -= message.entries
	}
	p.unacked = p.unacked[count:]
	p.overtaken = max(0, p.overtaken-count)
}

// recipientIDs returns the proxies that get the message being written, or nil without partial delivery.
func (w *sendWindow) recipientIDs() (ids []model.ProxyID) {
	if !w.partial {
		return nil
	}
	for _, p := range w.recipients {
		ids = append(ids, p.id)
	}
	return ids
}

// finishMessage requests an acknowledgement of the updates published since the last message, if there are any.
func (b *Balancer) finishMessage() {
	if len(b.window.recipients) > 0 {
		b.publisher.RequestAck(b.window.nextSequence(), b.window.ackFromAll, b.window.recipientIDs())
		b.window.ackFromAll = false
	}
	b.window.recordSent(b.now)
}
