package snapshot

import (
	"slices"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// Table is a weight table as published, shared by the proxies that are bound to it. It is to be read only.
type Table struct {
	ID      model.TableID
	Entries []pubsubmsg.Entry // in the order in which they were added

	index map[model.ReplicaID]int // place in Entries
	users []*Subscriber
}

func newTable(id model.TableID) *Table {
	return &Table{ID: id, index: map[model.ReplicaID]int{}}
}

// setWeight adds or changes an entry; a weight of 0 or less removes it.
func (t *Table) setWeight(replica model.ReplicaID, weight float64) {
	place, isListed := t.index[replica]
	switch {
	case isListed && weight > 0:
		t.Entries[place].Weight = weight
	case isListed:
		t.remove(place)
	case weight > 0:
		t.index[replica] = len(t.Entries)
		t.Entries = append(t.Entries, pubsubmsg.Entry{Replica: replica, Weight: weight})
	}
}

func (t *Table) remove(place int) {
	delete(t.index, t.Entries[place].Replica)
	t.Entries = slices.Delete(t.Entries, place, place+1)
	for moved := place; moved < len(t.Entries); moved++ {
		t.index[t.Entries[moved].Replica] = moved
	}
}

func (t *Table) has(replica model.ReplicaID) bool {
	_, found := t.index[replica]
	return found
}

// weight returns 0 for a replica without entry.
func (t *Table) weight(replica model.ReplicaID) float64 {
	if place, found := t.index[replica]; found {
		return t.Entries[place].Weight
	}
	return 0
}

// currentEntries returns the entries of some replicas as they are now, each once, in the order of first mention; a
// removed one has weight 0. An unbound subscriber has no table and no changed entries: t may be nil then.
func (t *Table) currentEntries(replicas []model.ReplicaID) []pubsubmsg.Entry {
	var entries []pubsubmsg.Entry
	for _, replica := range unique(replicas) {
		entries = append(entries, pubsubmsg.Entry{Replica: replica, Weight: t.weight(replica)})
	}
	return entries
}

func (t *Table) removeUser(subscriber *Subscriber) {
	t.users = removeSubscriber(t.users, subscriber)
}

// unique returns the replicas without repetitions, in the order of first mention.
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

func removeSubscriber(subscribers []*Subscriber, gone *Subscriber) []*Subscriber {
	return slices.DeleteFunc(subscribers, func(s *Subscriber) bool { return s == gone })
}
