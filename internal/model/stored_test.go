package model

import (
	"encoding/json"
	"testing"
)

// TestEndpointKeepsStoredJSON fixes the JSON encoding of an endpoint, which state stores of earlier versions contain.
func TestEndpointKeepsStoredJSON(t *testing.T) {
	endpoint := Endpoint{
		ID: ReplicaID{Addr: [4]byte{10, 1, 2, 3}, Port: 8081}, Zone: 4, Status: EndpointDraining, StartedAt: 5_000_006,
	}
	const stored = `{"ID":{"Addr":[10,1,2,3],"Port":8081},"Zone":4,"Life":2,"Since":5000006}`
	body, err := json.Marshal(endpoint)
	if err != nil || string(body) != stored {
		t.Errorf("stored as %s, error %v; want %s", body, err, stored)
	}
	var decoded Endpoint
	if err := json.Unmarshal([]byte(stored), &decoded); err != nil || decoded != endpoint {
		t.Errorf("read back as %+v, error %v; want %+v", decoded, err, endpoint)
	}
}

// TestNamedValuesKeepStoredNumbers fixes the numbers of named values in stored data and on the wire.
func TestNamedValuesKeepStoredNumbers(t *testing.T) {
	if EndpointGone != 0 || EndpointReady != 1 || EndpointDraining != 2 {
		t.Errorf("statuses are stored as gone %d, ready %d, draining %d; want 0, 1, 2",
			EndpointGone, EndpointReady, EndpointDraining)
	}
	if RetryNever != 0 || RetryIfNotExecuted != 1 || RetryOnAnyFailure != 2 || RetryTwiceOnAnyFailure != 3 {
		t.Errorf("retry policies are published as %d, %d, %d, %d; want 0 to 3",
			RetryNever, RetryIfNotExecuted, RetryOnAnyFailure, RetryTwiceOnAnyFailure)
	}
}
