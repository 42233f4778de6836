package pubsub

import (
	"fmt"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/snapshot"
)

// The kinds of message that observers get.
const (
	kindSnapshot = "snapshot"
	kindChange   = "change"
)

// Snapshot is the whole published state, as observers get it.
type Snapshot struct {
	Kind       string               `json:"kind"` // snapshot
	Life       uint64               `json:"life"`
	Version    uint64               `json:"version"`
	Tables     map[string][]LineOut `json:"tables"`
	Withdrawn  []string             `json:"withdrawn"`
	Levels     []LevelOut           `json:"levels"`
	Forwarders map[string]string    `json:"forwarders"` // proxy's name to its table; empty: on its own
}

// LineOut is a table's entry in JSON.
type LineOut struct {
	Replica string  `json:"replica"`
	Weight  float64 `json:"weight"`
}

// LevelOut is an admission quota in JSON; Operations has a bit for each operation.
type LevelOut struct {
	Operations uint16  `json:"operations"`
	Share      float64 `json:"share"`
	Way        uint8   `json:"way"` // of retrying, see model.RetryPolicy
}

// Change is one version's updates, as observers get them.
type Change struct {
	Kind    string         `json:"kind"` // change
	Life    uint64         `json:"life"`
	Version uint64         `json:"version"`
	Updates []ChangeUpdate `json:"orders"`
}

// ChangeUpdate is one update in JSON.
type ChangeUpdate struct {
	Action  string    `json:"do"` // assign, bind, withdraw, restore or level
	Table   string    `json:"table,omitempty"`
	Replica string    `json:"replica,omitempty"`
	Weight  float64   `json:"weight,omitempty"`
	Proxy   string    `json:"forwarder,omitempty"`
	Quota   *LevelOut `json:"level,omitempty"`
}

// Snapshot is what stands published.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot()
}

// snapshot is what stands published; s.mu is held.
func (s *Server) snapshot() Snapshot {
	published := s.published
	message := Snapshot{
		Kind:       kindSnapshot,
		Life:       published.Incarnation,
		Version:    published.Version,
		Tables:     map[string][]LineOut{},
		Withdrawn:  []string{},
		Levels:     []LevelOut{},
		Forwarders: map[string]string{},
	}
	for id, table := range published.Tables {
		entries := make([]LineOut, 0, len(table.Entries))
		for _, entry := range table.Entries {
			entries = append(entries, LineOut{pubsubmsg.Address(entry.Replica), entry.Weight})
		}
		message.Tables[fmt.Sprint(id)] = entries
	}
	for _, replica := range published.Withdrawn {
		message.Withdrawn = append(message.Withdrawn, pubsubmsg.Address(replica))
	}
	for _, quota := range published.Quotas {
		message.Levels = append(message.Levels, levelOut(quota))
	}
	for _, subscriber := range published.Subscribers {
		table := ""
		if subscriber.Table != nil {
			table = fmt.Sprint(subscriber.Table.ID)
		}
		message.Forwarders[subscriber.Name] = table
	}
	return message
}

// change is a batch that has just been published; s.mu is held.
func (s *Server) change(batch *snapshot.Batch) Change {
	message := Change{
		Kind:    kindChange,
		Life:    s.published.Incarnation,
		Version: s.published.Version,
		Updates: []ChangeUpdate{},
	}
	for _, update := range batch.Updates {
		message.Updates = append(message.Updates, s.changeUpdate(update))
	}
	return message
}

func (s *Server) changeUpdate(update snapshot.Update) ChangeUpdate {
	switch update.Kind {
	case snapshot.SetWeight:
		return ChangeUpdate{
			Action:  "assign",
			Table:   fmt.Sprint(update.Table),
			Replica: pubsubmsg.Address(update.Replica),
			Weight:  update.Weight,
		}
	case snapshot.BindProxy:
		bind := ChangeUpdate{Action: "bind", Table: fmt.Sprint(update.Table)}
		if subscriber := s.published.ByProxy[update.Proxy]; subscriber != nil {
			bind.Proxy = subscriber.Name
		}
		return bind
	case snapshot.SetWithdrawn:
		action := "restore"
		if update.Withdrawn {
			action = "withdraw"
		}
		return ChangeUpdate{Action: action, Replica: pubsubmsg.Address(update.Replica)}
	case snapshot.SetQuota:
		level := levelOut(update.Quota)
		return ChangeUpdate{Action: "level", Quota: &level}
	default:
		return ChangeUpdate{}
	}
}

func levelOut(quota pubsubmsg.Quota) LevelOut {
	return LevelOut{Operations: quota.Operations, Share: quota.Share, Way: uint8(quota.RetryPolicy)}
}
