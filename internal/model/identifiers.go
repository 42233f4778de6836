package model

// ReplicaID is a replica's IPv4 address and port in the endpoint list. It is stored as JSON within
// Endpoint and as CBOR within LoadReport; its tags are names in stored data and must not change.
type ReplicaID struct {
	Addr [4]byte `cbor:"Addr" json:"Addr"` // in network byte order
	Port uint16  `cbor:"Port" json:"Port"`
}

// ProxyID is a proxy's number, as used on the wire.
type ProxyID uint16

// TableID is the number of a weight table, as used on the wire.
type TableID uint16
