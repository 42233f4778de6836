package http1

import (
	"bytes"
	"fmt"
	"net/http"
)

// Defaults of Limits, in bytes.
const (
	defaultHeadLimit = 16 << 10
	defaultBodyLimit = 1 << 20
)

const lineEnd = "\r\n"

// Limits bounds one message, in bytes. A zero or negative field selects the default: 16 KiB for the head, 1 MiB
// for the body.
type Limits struct {
	Head int
	Body int
}

type parserState int

const (
	inHead parserState = iota
	inBody
	inChunkSize
	inChunkData // a chunk and its line end
	inTrailer   // lines after the last chunk
)

// Parser parses one direction of a connection. It is created by NewParser and is not safe for concurrent use.
type Parser struct {
	parsesResponses bool
	limits          Limits

	state     parserState
	line      []byte // the start of an unfinished line
	lineBytes int    // bytes received of the head, of a chunk size line or of the trailer
	remaining int    // bytes of the body or the chunk that have not arrived
	message   *Message
	failure   error

	// Stream, if set, receives the content of chunked bodies as it arrives, for responses without an end. Such a
	// body is neither collected nor limited. The message m has its start line and header; part is a piece of the
	// content and is valid only during the call.
	Stream func(m *Message, part []byte) error
}

// NewParser returns a Parser of responses if responses is true, and of requests otherwise.
func NewParser(parsesResponses bool, limits Limits) *Parser {
	if limits.Head <= 0 {
		limits.Head = defaultHeadLimit
	}
	if limits.Body <= 0 {
		limits.Body = defaultBodyLimit
	}
	return &Parser{parsesResponses: parsesResponses, limits: limits}
}

// Idle reports whether the stream is between two messages.
func (p *Parser) Idle() bool {
	return p.failure == nil && p.message == nil && len(p.line) == 0
}

// Feed parses the next bytes of the stream and passes each complete message to receive. It stops at the first error
// of receive or Stream and returns it. A *ProtocolError is returned at once and by every later call.
func (p *Parser) Feed(data []byte, receive func(*Message) error) error {
	for len(data) > 0 || p.atEmptyBody() {
		if p.failure != nil {
			return p.failure
		}
		var err error
		switch p.state {
		case inBody, inChunkData:
			data, err = p.feedContent(data, receive)
		default:
			data, err = p.feedLine(data, receive)
		}
		if err != nil {
			return err
		}
	}
	return p.failure
}

// atEmptyBody reports whether the message has an empty body, so that it is complete without further bytes.
func (p *Parser) atEmptyBody() bool {
	return p.state == inBody && p.remaining == 0
}

// feedContent consumes bytes of a body of known length, or of a chunk with its line end. It returns the bytes that
// follow.
func (p *Parser) feedContent(data []byte, receive func(*Message) error) ([]byte, error) {
	// The line end of a streamed chunk is collected like the line end of any other chunk.
	if p.state == inChunkData && p.Stream != nil && p.remaining > len(lineEnd) {
		n := min(p.remaining-len(lineEnd), len(data))
		p.remaining -= n
		return data[n:], p.Stream(p.message, data[:n])
	}
	n := min(p.remaining, len(data))
	p.message.Body = append(p.message.Body, data[:n]...)
	p.remaining -= n
	rest := data[n:]
	if p.remaining > 0 {
		return rest, nil
	}
	if p.state == inBody {
		return rest, p.deliver(receive)
	}
	body, terminated := bytes.CutSuffix(p.message.Body, []byte(lineEnd))
	if !terminated {
		return nil, p.fail(http.StatusBadRequest, "chunk is longer than its size")
	}
	p.message.Body = body
	p.state = inChunkSize
	p.lineBytes = 0
	return rest, nil
}

// feedLine consumes bytes up to the end of a line and parses the line. It returns the bytes that follow.
func (p *Parser) feedLine(data []byte, receive func(*Message) error) ([]byte, error) {
	n := len(data)
	newline := bytes.IndexByte(data, '\n')
	hasLineEnd := newline >= 0
	if hasLineEnd {
		n = newline + 1
	}
	p.lineBytes += n
	if p.lineBytes > p.limits.Head {
		return nil, p.fail(http.StatusRequestHeaderFieldsTooLarge, "head or trailer exceeds %d bytes", p.limits.Head)
	}
	line := data[:n]
	if len(p.line) > 0 || !hasLineEnd {
		p.line = append(p.line, line...)
		line = p.line
	}
	// An invalid first byte is reported at once: the peer may never send a line end.
	if p.state == inHead && p.message == nil && !canStartMessage(line[0]) {
		return nil, p.fail(http.StatusBadRequest, "not HTTP: the first byte is %#x", line[0])
	}
	if !hasLineEnd {
		return nil, nil
	}
	text := string(bytes.TrimSuffix(line[:len(line)-1], []byte("\r")))
	p.line = p.line[:0]
	return data[n:], p.parseLine(text, receive)
}

// canStartMessage reports whether a message or one of the empty lines before it may start with the byte.
func canStartMessage(char byte) bool {
	return char > ' ' || char == '\r' || char == '\n'
}

// deliver passes the complete message to receive and resets the state for the next message.
func (p *Parser) deliver(receive func(*Message) error) error {
	message := p.message
	p.message = nil
	p.state = inHead
	p.lineBytes = 0
	p.remaining = 0
	return receive(message)
}

// fail puts the Parser into its final state and returns the error.
func (p *Parser) fail(status int, format string, args ...any) error {
	p.failure = &ProtocolError{Status: status, Reason: fmt.Sprintf(format, args...)}
	p.line = nil
	p.message = nil
	return p.failure
}
