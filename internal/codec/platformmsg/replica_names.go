package platformmsg

import (
	"encoding/binary"
	"sync"

	"peppervale/internal/model"
)

// maxReplicaNames bounds the names in one incarnation of a controller: a fleet that replaces one replica per second
// reaches the bound after 18 hours.
const maxReplicaNames = 65_536

// ReplicaNames maps the platform's names of replicas to the ids that other packages use. A name is never removed and
// keeps its id, since tables may still contain a replica that is gone. ReplicaNames is safe for concurrent use.
type ReplicaNames struct {
	mu    sync.RWMutex
	ids   map[string]model.ReplicaID
	names []string // by id; the first id is 1
}

// NewReplicaNames returns an empty map.
func NewReplicaNames() *ReplicaNames {
	return &ReplicaNames{ids: map[string]model.ReplicaID{}}
}

// ID returns the id of a name that was registered by Register; ok is false for any other name.
func (n *ReplicaNames) ID(name string) (id model.ReplicaID, ok bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	id, ok = n.ids[name]
	return id, ok
}

// Register returns the id of a name and assigns one to a new name; ok is false if a new name would exceed
// maxReplicaNames.
func (n *ReplicaNames) Register(name string) (id model.ReplicaID, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id, ok = n.ids[name]
	if ok || len(n.names) >= maxReplicaNames {
		return id, ok
	}
	n.names = append(n.names, name)
	binary.BigEndian.PutUint32(id.Addr[:], uint32(len(n.names)))
	id.Port = 1
	n.ids[name] = id
	return id, true
}

// Name returns the name of an id that Register assigned, and an empty string for any other id.
func (n *ReplicaNames) Name(id model.ReplicaID) string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	number := binary.BigEndian.Uint32(id.Addr[:])
	if number == 0 || int(number) > len(n.names) {
		return ""
	}
	return n.names[number-1]
}
