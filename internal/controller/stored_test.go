package controller

import (
	"encoding/json"
	"reflect"
	"testing"
)

// TestCauseStoredNames fixes the JSON of a decision log entry: state folders of earlier versions hold these bytes.
func TestCauseStoredNames(t *testing.T) {
	for _, c := range []struct {
		cause  Decision
		stored string
	}{
		{Decision{At: 11, Number: 12, Incarnation: 13, Inputs: []string{"joined a"}, Reasons: []string{"gate open"}, Updates: []string{"withdraw b"}, OmittedUpdates: 14},
			`{"At":11,"Number":12,"Life":13,"Came":["joined a"],"Said":["gate open"],"Orders":["withdraw b"],"Cut":14}`},
		{Decision{At: 11, Number: 12}, `{"At":11,"Number":12,"Came":null,"Said":null,"Orders":null,"Cut":0}`},
	} {
		body, err := json.Marshal(&c.cause)
		if err != nil || string(body) != c.stored {
			t.Errorf("stored as %s, %v; want %s", body, err, c.stored)
		}
		var decoded Decision
		if err := json.Unmarshal([]byte(c.stored), &decoded); err != nil || !reflect.DeepEqual(decoded, c.cause) {
			t.Errorf("read back as %+v, %v; want %+v", decoded, err, c.cause)
		}
	}
}
