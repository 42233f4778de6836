package balancer

import "peppervale/internal/model"

// answerTimeout is how long a message may be unacknowledged before its proxy counts as one that may not answer. Longer
// unacknowledged messages age, see countAgedEntries.
const answerTimeout = model.Second

// probeBudget lets a probe use the part of the queue that no update fills: it is sent when updates are held up.
var probeBudget = budget{1, true}

// The channel sends messages one after another, so an acknowledgement shows that all messages of earlier flushes have
// left it, also those to proxies that acknowledge nothing. The order of the messages of one flush is not known.
// Without partial delivery an update goes to all proxies that it concerns or to none, so that a silent proxy holds it
// up in any case, and its messages count until they are acknowledged.

// maxOvertaken bounds the messages to one proxy that are kept for an acknowledgement that may still come.
const maxOvertaken = 64

// releaseOvertaken releases the entries of messages that have left the channel though their proxies have not
// acknowledged them: what a silent proxy owes does not hold up the updates of other proxies. The messages stay
// unacknowledged, the newest ones of each proxy.
func (w *sendWindow) releaseOvertaken(proxies []*proxy) {
	if !w.partial || w.unackedEntries == 0 {
		return
	}
	for _, p := range proxies {
		overtaken := 0
		for overtaken < len(p.unacked) && p.unacked[overtaken].flush < w.acknowledgedFlush {
			w.unackedEntries -= p.unacked[overtaken].entries
			p.unacked[overtaken].entries = 0
			overtaken++
		}
		p.overtaken = overtaken
		if overtaken > maxOvertaken {
			w.release(p, overtaken-maxOvertaken)
		}
	}
}

// isBehind reports whether a proxy has not acknowledged messages that have left the channel. Other proxies are sent
// their parts of an update first.
func (p *proxy) isBehind() bool { return p.overtaken > 0 }

// inChannel returns the messages to a proxy that may still be in the channel.
func (p *proxy) inChannel() []sentMessage { return p.unacked[p.overtaken:] }

// probeChannel sends a message without changes to a proxy that has acknowledged all that it was sent, if messages age
// and no other answer is to come that would show how far the channel is. It chooses the proxy that was the last to
// acknowledge a message. One that does not answer is not chosen again before it does, and at most one probe is sent in
// each answerTimeout.
func (b *Balancer) probeChannel() {
	if !b.config.PartialDelivery || !b.window.isHeldUp(b.now, b.proxies) {
		return
	}
	var chosen *proxy
	for _, p := range b.proxies {
		isCandidate := p.acknowledgedAt > 0 && len(p.unacked) == 0
		if isCandidate && (chosen == nil || p.acknowledgedAt > chosen.acknowledgedAt) {
			chosen = p
		}
	}
	if chosen != nil && b.window.mayTake(b.now, chosen, 0, probeBudget) {
		b.window.take(chosen, 0)
	}
}

// isHeldUp reports whether messages have been in the channel for answerTimeout, and no later message is about to be
// sent or may still be acknowledged in time.
func (w *sendWindow) isHeldUp(now model.Microseconds, proxies []*proxy) bool {
	if w.unackedEntries == 0 || len(w.recipients) > 0 {
		return false
	}
	someAge := false
	for _, p := range proxies {
		for _, message := range p.inChannel() {
			if now-message.at < answerTimeout && !p.isBehind() {
				return false
			}
			someAge = someAge || now-message.at >= answerTimeout
		}
	}
	return someAge
}
