package model

// LoadReport contains the measurements of the connected proxies of one zone at one replica over a window. It is sent as
// CBOR in handovers; its tags are names in sent data and must not change.
type LoadReport struct {
	Zone        int          `cbor:"Zone"` // zone of the proxies: an index in the configuration
	Replica     ReplicaID    `cbor:"Replica"`
	Attempts    int          `cbor:"Tries"`   // attempts that ended within the window
	Errors      int          `cbor:"Errored"` // attempts without a successful response: errors, time-outs, failed connects
	MeanLatency Microseconds `cbor:"Latency"` // of the successful attempts; 0 if there were none
	Window      Microseconds `cbor:"Span"`    // period that the attempts were counted over
	Readings    []float64    `cbor:"Report"`  // newest readings that the replica reported, in the configured order
}
