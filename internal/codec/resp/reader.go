package resp

import (
	"bytes"
	"fmt"
	"strconv"
)

// Limits bound what one message may hold. A zero field takes the value of Ordinary.
type Limits struct {
	Depth   int // aggregates inside each other
	Items   int // values in one message, nested ones included
	Bulk    int // bytes of one string
	Message int // bytes of one message
}

// DefaultLimits suits peers that send commands and sums: a table of 2,000 lines fits many times.
var DefaultLimits = Limits{Depth: 8, Items: 100_000, Bulk: 1 << 20, Message: 4 << 20}

// lineMost bounds a line (a head, a number, a simple string): the longest honest one is an error text.
const lineMost = 4096

// ProtocolError is a stream that is no RESP, or passes a limit. The peer is told Why and its connection ended.
type ProtocolError struct {
	Offset int64 // bytes of the stream before the fault
	Reason string
}

func (f *ProtocolError) Error() string {
	return fmt.Sprintf("protocol error at byte %d: %s", f.Offset, f.Reason)
}

// Reader takes a stream in pieces. The zero value is not usable; see NewReader.
type Reader struct {
	most   Limits
	line   []byte // an unfinished line
	body   []byte // an unfinished string
	need   int    // bytes of it to come, line end included; 0: none is being read
	kind   Kind   // of that string
	stack  []frame
	items  int
	size   int
	at     int64
	failed *ProtocolError
}

type frame struct {
	kind  Kind
	left  int
	items []Value
}

// NewReader makes a Reader that keeps to the limits.
func NewReader(most Limits) *Reader {
	fill := func(n *int, usual int) {
		if *n <= 0 {
			*n = usual
		}
	}
	fill(&most.Depth, DefaultLimits.Depth)
	fill(&most.Items, DefaultLimits.Items)
	fill(&most.Bulk, DefaultLimits.Bulk)
	fill(&most.Message, DefaultLimits.Message)
	return &Reader{most: most}
}

// Idle tells whether the stream stands between two messages.
func (r *Reader) Idle() bool {
	return r.failed == nil && len(r.line) == 0 && r.need == 0 && len(r.stack) == 0
}

// Feed takes the next bytes and hands each whole message to take. It stops at take's first error and returns it;
// a *Fault is returned at once and at every later call.
func (r *Reader) Feed(data []byte, take func(Value) error) error {
	for len(data) > 0 {
		if r.failed != nil {
			return r.failed
		}
		if r.need > 0 {
			n := min(r.need, len(data))
			r.body = append(r.body, data[:n]...)
			if data, r.need = data[n:], r.need-n; !r.count(n) {
				return r.failed
			}
			if r.need > 0 {
				return nil
			}
			text, end := r.body[:len(r.body)-2], r.body[len(r.body)-2:]
			if end[0] != '\r' || end[1] != '\n' {
				return r.fault("a string runs on past its length")
			}
			v := Value{Kind: r.kind, Text: string(text)}
			if r.body = r.body[:0]; cap(r.body) > 1<<16 {
				r.body = nil
			}
			if err := r.put(v, take); err != nil {
				return err
			}
			continue
		}
		i := bytes.IndexByte(data, '\n')
		n := i + 1
		if i < 0 {
			n = len(data)
		}
		if len(r.line)+n > lineMost {
			return r.fault(fmt.Sprintf("a line of over %d bytes", lineMost))
		}
		whole := data[:n]
		if len(r.line) > 0 || i < 0 {
			r.line = append(r.line, whole...)
			whole = r.line
		}
		// A first byte that opens nothing is told at once: such a peer may never send a line end.
		if len(whole) > 0 && !opens(whole[0]) {
			return r.fault(fmt.Sprintf("%q opens no value", whole[0]))
		}
		if data = data[n:]; !r.count(n) {
			return r.failed
		}
		if i < 0 {
			return nil
		}
		if len(whole) < 3 || whole[len(whole)-2] != '\r' {
			return r.fault("a line without its \\r\\n")
		}
		err := r.head(Kind(whole[0]), whole[1:len(whole)-2], take)
		if r.line = r.line[:0]; err != nil {
			return err
		}
	}
	return nil
}

