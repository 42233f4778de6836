package snapshot

import (
	"slices"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// Table is a published weight table, shared by the proxies that are bound to it. Callers must not change it.
type Table struct {
	ID      model.TableID
	Entries []pubsubmsg.Entry // in the order in which they were added

	index       map[model.ReplicaID]int // positions in Entries
	subscribers []*Subscriber
}

func newTable(id model.TableID) *Table {
	return &Table{ID: id, index: map[model.ReplicaID]int{}}
}

// setWeight adds or changes an entry; a weight of 0 or less removes it.
func (t *Table) setWeight(replica model.ReplicaID, weight float64) {
	position, isListed := t.index[replica]
	switch {
	case isListed && weight > 0:
		t.Entries[position].Weight = weight
	case isListed:
		t.removeAt(position)
	case weight > 0:
		t.index[replica] = len(t.Entries)
		t.Entries = append(t.Entries, pubsubmsg.Entry{Replica: replica, Weight: weight})
	}
}

func (t *Table) removeAt(position int) {
	delete(t.index, t.Entries[position].Replica)
	t.Entries = slices.Delete(t.Entries, position, position+1)
	for moved := position; moved < len(t.Entries); moved++ {
		t.index[t.Entries[moved].Replica] = moved
	}
}

func (t *Table) hasEntry(replica model.ReplicaID) bool {
	_, found := t.index[replica]
	return found
}

// weight returns a replica's weight, or 0 if it has no entry.
func (t *Table) weight(replica model.ReplicaID) float64 {
	if position, found := t.index[replica]; found {
		return t.Entries[position].Weight
	}
	return 0
}

// currentEntries returns the current entries of some replicas, each once, in the order of first occurrence. A removed
// entry has weight 0. t may be nil if replicas is empty, as for an unbound subscriber.
func (t *Table) currentEntries(replicas []model.ReplicaID) []pubsubmsg.Entry {
	var entries []pubsubmsg.Entry
	for _, replica := range unique(replicas) {
		entries = append(entries, pubsubmsg.Entry{Replica: replica, Weight: t.weight(replica)})
	}
	return entries
}

func (t *Table) removeSubscriber(subscriber *Subscriber) {
	t.subscribers = removeSubscriber(t.subscribers, subscriber)
}

// unique returns the replicas without duplicates, in the order of first occurrence.
func unique(replicas []model.ReplicaID) []model.ReplicaID {
	seen := map[model.ReplicaID]bool{}
	var result []model.ReplicaID
	for _, replica := range replicas {
		if !seen[replica] {
			seen[replica] = true
			result = append(result, replica)
		}
	}
	return result
}

func removeSubscriber(subscribers []*Subscriber, removed *Subscriber) []*Subscriber {
	return slices.DeleteFunc(subscribers, func(s *Subscriber) bool { return s == removed })
}
