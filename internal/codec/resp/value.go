package resp

import (
	"math"
	"strconv"
)

// Kind is the first byte of a value on the wire.
type Kind byte

// The kinds that a Reader hands out. Attributes ('|') never reach a caller.
const (
	Simple   Kind = '+'
	Failure  Kind = '-'
	Number   Kind = ':'
	Bulk     Kind = '$'
	Array    Kind = '*'
	Null     Kind = '_'
	Double   Kind = ','
	Bool     Kind = '#'
	BlobFail Kind = '!'
	Verbatim Kind = '='
	BigNum   Kind = '('
	Map      Kind = '%'
	Set      Kind = '~'
	Push     Kind = '>'
	attr     Kind = '|'
)

// Value is one decoded value. Which fields count follows from Kind: Text for the textual ones, Int for numbers,
// Float for doubles, Bool for booleans, Items for the rest (keys and values by turns for a Map).
type Value struct {
	Kind  Kind
	Text  string
	Int   int64
	Float float64
	Bool  bool
	Items []Value
}

// Word gives the text of a textual value, or a number's digits; clients send arguments in either form.
func (v Value) Word() string {
	switch v.Kind {
	case Number:
		return strconv.FormatInt(v.Int, 10)
	case Double:
		return strconv.FormatFloat(v.Float, 'g', -1, 64)
	}
	return v.Text
}

// AppendHead writes the head of an aggregate or a length: kind, n, line end. A Map's n counts pairs.
func AppendHead(b []byte, k Kind, n int) []byte {
	b = append(b, byte(k))
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, '\r', '\n')
}

// AppendBulk writes a bulk string.
func AppendBulk(b []byte, text string) []byte {
	b = AppendHead(b, Bulk, len(text))
	b = append(b, text...)
	return append(b, '\r', '\n')
}

// AppendLine writes a Simple or a Failure; line ends inside the text become spaces.
func AppendLine(b []byte, k Kind, text string) []byte {
	b = append(b, byte(k))
	for i := range len(text) {
		if c := text[i]; c == '\r' || c == '\n' {
			b = append(b, ' ')
		} else {
			b = append(b, c)
		}
	}
	return append(b, '\r', '\n')
}

// AppendInt writes a number.
func AppendInt(b []byte, n int64) []byte {
	b = strconv.AppendInt(append(b, ':'), n, 10)
	return append(b, '\r', '\n')
}

// AppendDouble writes a double; infinities and NaN in the protocol's words.
func AppendDouble(b []byte, f float64) []byte {
	b = append(b, ',')
	switch {
	case math.IsInf(f, 1):
		b = append(b, "inf"...)
	case math.IsInf(f, -1):
		b = append(b, "-inf"...)
	case math.IsNaN(f):
		b = append(b, "nan"...)
	default:
		b = strconv.AppendFloat(b, f, 'g', -1, 64)
	}
	return append(b, '\r', '\n')
}

// AppendBool writes a boolean.
func AppendBool(b []byte, is bool) []byte {
	if is {
		return append(b, "#t\r\n"...)
	}
	return append(b, "#f\r\n"...)
}

// AppendNull writes null.
func AppendNull(b []byte) []byte { return append(b, "_\r\n"...) }

// AppendCommand writes a command as clients send it: an array of bulk strings.
func AppendCommand(b []byte, words ...string) []byte {
	b = AppendHead(b, Array, len(words))
	for _, w := range words {
		b = AppendBulk(b, w)
	}
	return b
}

// Append writes any value.
func Append(b []byte, v Value) []byte {
	switch v.Kind {
	case Simple, Failure, BigNum:
		return AppendLine(b, v.Kind, v.Text)
	case Number:
		return AppendInt(b, v.Int)
	case Double:
		return AppendDouble(b, v.Float)
	case Bool:
		return AppendBool(b, v.Bool)
	case Null:
		return AppendNull(b)
	case Bulk, BlobFail, Verbatim:
		b = AppendHead(b, v.Kind, len(v.Text))
		return append(append(b, v.Text...), '\r', '\n')
	}
	n := len(v.Items)
	if v.Kind == Map {
		n /= 2
	}
	b = AppendHead(b, v.Kind, n)
	for _, item := range v.Items {
		b = Append(b, item)
	}
	return b
}