func opens(c byte) bool { return bytes.IndexByte([]byte("+-:$*_,#!=(%~>|"), c) >= 0 }

func (r *Reader) fault(why string) error {
	r.failed = &ProtocolError{Offset: r.at, Reason: why}
	r.line, r.body, r.stack = nil, nil, nil
	return r.failed
}

func (r *Reader) count(n int) bool {
	r.at += int64(n)
	if r.size += n; r.size > r.most.Message {
		_ = r.fault(fmt.Sprintf("a message of over %d bytes", r.most.Message))
	}
	return r.failed == nil
}

// head reads a line: a whole value, the head of a string, or that of an aggregate.
func (r *Reader) head(k Kind, text []byte, take func(Value) error) error {
	switch v := (Value{Kind: k}); k {
	case Simple, Failure, BigNum:
		v.Text = string(text)
		return r.put(v, take)
	case Null:
		if len(text) > 0 {
			return r.fault("a null with a text")
		}
		return r.put(v, take)
	case Bool:
		if v.Bool = string(text) == "t"; !v.Bool && string(text) != "f" {
			return r.fault("a boolean that is neither t nor f")
		}
		return r.put(v, take)
	case Number:
		n, err := strconv.ParseInt(string(text), 10, 64)
		if err != nil {
			return r.fault(fmt.Sprintf("%q is no whole number of 64 bits", clip(text)))
		}
		v.Int = n
		return r.put(v, take)
	case Double:
		f, err := strconv.ParseFloat(string(text), 64)
		if err != nil {
			return r.fault(fmt.Sprintf("%q is no double", clip(text)))
		}
		v.Float = f
		return r.put(v, take)
	case Bulk, BlobFail, Verbatim:
		n, err := strconv.Atoi(string(text))
		switch {
		case err == nil && n == -1 && k == Bulk: // the null of RESP2
			return r.put(Value{Kind: Null}, take)
		case err != nil || n < 0:
			return r.fault(fmt.Sprintf("%q is no length", clip(text)))
		case n > r.most.Bulk:
			return r.fault(fmt.Sprintf("a string of %d bytes, %d are taken", n, r.most.Bulk))
		}
		r.kind, r.need = k, n+2
		return nil
	}
	n, err := strconv.Atoi(string(text))
	if err == nil && n == -1 && k == Array {
		return r.put(Value{Kind: Null}, take)
	}
	if err != nil || n < 0 {
		return r.fault(fmt.Sprintf("%q is no count", clip(text)))
	}
	if n > r.most.Items {
		return r.fault(fmt.Sprintf("an aggregate of %d values, %d are taken", n, r.most.Items))
	}
	if k == Map || k == attr {
		n *= 2
	}
	if len(r.stack) >= r.most.Depth {
		return r.fault(fmt.Sprintf("nesting deeper than %d", r.most.Depth))
	}
	if n == 0 {
		if k == attr {
			return nil
		}
		return r.put(Value{Kind: k}, take)
	}
	// What the peer announces is not set aside before it comes: a head costs it a few bytes.
	r.stack = append(r.stack, frame{kind: k, left: n, items: make([]Value, 0, min(n, 64))})
	return nil
}

// put adds a value to the innermost open aggregate, and closes those that it fills.
func (r *Reader) put(v Value, take func(Value) error) error {
	for {
		if r.items++; r.items > r.most.Items {
			return r.fault(fmt.Sprintf("a message of over %d values", r.most.Items))
		}
		if len(r.stack) == 0 {
			r.items, r.size = 0, 0
			return take(v)
		}
		top := &r.stack[len(r.stack)-1]
		top.items = append(top.items, v)
		if top.left--; top.left > 0 {
			return nil
		}
		v = Value{Kind: top.kind, Items: top.items}
		r.stack = r.stack[:len(r.stack)-1]
		if v.Kind == attr {
			return nil
		}
	}
}

func clip(text []byte) string { return string(text[:min(len(text), 40)]) }
