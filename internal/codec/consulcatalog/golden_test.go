package consulcatalog

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"peppervale/internal/codec/goldentest"
	"peppervale/internal/model"
)

const zonePartick = "partick"

var goldenEntry = ServiceEntry{
	Node: Node{Node: "node-1", Address: "127.0.0.9"},
	Service: Service{
		ID: "recipe-1", Service: "recipe", Address: "127.0.0.1", Port: 65535,
		Meta: map[string]string{"zone": zonePartick, "started": "1790000000001"},
	},
	Checks: []Check{{Node: "node-1", CheckID: "serfHealth", Name: "Serf Health Status", Status: "passing"}},
}

func TestEntryMatchesGoldenFile(t *testing.T) {
	text, err := json.MarshalIndent(goldenEntry, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "entry.json", append(text, '\n'))
	var got ServiceEntry
	if err := json.Unmarshal(goldentest.Read(t, "entry.json"), &got); err != nil || !reflect.DeepEqual(got, goldenEntry) {
		t.Errorf("parsed as %+v, error %v", got, err)
	}
}

// TestParsedListMatchesGoldenFile parses an entry of each status, one of them with its node's address, and three
// invalid entries.
func TestParsedListMatchesGoldenFile(t *testing.T) {
	id := func(n byte) model.ReplicaID {
		return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 7601}
	}
	want := []model.Endpoint{
		{ID: id(1), Zone: 1, Status: model.EndpointReady, StartedAt: 1_790_000_000_001_000},
		{ID: id(2), Zone: 0, Status: model.EndpointDraining, StartedAt: 1_790_000_000_500_000},
		{ID: id(3), Zone: 1, Status: model.EndpointDraining, StartedAt: 1000},
		{ID: id(4), Zone: 0, Status: model.EndpointGone},
	}
	got, skipped, err := Parse(goldentest.Read(t, "list.json"), []string{"govan", zonePartick})
	if err != nil || skipped != 3 || !reflect.DeepEqual(got, want) {
		t.Errorf("parsed as %+v, %d skipped, error %v", got, skipped, err)
	}
}

func TestErrorsMatchGoldenFile(t *testing.T) {
	parse := func(text string) error {
		_, _, err := Parse([]byte(text), []string{"govan"})
		return err
	}
	goldentest.CheckJSONErrors(t, "errors.txt", map[string]error{
		"empty body":             parse(""),
		"object instead of list": parse("{}"),
		"string as port":         parse(`[{"Service":{"Port":"x"}}]`),
		"number as check ID":     parse(`[{"Checks":[{"CheckID":1}]}]`),
		"too many entries":       parse("[" + strings.Repeat("{},", maxEntries) + "{}]"),
	})
}
