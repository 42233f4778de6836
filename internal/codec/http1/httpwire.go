// Package httpwire reads HTTP/1.1 messages (RFC 9112), requests and answers, from a stream in pieces.
//
// Guarantees: bytes are looked at once, however they are cut; a head or body beyond its Bounds, two lengths that
// differ, a length beside a chunked body, and bytes that are no HTTP end in one *Fault with the status that a
// server answers. Nothing here does I/O.
//
// Caveats: bodies are handed over whole, but where a Stream is set. Trailers are read and dropped. Upgrades, CONNECT and answers that end
// with their connection are turned down; header names are given in lower case, repeated ones joined by a comma.
package http1

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Limits of one message in bytes.
type Limits struct{ Head, Body int }

// Message is a request (Method, Target) or an answer (Status).
type Message struct {
	Method, Target string
	Status         int
	Header         map[string]string // by name in lower case
	Body           []byte            // the receiver's own
	Close          bool              // the sender ends its connection after this message
}

// ProtocolError is a stream that is no HTTP/1.1 or passes a bound. Status is what a server answers before it closes.
type ProtocolError struct {
	Status int
	Reason string
}

func (f *ProtocolError) Error() string { return fmt.Sprintf("http: %s", f.Reason) }

type stage int

const (
	inHead stage = iota
	inBody
	inSize    // the size line of a chunk
	inChunk   // a chunk and its line end
	inTrailer // lines after the last chunk
)

// Parser takes the bytes of one direction of a connection.
type Parser struct {
	answers bool
	most    Limits
	stage   stage
	line    []byte
	head    int // bytes of the head so far
	need    int
	now     *Message
	failed  error
	// NoBody is asked for each answer's status line; true where the request was a HEAD. Nil: never.
	NoBody func() bool
	// Stream takes the content of chunked bodies as it comes, of answers that have no end; such a body is not kept, and its length
	// not bounded. It is handed the message as far as its head, and the parser's own bytes, for the call. Nil: bodies are whole.
	Stream func(m *Message, part []byte) error
}

// NewParser reads requests, or answers. A zero bound is 16 KiB of head, 1 MiB of body.
func NewParser(answers bool, most Limits) *Parser {
	if most.Head <= 0 {
		most.Head = 16 << 10
	}
	if most.Body <= 0 {
		most.Body = 1 << 20
	}
	return &Parser{answers: answers, most: most}
}

// Idle tells whether the stream stands between two messages.
func (p *Parser) Idle() bool { return p.failed == nil && p.now == nil && len(p.line) == 0 }

func (p *Parser) fault(status int, format string, args ...any) error {
	p.failed = &ProtocolError{Status: status, Reason: fmt.Sprintf(format, args...)}
	p.line, p.now = nil, nil
	return p.failed
}

// Feed takes the next bytes and hands each whole message to take; it stops at take's first error. A *Fault lasts.
func (p *Parser) Feed(data []byte, take func(*Message) error) error {
	for len(data) > 0 || p.stage == inBody && p.need == 0 {
		if p.failed != nil {
			return p.failed
		}
		var err error
		switch p.stage {
		case inBody, inChunk:
			data, err = p.content(data, take)
		default:
			data, err = p.textLine(data, take)
		}
		if err != nil {
			return err
		}
	}
	return p.failed
}

// content reads a body of known length, or a chunk with its line end.
func (p *Parser) content(data []byte, take func(*Message) error) ([]byte, error) {
	if p.stage == inChunk && p.Stream != nil && p.need > 2 { // its line end is read below
		n := min(p.need-2, len(data))
		p.need -= n
		return data[n:], p.Stream(p.now, data[:n])
	}
	n := min(p.need, len(data))
	p.now.Body = append(p.now.Body, data[:n]...)
	data, p.need = data[n:], p.need-n
	if p.need > 0 {
		return data, nil
	}
	if p.stage == inBody {
		return data, p.done(take)
	}
	b := p.now.Body
	if !bytes.HasSuffix(b, []byte("\r\n")) {
		return nil, p.fault(400, "a chunk runs on past its size")
	}
	p.now.Body, p.stage, p.head = b[:len(b)-2], inSize, 0
	return data, nil
}

func (p *Parser) textLine(data []byte, take func(*Message) error) ([]byte, error) {
	i := bytes.IndexByte(data, '\n')
	n := i + 1
	if i < 0 {
		n = len(data)
	}
	if p.head += n; p.head > p.most.Head {
		return nil, p.fault(431, "a head of over %d bytes", p.most.Head)
	}
	whole := data[:n]
	if len(p.line) > 0 || i < 0 {
		p.line = append(p.line, whole...)
		whole = p.line
	}
	// A first byte that begins no message is told at once: such a peer may never send a line end.
	if c := whole[0]; p.now == nil && p.stage == inHead && c <= ' ' && c != '\r' && c != '\n' {
		return nil, p.fault(400, "no HTTP: the first byte is %#x", c)
	}
	if i < 0 {
		return nil, nil
	}
	text := string(bytes.TrimSuffix(whole[:len(whole)-1], []byte("\r")))
	p.line = p.line[:0]
	var err error
	switch {
	case p.stage == inSize:
		err = p.chunkSize(text)
	case p.stage == inTrailer:
		if text == "" {
			err = p.done(take)
		}
	case p.now == nil:
		if text != "" { // empty lines before a message are allowed
			err = p.startLine(text)
		}
	case text == "":
		err = p.headDone(take)
	default:
		err = p.field(text)
	}
	return data[n:], err
}

