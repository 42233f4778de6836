package snapshot

import (
	"slices"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// WithdrawalLifetime is how long a bound proxy keeps a withdrawal, by the protocol that it speaks.
type WithdrawalLifetime uint8

// The lifetimes of a withdrawal.
const (
	UntilSnapshot    WithdrawalLifetime = iota + 1 // a snapshot ends the withdrawals that it does not contain
	UntilReadmission                               // only a readmission ends it
)

// State is the published state of one controller. Create it with New. Callers must not change its exported fields.
type State struct {
	Incarnation uint64 // incarnation of the controller
	Version     uint64 // number of batches applied

	Tables             map[model.TableID]*Table
	Withdrawn          []model.ReplicaID // withdrawn replicas, in the order of their withdrawal
	Quotas             []pubsubmsg.Quota // in the order in which they were first set
	Subscribers        []*Subscriber     // in the order of their subscription
	SubscribersByProxy map[model.ProxyID]*Subscriber

	messageOverhead    int // cost of a message in addition to its entries, in entries
	withdrawalLifetime WithdrawalLifetime
	isWithdrawn        map[model.ReplicaID]bool
}

// New returns the empty state of one incarnation of a controller; messageOverhead is the cost of a message in addition
// to its entries, in entries. withdrawalLifetime must be that of the protocol by which subscribers get their messages.
func New(incarnation uint64, messageOverhead int, withdrawalLifetime WithdrawalLifetime) *State {
	return &State{
		Incarnation:        incarnation,
		Tables:             map[model.TableID]*Table{},
		SubscribersByProxy: map[model.ProxyID]*Subscriber{},
		messageOverhead:    messageOverhead,
		withdrawalLifetime: withdrawalLifetime,
		isWithdrawn:        map[model.ReplicaID]bool{},
	}
}

// Subscribe adds a proxy, which uses its standing table until it is bound. A new subscription of the same proxy
// replaces the old one.
func (s *State) Subscribe(proxy model.ProxyID, name string) *Subscriber {
	s.Unsubscribe(proxy)
	subscriber := &Subscriber{
		Proxy:       proxy,
		Name:        name,
		version:     s.Version,
		ackSequence: NoAckSequence,
		withdrawn:   map[model.ReplicaID]bool{},
	}
	s.SubscribersByProxy[proxy] = subscriber
	s.Subscribers = append(s.Subscribers, subscriber)
	return subscriber
}

// Unsubscribe removes a proxy, if it is subscribed.
func (s *State) Unsubscribe(proxy model.ProxyID) {
	subscriber := s.SubscribersByProxy[proxy]
	if subscriber == nil {
		return
	}
	delete(s.SubscribersByProxy, proxy)
	s.Subscribers = removeSubscriber(s.Subscribers, subscriber)
	subscriber.unbind()
}

// Apply applies a batch to the state and returns one message for each affected subscriber or, if the batch is partial,
// for each of its recipients. An empty batch changes nothing, not even the version.
func (s *State) Apply(batch *Batch) []Delivery {
	if batch.Empty() {
		return nil
	}
	s.Version++
	for i := range batch.Updates {
		s.applyUpdate(&batch.Updates[i])
	}
	if batch.Partial {
		return s.deliverToRecipients(batch)
	}
	var deliveries []Delivery
	for _, subscriber := range s.Subscribers {
		if subscriber.pending != nil || batch.AckFromAll {
			deliveries = append(deliveries, s.deliver(subscriber, batch))
		}
	}
	return deliveries
}

// deliverToRecipients returns one message for each recipient of a batch that is subscribed, in the order of the
// recipients. The pending changes of the other subscribers are kept, each once.
func (s *State) deliverToRecipients(batch *Batch) (deliveries []Delivery) {
	isRecipient := make(map[*Subscriber]bool, len(batch.Recipients))
	for _, proxy := range batch.Recipients {
		subscriber := s.SubscribersByProxy[proxy]
		if subscriber != nil && !isRecipient[subscriber] {
			isRecipient[subscriber] = true
			deliveries = append(deliveries, s.deliver(subscriber, batch))
		}
	}
	for _, subscriber := range s.Subscribers {
		if subscriber.pending != nil && !isRecipient[subscriber] {
			subscriber.pending.removeDuplicates()
		}
	}
	return deliveries
}

func (s *State) applyUpdate(update *Update) {
	switch update.Kind {
	case SetWeight:
		s.setWeight(update)
	case BindProxy:
		s.bindProxy(update)
	case SetWithdrawn:
		s.setWithdrawn(update)
	case SetQuota:
		s.setQuota(update.Quota)
	}
}

// tableOrNew returns a table, which it creates if there is none with this number.
func (s *State) tableOrNew(id model.TableID) *Table {
	table := s.Tables[id]
	if table == nil {
		table = newTable(id)
		s.Tables[id] = table
	}
	return table
}

func (s *State) setWeight(update *Update) {
	table := s.tableOrNew(update.Table)
	replica := update.Replica
	isNew := !table.hasEntry(replica)
	table.setWeight(replica, update.Weight)
	for _, subscriber := range table.subscribers {
		pending := subscriber.pendingChanges()
		if subscriber.ZoneLocalTable == table {
			pending.zoneLocalChangedReplicas = append(pending.zoneLocalChangedReplicas, replica)
		} else {
			pending.changedReplicas = append(pending.changedReplicas, replica)
		}
		// A withdrawal or readmission is sent only to subscribers that may use the replica; to a subscriber that gets a new
		// entry for the replica, it is sent together with the entry.
		if isNew && s.isWithdrawn[replica] != subscriber.IsWithdrawn(replica) {
			pending.withdrawalChanges = append(pending.withdrawalChanges, replica)
		}
	}
}

func (s *State) bindProxy(update *Update) {
	subscriber := s.SubscribersByProxy[update.Proxy]
	if subscriber == nil {
		return
	}
	subscriber.bind(s.tableOrNew(update.Table), update.Operations)
	pending := subscriber.pendingChanges()
	pending.newlyBound = true
	pending.readmitted = append(pending.readmitted, update.Readmitted...)
}

func (s *State) setWithdrawn(update *Update) {
	replica := update.Replica
	if update.Withdrawn != s.isWithdrawn[replica] {
		s.recordWithdrawn(replica, update.Withdrawn)
	}
	for _, subscriber := range s.Subscribers {
		isKnown := update.Withdrawn && subscriber.IsWithdrawn(replica)
		if subscriber.mayUse(replica) && !isKnown {
			pending := subscriber.pendingChanges()
			pending.withdrawalChanges = append(pending.withdrawalChanges, replica)
		}
	}
}

func (s *State) recordWithdrawn(replica model.ReplicaID, withdrawn bool) {
	if withdrawn {
		s.isWithdrawn[replica] = true
		s.Withdrawn = append(s.Withdrawn, replica)
		return
	}
	delete(s.isWithdrawn, replica)
	s.Withdrawn = slices.DeleteFunc(s.Withdrawn, func(r model.ReplicaID) bool { return r == replica })
}

func (s *State) setQuota(quota pubsubmsg.Quota) {
	index := slices.IndexFunc(s.Quotas, func(q pubsubmsg.Quota) bool { return q.Operations == quota.Operations })
	if index >= 0 {
		s.Quotas[index] = quota
	} else {
		s.Quotas = append(s.Quotas, quota)
	}
	for _, subscriber := range s.Subscribers {
		subscriber.pendingChanges().quotasChanged = true
	}
}
