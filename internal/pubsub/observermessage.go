package pubsub

import (
	"fmt"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/snapshot"
)

// The kinds of message that observers receive.
const (
	kindSnapshot = "snapshot"
	kindChange   = "change"
)

// Snapshot is the complete published state, as sent to observers.
type Snapshot struct {
	Kind        string                  `json:"kind"` // snapshot
	Incarnation uint64                  `json:"life"`
	Version     uint64                  `json:"version"`
	Tables      map[string][]TableEntry `json:"tables"`
	Withdrawn   []string                `json:"withdrawn"`
	Quotas      []Quota                 `json:"levels"`
	Proxies     map[string]string       `json:"forwarders"` // table by proxy name; empty: not bound
}

// TableEntry is a table's entry in JSON.
type TableEntry struct {
	Replica string  `json:"replica"`
	Weight  float64 `json:"weight"`
}

// Quota is an admission quota in JSON; Operations has one bit per operation.
type Quota struct {
	Operations  uint16  `json:"operations"`
	Share       float64 `json:"share"`
	RetryPolicy uint8   `json:"way"` // see model.RetryPolicy
}

// Change contains the updates of one version, as sent to observers.
type Change struct {
	Kind        string         `json:"kind"` // change
	Incarnation uint64         `json:"life"`
	Version     uint64         `json:"version"`
	Updates     []ChangeUpdate `json:"orders"`
}

// ChangeUpdate is one update in JSON.
type ChangeUpdate struct {
	Action  string  `json:"do"` // assign, bind, withdraw, restore or level
	Table   string  `json:"table,omitempty"`
	Replica string  `json:"replica,omitempty"`
	Weight  float64 `json:"weight,omitempty"`
	Proxy   string  `json:"forwarder,omitempty"`
	Quota   *Quota  `json:"level,omitempty"`
}

// Snapshot returns the published state.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshotMessage()
}

// snapshotMessage returns the published state; s.mu is held.
func (s *Server) snapshotMessage() Snapshot {
	state := s.publishedState
	message := Snapshot{
		Kind:        kindSnapshot,
		Incarnation: state.Incarnation,
		Version:     state.Version,
		Tables:      map[string][]TableEntry{},
		Withdrawn:   []string{},
		Quotas:      []Quota{},
		Proxies:     map[string]string{},
	}
	for id, table := range state.Tables {
		entries := make([]TableEntry, 0, len(table.Entries))
		for _, entry := range table.Entries {
			entries = append(entries, TableEntry{pubsubmsg.FormatAddress(entry.Replica), entry.Weight})
		}
		message.Tables[fmt.Sprint(id)] = entries
	}
	for _, replica := range state.Withdrawn {
		message.Withdrawn = append(message.Withdrawn, pubsubmsg.FormatAddress(replica))
	}
	for _, quota := range state.Quotas {
		message.Quotas = append(message.Quotas, quotaMessage(quota))
	}
	for _, subscriber := range state.Subscribers {
		table := ""
		if subscriber.Table != nil {
			table = fmt.Sprint(subscriber.Table.ID)
		}
		message.Proxies[subscriber.Name] = table
	}
	return message
}

// changeMessage returns the message for a batch that has just been published; s.mu is held.
func (s *Server) changeMessage(batch *snapshot.Batch) Change {
	message := Change{
		Kind:        kindChange,
		Incarnation: s.publishedState.Incarnation,
		Version:     s.publishedState.Version,
		Updates:     []ChangeUpdate{},
	}
	for _, update := range batch.Updates {
		message.Updates = append(message.Updates, s.changeUpdate(update))
	}
	return message
}

// changeUpdate converts one update; s.mu is held.
func (s *Server) changeUpdate(update snapshot.Update) ChangeUpdate {
	switch update.Kind {
	case snapshot.SetWeight:
		return ChangeUpdate{
			Action:  "assign",
			Table:   fmt.Sprint(update.Table),
			Replica: pubsubmsg.FormatAddress(update.Replica),
			Weight:  update.Weight,
		}
	case snapshot.BindProxy:
		bind := ChangeUpdate{Action: "bind", Table: fmt.Sprint(update.Table)}
		if subscriber := s.publishedState.SubscribersByProxy[update.Proxy]; subscriber != nil {
			bind.Proxy = subscriber.Name
		}
		return bind
	case snapshot.SetWithdrawn:
		action := "restore"
		if update.Withdrawn {
			action = "withdraw"
		}
		return ChangeUpdate{Action: action, Replica: pubsubmsg.FormatAddress(update.Replica)}
	case snapshot.SetQuota:
		quota := quotaMessage(update.Quota)
		return ChangeUpdate{Action: "level", Quota: &quota}
	default:
		return ChangeUpdate{}
	}
}

func quotaMessage(quota pubsubmsg.Quota) Quota {
	return Quota{Operations: quota.Operations, Share: quota.Share, RetryPolicy: uint8(quota.RetryPolicy)}
}
