package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

func read(stream string, answers bool, piece int) (got []*Message, err error) {
	p := NewParser(answers, Limits{Head: 400, Body: 2000})
	for len(stream) > 0 && err == nil {
		n := min(piece, len(stream))
		err = p.Feed([]byte(stream[:n]), func(m *Message) error { got = append(got, m); return nil })
		stream = stream[n:]
	}
	return got, err
}

func TestPiecesDoNotMatter(t *testing.T) {
	stream := "\r\nPOST /a?b HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nx-a:  2\r\nContent-Length: 5\r\n\r\nhello" +
		"GET / HTTP/1.1\r\nConnection: close\r\n\r\n" +
		"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n" +
		"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
	for _, piece := range []int{1, 3, len(stream)} {
		got, err := read(stream, false, piece)
		if err != nil || len(got) != 4 {
			t.Fatalf("in pieces of %d: %d messages, %v", piece, len(got), err)
		}
		if string(got[0].Body) != "hello" || got[0].Header["x-a"] != "1, 2" || got[0].Target != "/a?b" ||
			!got[1].Close || string(got[2].Body) != "abc0123456789" || got[3].Method != "POST" {
			t.Fatalf("in pieces of %d: %+v %+v %+v %+v", piece, got[0], got[1], got[2], got[3])
		}
	}
}

func TestHostileBytes(t *testing.T) {
	long := strings.Repeat("y", 500)
	for name, c := range map[string]struct {
		stream  string
		answers bool
		status  int
	}{
		"no HTTP":                       {"\x16\x03\x01", false, 400},
		"a head without end":            {"GET / HTTP/1.1\r\nX: " + long, false, 431},
		"a length of 2^62":              {"POST / HTTP/1.1\r\nContent-Length: 4611686018427387903\r\n\r\n", false, 413},
		"a length below nothing":        {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", false, 400},
		"two lengths":                   {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", false, 400},
		"a length beside chunks":        {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", false, 400},
		"a chunk of 2^60":               {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000000000000000\r\n", false, 413},
		"a chunk longer than told":      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", false, 400},
		"a header folded over a space":  {"GET / HTTP/1.1\r\nX : 1\r\n", false, 400},
		"an answer that never tells":    {"HTTP/1.1 200 OK\r\n\r\n", true, 400},
		"another protocol's answer":     {"SSH-2.0-OpenSSH 200\r\n", true, 505},
		"a body in a thousand trailers": {"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a:b\r\n", 1000), false, 431},
	} {
		t.Run(name, func(t *testing.T) {
			for _, piece := range []int{1, 4096} {
				_, err := read(c.stream, c.answers, piece)
				var f *ProtocolError
				if !errors.As(err, &f) || f.Status != c.status {
					t.Fatalf("in pieces of %d: %v", piece, err)
				}
			}
		})
	}
}

// Whatever this package takes for a request with a body, Go's own reader must take the same body for.
func FuzzAgainstNetHTTP(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi")
	f.Add("PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Fuzz(func(t *testing.T, stream string) {
		whole, err := read(stream, false, max(len(stream), 1))
		single, err1 := read(stream, false, 1)
		if (err == nil) != (err1 == nil) || fmt.Sprint(len(whole)) != fmt.Sprint(len(single)) {
			t.Fatalf("whole %d %v, in single bytes %d %v", len(whole), err, len(single), err1)
		}
		if len(whole) == 0 {
			return
		}
		theirs, err := http.ReadRequest(bufio.NewReader(strings.NewReader(stream)))
		if err != nil {
			return // net/http is stricter about targets and hosts
		}
		body, err := io.ReadAll(theirs.Body)
		if err == nil && theirs.Method == whole[0].Method && !bytes.Equal(body, whole[0].Body) {
			t.Fatalf("body %q, by net/http %q", whole[0].Body, body)
		}
	})
}

// An answer without end is handed on as it comes, however it is cut and however long, and none of it is kept.
func TestAStreamedAnswer(t *testing.T) {
	part := strings.Repeat("x", 1500)
	stream := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("5dc\r\n"+part+"\r\n", 3) + "1\r\n!\r\n0\r\n\r\n"
	for _, piece := range []int{1, 7, len(stream)} {
		p := NewParser(true, Limits{Head: 400, Body: 2000})
		var got strings.Builder
		ends := 0
		p.Stream = func(m *Message, part []byte) error {
			if m.Status != 200 || len(m.Body) > 2 {
				t.Fatalf("%+v", m)
			}
			got.Write(part)
			return nil
		}
		for rest := stream; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
			if err := p.Feed([]byte(rest[:min(piece, len(rest))]), func(m *Message) error { ends++; return nil }); err != nil {
				t.Fatalf("in pieces of %d: %v", piece, err)
			}
		}
		if got.String() != strings.Repeat(part, 3)+"!" || ends != 1 {
			t.Fatalf("in pieces of %d: %d bytes, %d ends", piece, got.Len(), ends)
		}
	}
}
