package model

// LoadReport is what the connected proxies of one zone measured at one replica over a window. It is sent as CBOR in
// hand-overs; its tags are names in sent data and must not change.
type LoadReport struct {
	Zone        int          `cbor:"Zone"` // of the proxies: an index in the configuration
	Replica     ReplicaID    `cbor:"Replica"`
	Attempts    int          `cbor:"Tries"`   // that ended within the window
	Errors      int          `cbor:"Errored"` // attempts without a successful response: errors, time-outs, failed connects
	MeanLatency Microseconds `cbor:"Latency"` // of the successful attempts; 0 if there were none
	Window      Microseconds `cbor:"Span"`    // that the attempts were counted over
	Readings    []float64    `cbor:"Report"`  // the newest that the replica gave of itself, in the configured order
}
