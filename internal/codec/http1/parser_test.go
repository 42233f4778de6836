package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

var testLimits = Limits{Head: 400, Body: 2000}

// feedInChunks feeds a stream to the parser in chunks of one size until the first error.
func feedInChunks(parser *Parser, stream string, chunkSize int, receive func(*Message) error) error {
	for len(stream) > 0 {
		n := min(chunkSize, len(stream))
		if err := parser.Feed([]byte(stream[:n]), receive); err != nil {
			return err
		}
		stream = stream[n:]
	}
	return nil
}

// parse returns the messages of a stream that were parsed before the first error.
func parse(stream string, parsesResponses bool, chunkSize int) (messages []*Message, err error) {
	collect := func(message *Message) error {
		messages = append(messages, message)
		return nil
	}
	err = feedInChunks(NewParser(parsesResponses, testLimits), stream, chunkSize, collect)
	return messages, err
}

func TestParsedMessagesAreTheSameForAnyChunkSize(t *testing.T) {
	stream := "\r\nPOST /a?b HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nx-a:  2\r\nContent-Length: 5\r\n\r\nhello" +
		"GET / HTTP/1.1\r\nConnection: close\r\n\r\n" +
		"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n" +
		"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
	for _, chunkSize := range []int{1, 3, len(stream)} {
		got, err := parse(stream, false, chunkSize)
		if err != nil || len(got) != 4 {
			t.Fatalf("in chunks of %d bytes: %d messages, error %v; want 4 messages", chunkSize, len(got), err)
		}
		if string(got[0].Body) != "hello" || got[0].Header["x-a"] != "1, 2" || got[0].Target != "/a?b" ||
			!got[1].Close || string(got[2].Body) != "abc0123456789" || got[3].Method != "POST" {
			t.Fatalf("in chunks of %d bytes: wrong messages: %+v %+v %+v %+v", chunkSize, got[0], got[1], got[2], got[3])
		}
	}
}

func TestMalformedStreamsAreRejected(t *testing.T) {
	const chunkedPost = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct {
		stream    string
		responses bool
		status    int
	}{
		"bytes that are not HTTP": {stream: "\x16\x03\x01", status: 400},
		"a head without an end": {
			stream: "GET / HTTP/1.1\r\nX: " + strings.Repeat("y", 500),
			status: 431,
		},
		"a length of 2^62": {
			stream: "POST / HTTP/1.1\r\nContent-Length: 4611686018427387903\r\n\r\n",
			status: 413,
		},
		"a negative length": {stream: "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", status: 400},
		"contradictory lengths": {
			stream: "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
			status: 400,
		},
		"a length and chunked coding": {
			stream: "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
			status: 400,
		},
		"a chunk of 2^60":                 {stream: chunkedPost + "1000000000000000\r\n", status: 413},
		"a chunk longer than its size":    {stream: chunkedPost + "1\r\nabc", status: 400},
		"a space before a header's colon": {stream: "GET / HTTP/1.1\r\nX : 1\r\n", status: 400},
		"a response without a length":     {stream: "HTTP/1.1 200 OK\r\n\r\n", responses: true, status: 400},
		"another protocol's response":     {stream: "SSH-2.0-OpenSSH 200\r\n", responses: true, status: 505},
		"a thousand trailers": {
			stream: "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a:b\r\n", 1000),
			status: 431,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, chunkSize := range []int{1, 4096} {
				_, err := parse(test.stream, test.responses, chunkSize)
				var protocolError *ProtocolError
				if !errors.As(err, &protocolError) || protocolError.Status != test.status {
					t.Fatalf("in chunks of %d bytes: got error %v", chunkSize, err)
				}
			}
		})
	}
}

// FuzzAgainstNetHTTP checks that messages do not depend on the chunk size, and that package net/http parses the same
// body.
func FuzzAgainstNetHTTP(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi")
	f.Add("PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Fuzz(func(t *testing.T, stream string) {
		fromOneChunk, oneChunkErr := parse(stream, false, max(len(stream), 1))
		fromSingleBytes, singleBytesErr := parse(stream, false, 1)
		if (oneChunkErr == nil) != (singleBytesErr == nil) || len(fromOneChunk) != len(fromSingleBytes) {
			t.Fatalf("in one chunk: %d messages, error %v; in single bytes: %d messages, error %v",
				len(fromOneChunk), oneChunkErr, len(fromSingleBytes), singleBytesErr)
		}
		if len(fromOneChunk) == 0 {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(stream)))
		if err != nil {
			return // net/http is stricter about targets and hosts
		}
		body, err := io.ReadAll(request.Body)
		if err == nil && request.Method == fromOneChunk[0].Method && !bytes.Equal(body, fromOneChunk[0].Body) {
			t.Fatalf("body %q, want %q as parsed by net/http", fromOneChunk[0].Body, body)
		}
	})
}

// TestStreamReceivesContentBeyondBodyLimit checks that Stream receives content as it arrives, and that the content is
// not collected.
func TestStreamReceivesContentBeyondBodyLimit(t *testing.T) {
	content := strings.Repeat("x", 1500)
	stream := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat("5dc\r\n"+content+"\r\n", 3) + "1\r\n!\r\n0\r\n\r\n"
	for _, chunkSize := range []int{1, 7, len(stream)} {
		var streamed strings.Builder
		parser := NewParser(true, testLimits)
		parser.Stream = func(message *Message, part []byte) error {
			if message.Status != 200 || len(message.Body) > len(lineEnd) {
				t.Fatalf("a message was collected or has a wrong status: %+v", message)
			}
			streamed.Write(part)
			return nil
		}
		completed := 0
		err := feedInChunks(parser, stream, chunkSize, func(*Message) error {
			completed++
			return nil
		})
		if err != nil {
			t.Fatalf("in chunks of %d bytes: got error %v", chunkSize, err)
		}
		if streamed.String() != strings.Repeat(content, 3)+"!" || completed != 1 {
			t.Fatalf("in chunks of %d bytes: wrong content: %d bytes, %d messages", chunkSize, streamed.Len(), completed)
		}
	}
}
