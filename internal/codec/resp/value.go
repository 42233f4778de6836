package resp

import "strconv"

// Kind is the first byte of a value on the wire.
type Kind byte

// The kinds of the values that a Reader delivers.
const (
	SimpleString   Kind = '+' // simple string
	SimpleError    Kind = '-' // simple error
	Number         Kind = ':'
	BulkString     Kind = '$' // bulk string
	Array          Kind = '*'
	Null           Kind = '_'
	Double         Kind = ','
	Bool           Kind = '#'
	BlobError      Kind = '!'
	VerbatimString Kind = '=' // verbatim string, its format prefix included
	BigNumber      Kind = '('
	Map            Kind = '%'
	Set            Kind = '~'
	Push           Kind = '>'
)

// attribute is the kind of the metadata that may precede a value. A Reader drops it.
const attribute Kind = '|'

// Value is one decoded value. Kind determines which other field is set.
type Value struct {
	Kind  Kind
	Text  string  // strings, errors and big numbers
	Int   int64   // Number
	Float float64 // Double
	Bool  bool
	Items []Value // aggregates; keys and values alternate in a Map
}

// ArgumentText returns the text of a command's argument. Clients send numeric arguments as text or as numbers.
func (v Value) ArgumentText() string {
	switch v.Kind {
	case Number:
		return strconv.FormatInt(v.Int, 10)
	case Double:
		return strconv.FormatFloat(v.Float, 'g', -1, 64)
	default:
		return v.Text
	}
}
