package statestore

import (
	"bytes"
	"testing"
)

// BenchmarkWrite puts down what a busy quarter of a second brings: ten causes of a kilobyte, and every time a list of 2,000.
func BenchmarkWrite(b *testing.B) {
	f, _, err := Open(b.TempDir(), 0)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	list := listing(1)
	for len(list) < 2000 {
		list = append(list, list[0])
	}
	body := bytes.Repeat([]byte("x"), 1000)
	var n uint64
	for b.Loop() {
		c := &Change{Endpoints: list}
		for range 10 {
			n++
			c.Decisions = append(c.Decisions, Record{1, n, body})
		}
		if err := f.Write(c); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStart opens a folder whose journal is as full as it may be.
func BenchmarkStart(b *testing.B) {
	dir := b.TempDir()
	f, _, err := Open(dir, 0)
	if err != nil {
		b.Fatal(err)
	}
	all := records(1, 0, causesMost)
	for i := range all {
		all[i].Body = bytes.Repeat([]byte("x"), causesBytes/causesMost)
	}
	if err := f.Write(&Change{Endpoints: listing(1), Decisions: all}); err != nil {
		b.Fatal(err)
	}
	f.Close()
	for b.Loop() {
		f, found, err := Open(dir, 0)
		if err != nil || len(found.Damage) > 0 {
			b.Fatal(err, found)
		}
		f.Close()
	}
}

// BenchmarkSearch looks through a full journal for what is not there.
func BenchmarkSearch(b *testing.B) {
	f, _, err := Open(b.TempDir(), 0)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	if err := f.Write(&Change{Decisions: records(1, 0, causesMost)}); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := f.Decisions(2, 0, 1, func(r Record) bool { return bytes.Contains(r.Body, []byte("nowhere")) }); err != nil {
			b.Fatal(err)
		}
	}
}
