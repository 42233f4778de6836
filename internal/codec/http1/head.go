package http1

import (
	"net/http"
	"strconv"
	"strings"
)

const (
	minStatus = 100
	maxStatus = 999

	// lengthBits bounds the size in bits of lengths and chunk sizes, so that the largest one plus a line end fits into
	// an int.
	lengthBits = 62
)

// parseLine parses a line without its line end. The state of the parser determines the kind of the line.
func (p *Parser) parseLine(text string, receive func(*Message) error) error {
	switch {
	case p.state == inChunkSize:
		return p.parseChunkSize(text)
	case p.state == inTrailer:
		if text == "" {
			return p.deliver(receive)
		}
		return nil
	case p.message == nil:
		if text == "" { // empty lines before a message are allowed
			return nil
		}
		return p.parseStartLine(text)
	case text == "":
		return p.endHead(receive)
	default:
		return p.parseField(text)
	}
}

// parseStartLine parses a request line or a status line and begins a message.
func (p *Parser) parseStartLine(text string) error {
	message := &Message{Header: map[string]string{}}
	words := strings.SplitN(text, " ", 3)
	var version string
	if p.parsesResponses {
		if len(words) < 2 {
			return p.fail(http.StatusBadRequest, "malformed status line: %.40q", text)
		}
		status, err := strconv.Atoi(words[1])
		if err != nil || status < minStatus || status > maxStatus {
			return p.fail(http.StatusBadRequest, "invalid status code: %.40q", text)
		}
		version = words[0]
		message.Status = status
	} else {
		if len(words) != 3 || words[0] == "" || words[1] == "" {
			return p.fail(http.StatusBadRequest, "malformed request line: %.40q", text)
		}
		message.Method = words[0]
		message.Target = words[1]
		version = words[2]
	}
	switch version {
	case "HTTP/1.1":
	case "HTTP/1.0":
		message.Close = true
	default:
		return p.fail(http.StatusHTTPVersionNotSupported, "unsupported HTTP version: %.40q", text)
	}
	p.message = message
	return nil
}

// parseField parses a header field.
func (p *Parser) parseField(text string) error {
	name, value, found := strings.Cut(text, ":")
	if !found || name == "" || strings.ContainsAny(name, " \t") {
		return p.fail(http.StatusBadRequest, "malformed header field: %.40q", text)
	}
	name = strings.ToLower(name)
	value = strings.Trim(value, " \t")
	previous, repeated := p.message.Header[name]
	switch {
	case repeated && name == headerContentLength && previous != value:
		return p.fail(http.StatusBadRequest, "Content-Length fields have different values")
	case repeated && name != headerContentLength:
		value = previous + ", " + value
	}
	p.message.Header[name] = value
	return nil
}

// endHead decides by the header how the body is delimited. A message without a body is complete.
func (p *Parser) endHead(receive func(*Message) error) error {
	message := p.message
	message.applyConnectionHeader()
	length, hasLength := message.Header[headerContentLength]
	coding, hasCoding := message.Header[headerTransferEncoding]
	p.lineBytes = 0
	switch {
	case p.parsesResponses && statusHasNoBody(message.Status):
		return p.deliver(receive)
	case hasCoding && hasLength:
		return p.fail(http.StatusBadRequest, "both Content-Length and Transfer-Encoding are present")
	case hasCoding && !strings.EqualFold(coding, "chunked"):
		return p.fail(http.StatusNotImplemented, "unsupported transfer coding %.40q", coding)
	case hasCoding:
		p.state = inChunkSize
		return nil
	case hasLength:
		return p.beginBody(length)
	case p.parsesResponses:
		return p.fail(http.StatusBadRequest, "response has neither Content-Length nor Transfer-Encoding")
	default:
		return p.deliver(receive)
	}
}

func statusHasNoBody(status int) bool {
	isInformational := status < http.StatusOK
	return isInformational || status == http.StatusNoContent || status == http.StatusNotModified
}

// beginBody parses the length of a body; the body follows as content.
func (p *Parser) beginBody(text string) error {
	length, err := strconv.ParseUint(text, 10, lengthBits)
	if err != nil {
		return p.fail(http.StatusBadRequest, "invalid Content-Length %.40q", text)
	}
	if length > uint64(p.limits.Body) {
		return p.fail(http.StatusRequestEntityTooLarge, "body has %d bytes; at most %d are accepted", length, p.limits.Body)
	}
	p.state = inBody
	p.remaining = int(length)
	return nil
}

// parseChunkSize parses the size of a chunk and drops its extensions; the chunk follows as content. A chunk of
// size 0 ends the body.
func (p *Parser) parseChunkSize(text string) error {
	sizeText, _, _ := strings.Cut(text, ";")
	size, err := strconv.ParseUint(strings.TrimSpace(sizeText), 16, lengthBits)
	if err != nil {
		return p.fail(http.StatusBadRequest, "invalid chunk size %.40q", text)
	}
	if size > uint64(p.limits.Body-len(p.message.Body)) {
		return p.fail(http.StatusRequestEntityTooLarge, "body exceeds %d bytes", p.limits.Body)
	}
	if size == 0 {
		p.state = inTrailer
		p.lineBytes = 0
		return nil
	}
	p.state = inChunkData
	p.remaining = int(size) + len(lineEnd)
	return nil
}
