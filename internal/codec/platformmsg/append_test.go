package platformmsg

import (
	"reflect"
	"strings"
	"testing"

	"peppervale/internal/codec/resp"
)

// encodeParts encodes an update and returns the words of each part, joined by spaces.
func encodeParts(t *testing.T, update Update) []string {
	t.Helper()
	encoded, err := update.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	values, err := decode(t, encoded, resp.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	var parts []string
	for _, value := range values {
		var words []string
		for _, item := range value.Items {
			words = append(words, item.Text)
		}
		parts = append(parts, strings.Join(words, " "))
	}
	return parts
}

func TestAppendSplitsUpdateIntoParts(t *testing.T) {
	tests := map[string]struct {
		update Update
		want   []string
	}{
		"weights are rounded to five decimals": {
			Update{Full: true, AckSequence: -1, Entries: []Entry{{"s-1", 1.5}, {"s-2", 1e-9}, {"s-3", 0}}},
			[]string{"update whole 1 lines s-1:1.5,s-2:0.00001,s-3:0"},
		},
		"withdrawn and readmitted replicas": {
			Update{AckSequence: 905, Withdrawn: []string{"s-1", "s-2"}, Readmitted: []string{"s-3"}},
			[]string{"update out s-1,s-2 back s-3 ticket 905"},
		},
		"only an acknowledgement sequence": {
			Update{AckSequence: 0},
			[]string{"update ticket 0"},
		},
		"one part for each quota": {
			Update{Full: true, AckSequence: 7, Quotas: []Quota{{"read", 0.123456789, 0}, {"", 1, 1}}},
			[]string{
				"update whole 1 more 1",
				"update classes read level 0.12346 retry 0 more 1",
				"update level 1 retry 1 ticket 7",
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := encodeParts(t, test.update); !reflect.DeepEqual(got, test.want) {
				t.Errorf("parts %q, want %q", got, test.want)
			}
		})
	}
}

func TestUpdateTooLongIsNotEncoded(t *testing.T) {
	if _, err := (&Update{Entries: make([]Entry, maxEntries+1)}).Append(nil); err == nil {
		t.Error("an update with too many entries is encoded")
	}
}
