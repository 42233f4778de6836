package resp

import (
	"bytes"
	"fmt"
	"strings"
)

const (
	// maxLineLength bounds one line (a header, a number, a simple string) in bytes, including its line end. The
	// longest valid line is the text of an error.
	maxLineLength = 4096

	// maxRetainedPayload is the capacity in bytes beyond which the payload buffer is released after use.
	maxRetainedPayload = 1 << 16

	// kindMarkers are the first bytes of all values that a Reader decodes.
	kindMarkers = "+-:$*_,#!=(%~>|"

	// valueMemory is what a decoded value of an unfinished message holds besides its text, in bytes: the Value, and its
	// share of a slice that has just grown.
	valueMemory = 128

	lineEnd = "\r\n"
)

// Reader decodes a stream that arrives in chunks. It is created by NewReader and is not safe for concurrent use.
type Reader struct {
	limits Limits

	line             []byte // the start of an unfinished line
	payload          []byte // the start of an unfinished string
	payloadRemaining int    // bytes of payload that have not arrived, including the line end; 0 if no string is open
	payloadKind      Kind

	aggregates   []aggregate // open aggregates, the outermost first
	valueCount   int         // values in the current message
	messageBytes int         // bytes of the current message
	valuesHeld   int64       // memory of the decoded values of the current message, in bytes
	offset       int64       // number of consumed bytes of the stream
	failure      *ProtocolError
}

// NewReader returns a Reader that enforces the limits.
func NewReader(limits Limits) *Reader {
	return &Reader{limits: limits.withDefaults()}
}

// Idle reports whether the stream is between two messages.
func (r *Reader) Idle() bool {
	return r.failure == nil && len(r.line) == 0 && r.payloadRemaining == 0 && len(r.aggregates) == 0
}

// HeldBytes returns the memory that the unfinished message holds, in bytes, about. It is 0 between two messages.
func (r *Reader) HeldBytes() int64 {
	if r.Idle() || r.failure != nil {
		return 0
	}
	return int64(cap(r.line)) + int64(cap(r.payload)) + r.valuesHeld
}

// Feed decodes the next bytes of the stream and passes each complete message to receive. It stops at the first
// error of receive and returns it. A *ProtocolError is returned at once and by every later call with data.
func (r *Reader) Feed(data []byte, receive func(Value) error) error {
	for len(data) > 0 {
		if r.failure != nil {
			return r.failure
		}
		var err error
		if r.payloadRemaining > 0 {
			data, err = r.feedPayload(data, receive)
		} else {
			data, err = r.feedLine(data, receive)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// feedPayload consumes bytes of the open string and its line end. It returns the bytes that follow.
func (r *Reader) feedPayload(data []byte, receive func(Value) error) ([]byte, error) {
	n := min(r.payloadRemaining, len(data))
	r.payload = append(r.payload, data[:n]...)
	r.payloadRemaining -= n
	if err := r.consume(n); err != nil {
		return nil, err
	}
	rest := data[n:]
	if r.payloadRemaining > 0 {
		return rest, nil
	}
	text, terminated := bytes.CutSuffix(r.payload, []byte(lineEnd))
	if !terminated {
		return nil, r.fail("a string runs on past its length")
	}
	value := Value{Kind: r.payloadKind, Text: string(text)}
	r.payload = r.payload[:0]
	if cap(r.payload) > maxRetainedPayload {
		r.payload = nil
	}
	return rest, r.addValue(value, receive)
}

// feedLine consumes bytes up to the end of a line and decodes the line. It returns the bytes that follow.
func (r *Reader) feedLine(data []byte, receive func(Value) error) ([]byte, error) {
	n := len(data)
	newline := bytes.IndexByte(data, '\n')
	hasLineFeed := newline >= 0
	if hasLineFeed {
		n = newline + 1
	}
	if len(r.line)+n > maxLineLength {
		return nil, r.fail(fmt.Sprintf("a line of over %d bytes", maxLineLength))
	}
	line := data[:n]
	if len(r.line) > 0 || !hasLineFeed {
		r.line = append(r.line, line...)
		line = r.line
	}
	// An invalid first byte is reported at once: the peer may never send a line end.
	if !isKindMarker(line[0]) {
		return nil, r.fail(fmt.Sprintf("%q opens no value", line[0]))
	}
	if err := r.consume(n); err != nil {
		return nil, err
	}
	rest := data[n:]
	if !hasLineFeed {
		return rest, nil
	}
	content, terminated := bytes.CutSuffix(line[1:], []byte(lineEnd))
	if !terminated {
		return nil, r.fail("a line without its \\r\\n")
	}
	err := r.decodeLine(Kind(line[0]), content, receive)
	r.line = r.line[:0]
	return rest, err
}

func isKindMarker(char byte) bool {
	return strings.IndexByte(kindMarkers, char) >= 0
}

// consume counts bytes of the current message against its limit.
func (r *Reader) consume(n int) error {
	r.offset += int64(n)
	r.messageBytes += n
	if r.messageBytes > r.limits.MessageBytes {
		return r.fail(fmt.Sprintf("a message of over %d bytes", r.limits.MessageBytes))
	}
	return nil
}

// fail puts the Reader into its final state and returns the error.
func (r *Reader) fail(reason string) error {
	r.failure = &ProtocolError{Offset: r.offset, Reason: reason}
	r.valuesHeld = 0
	r.line = nil
	r.payload = nil
	r.aggregates = nil
	return r.failure
}
