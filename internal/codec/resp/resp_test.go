package resp

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// read feeds a stream in pieces of one size and gives what came of it.
func read(stream string, piece int, most Limits) (got []Value, err error) {
	r := NewReader(most)
	for len(stream) > 0 && err == nil {
		n := min(piece, len(stream))
		err = r.Feed([]byte(stream[:n]), func(v Value) error { got = append(got, v); return nil })
		stream = stream[n:]
	}
	return got, err
}

func TestPiecesDoNotMatter(t *testing.T) {
	all := []Value{
		{Kind: Push, Items: []Value{{Kind: Bulk, Text: "change\r\n"}, {Kind: Number, Int: -7}, {Kind: Double, Float: 0.1}}},
		{Kind: Map, Items: []Value{{Kind: Simple, Text: "life"}, {Kind: Null}, {Kind: Simple, Text: "on"}, {Kind: Bool, Bool: true}}},
		{Kind: Array, Items: []Value{{Kind: Set}, {Kind: Array, Items: []Value{{Kind: Verbatim, Text: "txt:hi"}}}}},
		{Kind: Failure, Text: "ERR no"}, {Kind: BigNum, Text: "123456789012345678901234567890"},
	}
	var b []byte
	for _, v := range all {
		b = Append(b, v)
	}
	for _, piece := range []int{1, 2, 3, 7, len(b)} {
		got, err := read(string(b), piece, Limits{})
		if err != nil || !reflect.DeepEqual(got, all) {
			t.Fatalf("in pieces of %d: %v, %v", piece, got, err)
		}
	}
}

func TestHostileBytes(t *testing.T) {
	for name, c := range map[string]struct{ stream, why string }{
		"no RESP at all":            {"GET / HTTP/1.1\r\n", "opens no value"},
		"no RESP and no line end":   {"\x00", "opens no value"},
		"a length of 2^62":          {"$4611686018427387904\r\n", "a string of 4611686018427387904 bytes"},
		"a count of 2^62":           {"*4611686018427387904\r\n", "an aggregate of"},
		"a length below nothing":    {"$-2\r\n", "is no length"},
		"nesting a thousand deep":   {strings.Repeat("*1\r\n", 1000), "nesting deeper"},
		"a string longer than told": {"$3\r\nabcd\r\n", "runs on past its length"},
		"a line never ended":        {"+" + strings.Repeat("x", lineMost), "a line of over"},
		"a megabyte in one message": {"*90000\r\n" + strings.Repeat("$10\r\n0123456789\r\n", 90000), "a message of over"},
		"streamed strings":          {"$?\r\n", "is no length"},
		"a bare line feed":          {":1\n", "without its"},
		"a count of many thousands": {strings.Repeat("*9\r\n:1\r\n", 3), "nesting deeper"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, piece := range []int{1, 4096} {
				_, err := read(c.stream, piece, Limits{Depth: 2, Message: 1 << 20})
				var f *ProtocolError
				if !errors.As(err, &f) || !strings.Contains(f.Reason, c.why) {
					t.Fatalf("in pieces of %d: %v", piece, err)
				}
			}
		})
	}
}

func TestAFaultLasts(t *testing.T) {
	r := NewReader(Limits{})
	first := r.Feed([]byte("?"), nil)
	if again := r.Feed([]byte(":1\r\n"), nil); first == nil || again != first {
		t.Fatal("a stream that faulted is read on: ", again)
	}
}

func TestAttributesAreDropped(t *testing.T) {
	got, err := read("|1\r\n+ttl\r\n:3600\r\n*2\r\n:1\r\n|1\r\n+k\r\n+v\r\n:2\r\n", 1, Limits{})
	want := []Value{{Kind: Array, Items: []Value{{Kind: Number, Int: 1}, {Kind: Number, Int: 2}}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%v, %v", got, err)
	}
}

// What is read whole must read the same in single bytes, and written again and read once more.
func FuzzReader(f *testing.F) {
	for _, s := range []string{"*2\r\n$3\r\nACK\r\n:1\r\n", ">1\r\n,1e300\r\n", "%1\r\n+a\r\n_\r\n", "|1\r\n+a\r\n:1\r\n#t\r\n",
		"$-1\r\n", "*-1\r\n", "(1\r\n", "=5\r\ntxt:a\r\n", "~0\r\n", "!1\r\nx\r\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, stream string) {
		most := Limits{Depth: 4, Items: 100, Bulk: 100, Message: 1000}
		whole, err := read(stream, max(len(stream), 1), most)
		single, err1 := read(stream, 1, most)
		if (err == nil) != (err1 == nil) || len(whole) != len(single) {
			t.Fatalf("whole %v %v, in single bytes %v %v", whole, err, single, err1)
		}
		var b []byte
		for _, v := range whole {
			b = Append(b, v)
		}
		again, err := read(string(b), max(len(b), 1), Limits{Depth: 4, Items: 100, Bulk: 100, Message: 100_000})
		var b2 []byte
		for _, v := range again {
			b2 = Append(b2, v)
		}
		if err != nil || string(b) != string(b2) {
			t.Fatalf("%q comes back as %q: %v", b, b2, err)
		}
	})
}
