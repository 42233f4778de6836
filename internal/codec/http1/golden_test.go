package http1

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// pinned gives the bytes of a golden file.
func pinned(t *testing.T, name string) []byte {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// samePinned fails unless the bytes are those of the golden file.
func samePinned(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := pinned(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s:\n%q\nwant\n%q", name, got, want)
	}
}

// samePinnedErrors compares error texts, a line each in the order of their names, with the golden file.
func samePinnedErrors(t *testing.T, name string, errs map[string]error) {
	t.Helper()
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(errs)) {
		if errs[key] == nil {
			t.Errorf("%s is taken", key)
		}
		fmt.Fprintf(&text, "%s: %v\n", key, errs[key])
	}
	samePinned(t, name, []byte(text.String()))
}

// golden is a message in bytes and as it is read.
type golden struct {
	answer  bool
	written []byte // nil: this package reads it and never writes it
	read    Message
}

var goldenMessages = map[string]golden{
	"get.http": {
		written: AppendRequest(nil, "GET", "/v1/health?index=7", "127.0.0.1:8500", nil,
			"Accept", "application/json", "Connection", "close"),
		read: Message{Method: "GET", Target: "/v1/health?index=7", Close: true,
			Header: map[string]string{"host": "127.0.0.1:8500", "accept": "application/json", "connection": "close"}},
	},
	"post.http": {
		written: AppendRequest(nil, "POST", "/recipe", "127.0.0.1:7601", []byte("a\r\nbody\x00"), "X-Fingerprint", "12ab"),
		read: Message{Method: "POST", Target: "/recipe", Body: []byte("a\r\nbody\x00"),
			Header: map[string]string{"host": "127.0.0.1:7601", "x-fingerprint": "12ab", "content-length": "8"}},
	},
	"answer.http": {
		answer: true, written: AppendAnswer(nil, 200, []byte("[]"), "X-Consul-Index", "9"),
		read: Message{Status: 200, Body: []byte("[]"),
			Header: map[string]string{"x-consul-index": "9", "content-length": "2"}},
	},
	"chunked.http": {
		read: Message{Method: "PUT", Target: "/", Body: []byte("abc0123456789"), Close: true,
			Header: map[string]string{"transfer-encoding": "chunked", "x-a": "1, 2"}},
	},
	"no-body.http": {
		answer: true, read: Message{Status: 204, Header: map[string]string{"connection": "keep-alive"}},
	},
}

func TestGoldenMessages(t *testing.T) {
	for file, message := range goldenMessages {
		if message.written != nil {
			samePinned(t, file, message.written)
		}
		got, err := read(string(pinned(t, file)), message.answer, 1)
		if err != nil || len(got) != 1 || !reflect.DeepEqual(*got[0], message.read) {
			t.Errorf("%s: read as %+v, %v", file, got, err)
		}
	}
}

// TestGoldenReasons writes an answer of each status that has a reason, and one that has none.
func TestGoldenReasons(t *testing.T) {
	var all []byte
	for _, status := range []int{200, 400, 404, 413, 429, 431, 500, 501, 503, 505, 418} {
		all = AppendAnswer(all, status, nil)
	}
	samePinned(t, "reasons.http", all)
}

// goldenFaults holds a stream for each cause of a fault; "answer" in a name marks answers.
var goldenFaults = map[string]string{
	"a first byte":               "\x16\x03",
	"a head too long":            "GET / HTTP/1.1\r\nX: " + strings.Repeat("y", 500),
	"a request line":             "GET /\r\n",
	"a status line of an answer": "HTTP/1.1\r\n",
	"a status of an answer":      "HTTP/1.1 99 No\r\n",
	"another version":            "GET / HTTP/2.0\r\n",
	"a header line":              "GET / HTTP/1.1\r\nX : 1\r\n",
	"two lengths":                "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
	"a length beside chunks":     "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"a transfer coding":          "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
	"no length in an answer":     "HTTP/1.1 200 OK\r\n\r\n",
	"a length below nothing":     "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
	"a body too long":            "POST / HTTP/1.1\r\nContent-Length: 2001\r\n\r\n",
	"a chunk size":               "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
	"a chunk too long":           "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d1\r\n",
	"a chunk past its size":      "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
}

func TestGoldenFaults(t *testing.T) {
	errs := map[string]error{}
	for name, stream := range goldenFaults {
		_, err := read(stream, strings.Contains(name, "answer"), len(stream))
		var fault *ProtocolError
		if !errors.As(err, &fault) {
			t.Errorf("%s: %v is no fault", name, err)
			continue
		}
		errs[name] = fmt.Errorf("%w (%d)", err, fault.Status)
	}
	samePinnedErrors(t, "faults.txt", errs)
}
