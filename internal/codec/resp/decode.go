package resp

import (
	"errors"
	"fmt"
	"strconv"
)

const (
	// maxPreallocatedItems bounds the items that are preallocated when the header of an aggregate arrives. A peer could
	// otherwise reserve much memory with a header of a few bytes.
	maxPreallocatedItems = 64

	// maxQuotedLength bounds the bytes of malformed input that an error quotes.
	maxQuotedLength = 40

	// nullLength is the length of a null string or a null array in RESP2.
	nullLength = -1
)

// aggregate is an array, map, set, push or attribute whose items have not all arrived.
type aggregate struct {
	kind      Kind
	remaining int // number of items that have not arrived
	items     []Value
}

// decodeLine decodes a line without its kind marker and line end: a scalar, or the header of a string or an
// aggregate.
func (r *Reader) decodeLine(kind Kind, content []byte, receive func(Value) error) error {
	switch kind {
	case BulkString, BlobError, VerbatimString:
		return r.openString(kind, content, receive)
	case Array, Map, Set, Push, attribute:
		return r.openAggregate(kind, content, receive)
	}
	value := Value{Kind: kind}
	if err := value.decodeScalar(content); err != nil {
		return r.fail(err.Error())
	}
	return r.addValue(value, receive)
}

// decodeScalar decodes a value that is one line, by its kind. The error is the reason of a ProtocolError.
func (v *Value) decodeScalar(content []byte) error {
	var err error
	switch v.Kind {
	case Null:
		if len(content) > 0 {
			return errors.New("a null with a text")
		}
	case Bool:
		v.Bool = string(content) == "t"
		if !v.Bool && string(content) != "f" {
			return errors.New("a boolean that is neither t nor f")
		}
	case Number:
		v.Int, err = strconv.ParseInt(string(content), 10, 64)
		if err != nil {
			return fmt.Errorf("%q is no whole number of 64 bits", truncate(content))
		}
	case Double:
		v.Float, err = strconv.ParseFloat(string(content), 64)
		if err != nil {
			return fmt.Errorf("%q is no double", truncate(content))
		}
	default:
		v.Text = string(content)
	}
	return nil
}

// openString decodes the length of a string; the string itself follows as the payload.
func (r *Reader) openString(kind Kind, content []byte, receive func(Value) error) error {
	length, err := strconv.Atoi(string(content))
	if err == nil && length == nullLength && kind == BulkString {
		return r.addValue(Value{Kind: Null}, receive)
	}
	if err != nil || length < 0 {
		return r.fail(fmt.Sprintf("%q is no length", truncate(content)))
	}
	if length > r.limits.StringBytes {
		return r.fail(fmt.Sprintf("a string of %d bytes, %d are taken", length, r.limits.StringBytes))
	}
	r.payloadKind = kind
	r.payloadRemaining = length + len(lineEnd)
	return nil
}

// openAggregate decodes the item count of an aggregate; the items follow as values.
func (r *Reader) openAggregate(kind Kind, content []byte, receive func(Value) error) error {
	count, err := strconv.Atoi(string(content))
	if err == nil && count == nullLength && kind == Array {
		return r.addValue(Value{Kind: Null}, receive)
	}
	if err != nil || count < 0 {
		return r.fail(fmt.Sprintf("%q is no count", truncate(content)))
	}
	if count > r.limits.Items {
		return r.fail(fmt.Sprintf("an aggregate of %d values, %d are taken", count, r.limits.Items))
	}
	if len(r.aggregates) >= r.limits.Depth {
		return r.fail(fmt.Sprintf("nesting deeper than %d", r.limits.Depth))
	}
	if kind == Map || kind == attribute {
		count *= 2 // keys and values
	}
	if count > 0 {
		items := make([]Value, 0, min(count, maxPreallocatedItems))
		r.aggregates = append(r.aggregates, aggregate{kind: kind, remaining: count, items: items})
		return nil
	}
	if kind == attribute {
		return nil
	}
	return r.addValue(Value{Kind: kind}, receive)
}

// addValue appends a value to the innermost open aggregate and closes each aggregate that becomes complete. A value
// outside all aggregates is a complete message.
func (r *Reader) addValue(value Value, receive func(Value) error) error {
	for {
		r.valueCount++
		if r.valueCount > r.limits.Items {
			return r.fail(fmt.Sprintf("a message of over %d values", r.limits.Items))
		}
		if len(r.aggregates) == 0 {
			r.valueCount = 0
			r.messageBytes = 0
			r.valuesHeld = 0
			return receive(value)
		}
		r.valuesHeld += valueMemory + int64(len(value.Text))
		innermost := &r.aggregates[len(r.aggregates)-1]
		innermost.items = append(innermost.items, value)
		innermost.remaining--
		if innermost.remaining > 0 {
			return nil
		}
		value = Value{Kind: innermost.kind, Items: innermost.items}
		r.aggregates = r.aggregates[:len(r.aggregates)-1]
		if value.Kind == attribute {
			return nil
		}
	}
}

func truncate(text []byte) []byte {
	return text[:min(len(text), maxQuotedLength)]
}