func (p *Parser) startLine(text string) error {
	m := &Message{Header: map[string]string{}}
	words := strings.SplitN(text, " ", 3)
	version := words[0]
	if !p.answers {
		if len(words) != 3 || words[0] == "" || words[1] == "" {
			return p.fault(400, "no request line: %.40q", text)
		}
		m.Method, m.Target, version = words[0], words[1], words[2]
	} else {
		if len(words) < 2 {
			return p.fault(400, "no status line: %.40q", text)
		}
		status, err := strconv.Atoi(words[1])
		if err != nil || status < 100 || status > 999 {
			return p.fault(400, "no status: %.40q", text)
		}
		m.Status = status
	}
	switch version {
	case "HTTP/1.1":
	case "HTTP/1.0":
		m.Close = true
	default:
		return p.fault(505, "not HTTP/1.1: %.40q", text)
	}
	p.now = m
	return nil
}

func (p *Parser) field(text string) error {
	name, value, found := strings.Cut(text, ":")
	if !found || name == "" || strings.ContainsAny(name, " \t") {
		return p.fault(400, "no header line: %.40q", text)
	}
	name, value = strings.ToLower(name), strings.Trim(value, " \t")
	if old, twice := p.now.Header[name]; twice {
		if name == "content-length" && old != value {
			return p.fault(400, "two lengths that differ")
		}
		if name != "content-length" {
			value = old + ", " + value
		}
	}
	p.now.Header[name] = value
	return nil
}

func (p *Parser) headDone(take func(*Message) error) error {
	m := p.now
	switch strings.ToLower(m.Header["connection"]) {
	case "close":
		m.Close = true
	case "keep-alive":
		m.Close = false
	}
	length, hasLength := m.Header["content-length"]
	coding, coded := m.Header["transfer-encoding"]
	p.head = 0
	switch {
	case p.answers && (m.Status < 200 || m.Status == 204 || m.Status == 304 || p.NoBody != nil && p.NoBody()):
		return p.done(take)
	case coded && hasLength:
		return p.fault(400, "a length beside a chunked body")
	case coded && !strings.EqualFold(coding, "chunked"):
		return p.fault(501, "transfer coding %.40q is not read", coding)
	case coded:
		p.stage = inSize
		return nil
	case !hasLength && p.answers:
		return p.fault(400, "an answer that ends with its connection is not read")
	case !hasLength:
		return p.done(take)
	}
	n, err := strconv.ParseUint(length, 10, 62)
	if err != nil {
		return p.fault(400, "%.40q is no length", length)
	}
	if n > uint64(p.most.Body) {
		return p.fault(413, "a body of %d bytes, %d are taken", n, p.most.Body)
	}
	p.stage, p.need = inBody, int(n)
	return nil
}

func (p *Parser) chunkSize(text string) error {
	size, _, _ := strings.Cut(text, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
	if err != nil {
		return p.fault(400, "%.40q is no chunk size", text)
	}
	if n > uint64(p.most.Body-len(p.now.Body)) {
		return p.fault(413, "a body of over %d bytes", p.most.Body)
	}
	if p.stage, p.need = inChunk, int(n)+2; n == 0 {
		p.stage, p.head = inTrailer, 0
	}
	return nil
}

func (p *Parser) done(take func(*Message) error) error {
	m := p.now
	p.now, p.stage, p.head, p.need = nil, inHead, 0, 0
	return take(m)
}

// AppendRequest writes a request; names and values by turns in fields. A body brings its length.
func AppendRequest(b []byte, method, target, host string, body []byte, fields ...string) []byte {
	b = append(b, method+" "+target+" HTTP/1.1\r\nHost: "+host+"\r\n"...)
	return appendRest(b, body, method != "GET", fields)
}

// AppendAnswer writes an answer with its length.
func AppendAnswer(b []byte, status int, body []byte, fields ...string) []byte {
	b = append(b, "HTTP/1.1 "+strconv.Itoa(status)+" "+reasons[status]+"\r\n"...)
	return appendRest(b, body, true, fields)
}

func appendRest(b, body []byte, length bool, fields []string) []byte {
	for i := 0; i+1 < len(fields); i += 2 {
		b = append(b, fields[i]+": "+fields[i+1]+"\r\n"...)
	}
	if length {
		b = append(b, "Content-Length: "+strconv.Itoa(len(body))+"\r\n"...)
	}
	return append(append(b, "\r\n"...), body...)
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 413: "Content Too Large",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	501: "Not Implemented", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}
