package invariants

import (
	"cmp"
	"maps"
	"slices"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// recordMessage records a message for the check of the queues, and checks the number of messages to the proxy within
// the message window.
func (c *checker) recordMessage(proxy *proxyState, message *pubsubmsg.Message, now model.Microseconds) {
	instance := proxy.instance
	instance.sentMessages = append(instance.sentMessages, sentMessage{message.UpdatedAt, now, message.Cost})
	proxy.publicationTimes = append(proxy.publicationTimes, message.UpdatedAt)
	proxy.lastPublishedAt = max(proxy.lastPublishedAt, message.UpdatedAt)
	if c.limits.MessageLimit <= 0 {
		return
	}
	recentMessages := 0
	for _, at := range proxy.publicationTimes {
		if message.UpdatedAt-at < c.limits.MessageWindow {
			recentMessages++
		}
	}
	c.results[LongQueue].record(float64(recentMessages)/float64(c.limits.MessageLimit),
		"%s: %s wrote %d messages to %s within %s, %d are allowed",
		c.sinceStart(now), instance.name, recentMessages, proxy.name,
		formatSeconds(c.limits.MessageWindow), c.limits.MessageLimit)
}

// queueChange is a change in the number of an instance's entries that are in flight.
type queueChange struct {
	at      model.Microseconds
	entries int // number of entries added; below 0: removed
}

// checkQueues checks the queue of each instance, which holds the entries that are sent and not received yet.
func (c *checker) checkQueues() {
	for _, name := range slices.Sorted(maps.Keys(c.instances)) {
		entries := 0
		for _, change := range c.instances[name].queueChanges() {
			entries += change.entries
			c.results[LongQueue].record(float64(entries)/float64(max(c.limits.QueueLimit, 1)),
				"%s: %d entries of %s were in flight, %d are allowed",
				c.sinceStart(change.at), entries, name, c.limits.QueueLimit)
		}
	}
}

// queueChanges returns the changes by all messages in order of time. At the same time, removals precede additions.
func (i *instanceState) queueChanges() []queueChange {
	changes := make([]queueChange, 0, 2*len(i.sentMessages))
	for _, m := range i.sentMessages {
		changes = append(changes, queueChange{m.updatedAt, m.cost}, queueChange{m.receivedAt, -m.cost})
	}
	slices.SortStableFunc(changes, func(a, b queueChange) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.entries, b.entries))
	})
	return changes
}
