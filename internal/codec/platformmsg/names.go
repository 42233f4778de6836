package platformmsg

import (
	"encoding/binary"
	"sync"

	"peppervale/internal/model"
)

// ReplicaNames gives replicas, which the platform names by words, the ids that the rest of the program uses, and back. An id stays with its
// name: one that is gone may stand in a table yet. Safe for use from several goroutines.
type ReplicaNames struct {
	mu    sync.RWMutex
	ids   map[string]model.ReplicaID
	names []string
}

// namesMost bounds the names in one life of a governor: a day that replaces a replica each second fills it in 18 hours.
const namesMost = 65_536

// NewReplicaNames makes an empty one.
func NewReplicaNames() *ReplicaNames { return &ReplicaNames{ids: map[string]model.ReplicaID{}} }

// ID gives the id of a name that was listed; ok is false for any other.
func (n *ReplicaNames) ID(name string) (id model.ReplicaID, ok bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	id, ok = n.ids[name]
	return id, ok
}

// Listed gives the id of a name, a new one if need be; ok is false once there are too many.
func (n *ReplicaNames) Listed(name string) (id model.ReplicaID, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if id, ok = n.ids[name]; ok || len(n.names) >= namesMost {
		return id, ok
	}
	n.names = append(n.names, name)
	binary.BigEndian.PutUint32(id.Addr[:], uint32(len(n.names)))
	id.Port = 1
	n.ids[name] = id
	return id, true
}

// Name gives the name of an id that Listed gave; "" for any other.
func (n *ReplicaNames) Name(id model.ReplicaID) string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	k := binary.BigEndian.Uint32(id.Addr[:])
	if k == 0 || int(k) > len(n.names) {
		return ""
	}
	return n.names[k-1]
}
