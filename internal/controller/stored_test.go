package controller

import (
	"encoding/json"
	"reflect"
	"testing"
)

// TestDecisionKeepsStoredJSON fixes the JSON encoding of a decision log entry, which state stores of earlier versions
// contain.
func TestDecisionKeepsStoredJSON(t *testing.T) {
	for _, tt := range []struct {
		decision Decision
		stored   string
	}{
		{
			Decision{
				At: 11, Number: 12, Incarnation: 13, Inputs: []string{"joined a"}, Reasons: []string{"gate open"},
				Updates: []string{"withdraw b"}, OmittedUpdates: 14,
			},
			`{"At":11,"Number":12,"Life":13,"Came":["joined a"],"Said":["gate open"],"Orders":["withdraw b"],"Cut":14}`,
		},
		{Decision{At: 11, Number: 12}, `{"At":11,"Number":12,"Came":null,"Said":null,"Orders":null,"Cut":0}`},
	} {
		body, err := json.Marshal(&tt.decision)
		if err != nil || string(body) != tt.stored {
			t.Errorf("stored as %s, error %v; want %s", body, err, tt.stored)
		}
		var decoded Decision
		if err := json.Unmarshal([]byte(tt.stored), &decoded); err != nil || !reflect.DeepEqual(decoded, tt.decision) {
			t.Errorf("read back as %+v, error %v; want %+v", decoded, err, tt.decision)
		}
	}
}
