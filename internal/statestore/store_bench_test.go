package statestore

import (
	"bytes"
	"testing"
)

// openBenchStore opens a store in an empty directory.
func openBenchStore(b *testing.B) *Store {
	b.Helper()
	store, _, err := Open(b.TempDir(), 0)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { closeStore(b, store) })
	return store
}

// BenchmarkWrite measures a write under high load: ten decisions of 1 kB, as many as arrive in a quarter of a second,
// and a list of 2,000 endpoints.
func BenchmarkWrite(b *testing.B) {
	store := openBenchStore(b)
	list := endpointList(1)
	for len(list) < 2000 {
		list = append(list, list[0])
	}
	body := bytes.Repeat([]byte("x"), 1000)
	var number uint64
	for b.Loop() {
		change := &Change{Endpoints: list}
		for range 10 {
			number++
			change.Decisions = append(change.Decisions, DecisionRecord{Incarnation: 1, Number: number, Body: body})
		}
		if err := store.Write(change); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStart measures Open with a full decision log.
func BenchmarkStart(b *testing.B) {
	dir := b.TempDir()
	store, _, err := Open(dir, 0)
	if err != nil {
		b.Fatal(err)
	}
	records := decisionRecords(1, 0, maxDecisions)
	for i := range records {
		records[i].Body = bytes.Repeat([]byte("x"), maxDecisionBytes/maxDecisions)
	}
	if err := store.Write(&Change{Endpoints: endpointList(1), Decisions: records}); err != nil {
		b.Fatal(err)
	}
	closeStore(b, store)
	for b.Loop() {
		store, recovered, err := Open(dir, 0)
		if err != nil || len(recovered.Damage) > 0 {
			b.Fatal(err, recovered)
		}
		closeStore(b, store)
	}
}

// BenchmarkSearch measures a search of a full decision log that finds no match.
func BenchmarkSearch(b *testing.B) {
	store := openBenchStore(b)
	if err := store.Write(&Change{Decisions: decisionRecords(1, 0, maxDecisions)}); err != nil {
		b.Fatal(err)
	}
	matchNone := func(r DecisionRecord) bool { return bytes.Contains(r.Body, []byte("nowhere")) }
	for b.Loop() {
		if _, err := store.Decisions(2, 0, 1, matchNone); err != nil {
			b.Fatal(err)
		}
	}
}
