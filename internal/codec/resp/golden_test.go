package resp

import (
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"

	"peppervale/internal/codec/goldentest"
)

// goldenValues holds one value of each kind that is both encoded and decoded.
var goldenValues = map[string]Value{
	"simple":       {Kind: SimpleString, Text: "OK"},
	"failure":      {Kind: SimpleError, Text: "ERR no such command"},
	"number":       {Kind: Number, Int: math.MinInt64},
	"number-most":  {Kind: Number, Int: math.MaxInt64},
	"bulk":         {Kind: BulkString, Text: "two\r\nlines and \x00"},
	"null":         {Kind: Null},
	"double":       {Kind: Double, Float: 0.30000000000000004},
	"double-large": {Kind: Double, Float: math.MaxFloat64},
	"double-small": {Kind: Double, Float: -math.SmallestNonzeroFloat64},
	"infinity":     {Kind: Double, Float: math.Inf(1)},
	"minus-inf":    {Kind: Double, Float: math.Inf(-1)},
	"true":         {Kind: Bool, Bool: true},
	"false":        {Kind: Bool},
	"blob-failure": {Kind: BlobError, Text: "SYNTAX not here"},
	"verbatim":     {Kind: VerbatimString, Text: "txt:some text"},
	"big-number":   {Kind: BigNumber, Text: "-123456789012345678901234567890"},
	"array":        {Kind: Array, Items: []Value{{Kind: Number, Int: 7}, {Kind: Array}, {Kind: BulkString, Text: ""}}},
	"map":          {Kind: Map, Items: []Value{{Kind: SimpleString, Text: "key"}, {Kind: Double, Float: 2.5}}},
	"set":          {Kind: Set, Items: []Value{{Kind: Number, Int: 1}, {Kind: Number, Int: 2}}},
	"push":         {Kind: Push, Items: []Value{{Kind: BulkString, Text: "change"}, {Kind: Bool, Bool: true}}},
}

func TestValuesMatchGoldenFiles(t *testing.T) {
	for name, value := range goldenValues {
		file := name + ".resp"
		goldentest.Check(t, file, Append(nil, value))
		got, err := decode(string(goldentest.Read(t, file)), 1, Limits{})
		if err != nil || !reflect.DeepEqual(got, []Value{value}) {
			t.Errorf("%s: decoded as %+v, error %v", name, got, err)
		}
	}
}

// TestNaNMatchesGoldenFile is a separate test because NaN does not equal itself.
func TestNaNMatchesGoldenFile(t *testing.T) {
	goldentest.Check(t, "nan.resp", AppendDouble(nil, math.NaN()))
	got, err := decode(string(goldentest.Read(t, "nan.resp")), 1, Limits{})
	if err != nil || len(got) != 1 || got[0].Kind != Double || !math.IsNaN(got[0].Float) {
		t.Errorf("decoded as %+v, error %v", got, err)
	}
}

func TestCommandMatchesGoldenFile(t *testing.T) {
	goldentest.Check(t, "command.resp", AppendCommand(nil, "JOIN", "till 7", ""))
	got, err := decode(string(goldentest.Read(t, "command.resp")), 1, Limits{})
	want := []Value{{Kind: Array, Items: []Value{
		{Kind: BulkString, Text: "JOIN"},
		{Kind: BulkString, Text: "till 7"},
		{Kind: BulkString},
	}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded as %+v, error %v", got, err)
	}
}

func TestAppendLineReplacesLineEndsBySpaces(t *testing.T) {
	goldentest.Check(t, "line-ends.resp", AppendLine(nil, SimpleError, "ERR one\r\ntwo"))
}

// TestReaderDecodesFormsThatAreNeverEncoded decodes forms that peers may send but this package never encodes.
func TestReaderDecodesFormsThatAreNeverEncoded(t *testing.T) {
	for stream, want := range map[string]Value{
		"$-1\r\n":                    {Kind: Null},
		"*-1\r\n":                    {Kind: Null},
		"|1\r\n+ttl\r\n:1\r\n:5\r\n": {Kind: Number, Int: 5},
	} {
		got, err := decode(stream, 1, Limits{})
		if err != nil || !reflect.DeepEqual(got, []Value{want}) {
			t.Errorf("%q: decoded as %+v, error %v", stream, got, err)
		}
	}
}

// malformedStreams holds a stream for each reason of a ProtocolError.
var malformedStreams = map[string]string{
	"an unknown kind":          ":1\r\n?1\r\n",
	"a string past its length": "$3\r\nabcd\r\n",
	"a line too long":          "+" + strings.Repeat("x", maxLineLength),
	"a line without its end":   ":1\n",
	"a message too long":       "*2\r\n" + strings.Repeat("$40\r\n"+strings.Repeat("x", 40)+"\r\n", 2),
	"a null with a text":       "_x\r\n",
	"a boolean of neither":     "#x\r\n",
	"a number of letters":      ":x\r\n",
	"a double of letters":      ",x\r\n",
	"a length of letters":      "$?\r\n",
	"a string too long":        "$51\r\n",
	"a count of letters":       "*?\r\n",
	"an aggregate too large":   "*7\r\n",
	"nesting too deep":         "*1\r\n*1\r\n*1\r\n",
	"too many values":          "*3\r\n*3\r\n:1\r\n:1\r\n:1\r\n:1\r\n:1\r\n",
}

func TestProtocolErrorsMatchGoldenFile(t *testing.T) {
	errs := map[string]error{}
	for name, stream := range malformedStreams {
		_, err := decode(stream, len(stream), Limits{Depth: 2, Items: 5, StringBytes: 50, MessageBytes: 80})
		var protocolError *ProtocolError
		if !errors.As(err, &protocolError) {
			t.Errorf("%s: error %v, want a ProtocolError", name, err)
		}
		errs[name] = err
	}
	goldentest.CheckErrors(t, "faults.txt", errs)
}
