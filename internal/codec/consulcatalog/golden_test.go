package consulcatalog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"peppervale/internal/model"
)

// readGolden returns the bytes of a golden file.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// checkGolden reports bytes that differ from the golden file.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := readGolden(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s:\n%q\nwant\n%q", name, got, want)
	}
}

// checkGoldenErrors compares the texts of errors, one line each in the order of their names, with the golden file.
// The Go types that errors of encoding/json name are internal, so that part of a text is left out.
func checkGoldenErrors(t *testing.T, name string, errs map[string]error) {
	t.Helper()
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(errs)) {
		if errs[key] == nil {
			t.Errorf("%s: accepted, want an error", key)
		}
		message, _, _ := strings.Cut(fmt.Sprint(errs[key]), " into Go ")
		fmt.Fprintf(&text, "%s: %s\n", key, message)
	}
	checkGolden(t, name, []byte(text.String()))
}

const zonePartick = "partick"

var goldenEntry = ServiceEntry{
	Node: Node{Node: "node-1", Address: "127.0.0.9"},
	Service: Service{
		ID: "recipe-1", Service: "recipe", Address: "127.0.0.1", Port: 65535,
		Meta: map[string]string{"zone": zonePartick, "started": "1790000000001"},
	},
	Checks: []Check{{Node: "node-1", CheckID: "serfHealth", Name: "Serf Health Status", Status: "passing"}},
}

func TestGoldenEntry(t *testing.T) {
	text, err := json.MarshalIndent(goldenEntry, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "entry.json", append(text, '\n'))
	var got ServiceEntry
	if err := json.Unmarshal(readGolden(t, "entry.json"), &got); err != nil || !reflect.DeepEqual(got, goldenEntry) {
		t.Errorf("parsed as %+v, %v", got, err)
	}
}

// TestGoldenList parses an entry in each status, one by its node's address, and three that are skipped.
func TestGoldenList(t *testing.T) {
	id := func(n byte) model.ReplicaID {
		return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 7601}
	}
	want := []model.Endpoint{
		{ID: id(1), Zone: 1, Status: model.EndpointReady, StartedAt: 1_790_000_000_001_000},
		{ID: id(2), Zone: 0, Status: model.EndpointDraining, StartedAt: 1_790_000_000_500_000},
		{ID: id(3), Zone: 1, Status: model.EndpointDraining, StartedAt: 1000},
		{ID: id(4), Zone: 0, Status: model.EndpointGone},
	}
	got, skipped, err := Parse(readGolden(t, "list.json"), []string{"govan", zonePartick})
	if err != nil || skipped != 3 || !reflect.DeepEqual(got, want) {
		t.Errorf("parsed as %+v, %d skipped, %v", got, skipped, err)
	}
}

func TestGoldenErrors(t *testing.T) {
	parse := func(text string) error {
		_, _, err := Parse([]byte(text), []string{"govan"})
		return err
	}
	checkGoldenErrors(t, "errors.txt", map[string]error{
		"nothing":        parse(""),
		"no list":        parse("{}"),
		"a text as port": parse(`[{"Service":{"Port":"x"}}]`),
		"a number as ID": parse(`[{"Checks":[{"CheckID":1}]}]`),
		"too many":       parse("[" + strings.Repeat("{},", maxEntries) + "{}]"),
	})
}
