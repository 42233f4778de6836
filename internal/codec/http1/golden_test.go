package http1

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"peppervale/internal/codec/goldentest"
)

// goldenMessage is a message in encoded and in parsed form.
type goldenMessage struct {
	isResponse bool
	encoded    []byte // nil: this package never encodes such a message
	parsed     Message
}

var goldenMessages = map[string]goldenMessage{
	"get.http": {
		encoded: AppendRequest(nil, "GET", "/v1/health?index=7", "127.0.0.1:8500", nil,
			"Accept", "application/json", "Connection", "close"),
		parsed: Message{
			Method: "GET",
			Target: "/v1/health?index=7",
			Header: map[string]string{"host": "127.0.0.1:8500", "accept": "application/json", "connection": "close"},
			Close:  true,
		},
	},
	"post.http": {
		encoded: AppendRequest(nil, "POST", "/recipe", "127.0.0.1:7601", []byte("a\r\nbody\x00"),
			"X-Fingerprint", "12ab"),
		parsed: Message{
			Method: "POST",
			Target: "/recipe",
			Header: map[string]string{"host": "127.0.0.1:7601", "x-fingerprint": "12ab", "content-length": "8"},
			Body:   []byte("a\r\nbody\x00"),
		},
	},
	"answer.http": {
		isResponse: true,
		encoded:    AppendResponse(nil, 200, []byte("[]"), "X-Consul-Index", "9"),
		parsed: Message{
			Status: 200,
			Header: map[string]string{"x-consul-index": "9", "content-length": "2"},
			Body:   []byte("[]"),
		},
	},
	"chunked.http": {
		parsed: Message{
			Method: "PUT",
			Target: "/",
			Header: map[string]string{"transfer-encoding": "chunked", "x-a": "1, 2"},
			Body:   []byte("abc0123456789"),
			Close:  true,
		},
	},
	"no-body.http": {
		isResponse: true,
		parsed:     Message{Status: 204, Header: map[string]string{"connection": "keep-alive"}},
	},
}

func TestMessagesMatchGoldenFiles(t *testing.T) {
	for file, message := range goldenMessages {
		if message.encoded != nil {
			goldentest.Check(t, file, message.encoded)
		}
		got, err := parse(string(goldentest.Read(t, file)), message.isResponse, 1)
		if err != nil || len(got) != 1 || !reflect.DeepEqual(*got[0], message.parsed) {
			t.Errorf("%s: parsed as %+v, error %v", file, got, err)
		}
	}
}

// TestReasonPhrasesMatchGoldenFile encodes a response for each status code with a reason phrase and for one without.
func TestReasonPhrasesMatchGoldenFile(t *testing.T) {
	var responses []byte
	for _, status := range []int{200, 400, 404, 413, 429, 431, 500, 501, 503, 505, 418} {
		responses = AppendResponse(responses, status, nil)
	}
	goldentest.Check(t, "reasons.http", responses)
}

// malformedStreams holds a stream for each reason of a ProtocolError. The key of a stream of responses contains
// "response".
var malformedStreams = map[string]string{
	"invalid first byte":                  "\x16\x03",
	"head exceeds limit":                  "GET / HTTP/1.1\r\nX: " + strings.Repeat("y", 500),
	"malformed request line":              "GET /\r\n",
	"malformed status line of a response": "HTTP/1.1\r\n",
	"invalid status code of a response":   "HTTP/1.1 99 No\r\n",
	"unsupported version":                 "GET / HTTP/2.0\r\n",
	"malformed header field":              "GET / HTTP/1.1\r\nX : 1\r\n",
	"contradictory lengths":               "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
	"length and chunked coding":           "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"unsupported transfer coding":         "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
	"missing length of a response":        "HTTP/1.1 200 OK\r\n\r\n",
	"negative length":                     "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
	"body exceeds limit":                  "POST / HTTP/1.1\r\nContent-Length: 2001\r\n\r\n",
	"invalid chunk size":                  "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
	"chunk exceeds body limit":            "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d1\r\n",
	"chunk longer than its size":          "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
}

func TestProtocolErrorsMatchGoldenFile(t *testing.T) {
	errs := map[string]error{}
	for name, stream := range malformedStreams {
		_, err := parse(stream, strings.Contains(name, "response"), len(stream))
		var protocolError *ProtocolError
		if !errors.As(err, &protocolError) {
			t.Errorf("%s: error %v, want a ProtocolError", name, err)
			continue
		}
		errs[name] = fmt.Errorf("%w (%d)", err, protocolError.Status)
	}
	goldentest.CheckErrors(t, "faults.txt", errs)
}
