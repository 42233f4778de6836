package resp

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"unsafe"
)

// decode feeds a stream in chunks of one size and returns the messages decoded before the first error.
func decode(stream string, chunkSize int, limits Limits) (messages []Value, err error) {
	reader := NewReader(limits)
	collect := func(message Value) error {
		messages = append(messages, message)
		return nil
	}
	for len(stream) > 0 && err == nil {
		n := min(chunkSize, len(stream))
		err = reader.Feed([]byte(stream[:n]), collect)
		stream = stream[n:]
	}
	return messages, err
}

// appendAll encodes messages in order.
func appendAll(messages []Value) []byte {
	var encoded []byte
	for _, message := range messages {
		encoded = Append(encoded, message)
	}
	return encoded
}

func TestDecodedMessagesAreTheSameForAnyChunkSize(t *testing.T) {
	messages := []Value{
		{Kind: Push, Items: []Value{
			{Kind: BulkString, Text: "change\r\n"},
			{Kind: Number, Int: -7},
			{Kind: Double, Float: 0.1},
		}},
		{Kind: Map, Items: []Value{
			{Kind: SimpleString, Text: "life"},
			{Kind: Null},
			{Kind: SimpleString, Text: "on"},
			{Kind: Bool, Bool: true},
		}},
		{Kind: Array, Items: []Value{
			{Kind: Set},
			{Kind: Array, Items: []Value{{Kind: VerbatimString, Text: "txt:hi"}}},
		}},
		{Kind: SimpleError, Text: "ERR no"},
		{Kind: BigNumber, Text: "123456789012345678901234567890"},
	}
	stream := appendAll(messages)
	for _, chunkSize := range []int{1, 2, 3, 7, len(stream)} {
		got, err := decode(string(stream), chunkSize, Limits{})
		if err != nil || !reflect.DeepEqual(got, messages) {
			t.Fatalf("in chunks of %d bytes: decoded as %v, error %v", chunkSize, got, err)
		}
	}
}

func TestMalformedStreamsAreRejected(t *testing.T) {
	tests := map[string]struct {
		stream string
		reason string
	}{
		"bytes that are not RESP":         {"GET / HTTP/1.1\r\n", "opens no value"},
		"a byte that is not RESP":         {"\x00", "opens no value"},
		"a length of 2^62":                {"$4611686018427387904\r\n", "a string of 4611686018427387904 bytes"},
		"a count of 2^62":                 {"*4611686018427387904\r\n", "an aggregate of"},
		"a negative length":               {"$-2\r\n", "is no length"},
		"nesting a thousand deep":         {strings.Repeat("*1\r\n", 1000), "nesting deeper"},
		"a string longer than its length": {"$3\r\nabcd\r\n", "runs on past its length"},
		"a line without an end":           {"+" + strings.Repeat("x", maxLineLength), "a line of over"},
		"a megabyte in one message": {
			"*90000\r\n" + strings.Repeat("$10\r\n0123456789\r\n", 90000),
			"a message of over",
		},
		"streamed strings":        {"$?\r\n", "is no length"},
		"a bare line feed":        {":1\n", "without its"},
		"aggregates within items": {strings.Repeat("*9\r\n:1\r\n", 3), "nesting deeper"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, chunkSize := range []int{1, 4096} {
				_, err := decode(test.stream, chunkSize, Limits{Depth: 2, MessageBytes: 1 << 20})
				var protocolError *ProtocolError
				if !errors.As(err, &protocolError) || !strings.Contains(protocolError.Reason, test.reason) {
					t.Fatalf("in chunks of %d bytes: got error %v", chunkSize, err)
				}
			}
		})
	}
}

func TestFeedReturnsSameErrorAfterProtocolError(t *testing.T) {
	reader := NewReader(Limits{})
	first := reader.Feed([]byte("?"), nil)
	again := reader.Feed([]byte(":1\r\n"), nil)
	if first == nil || again != first { //nolint:errorlint // the same error is wanted, not one that wraps it
		t.Fatal("after a protocol error, Feed does not return the same error: ", again)
	}
}

func TestAttributesAreDropped(t *testing.T) {
	got, err := decode("|1\r\n+ttl\r\n:3600\r\n*2\r\n:1\r\n|1\r\n+k\r\n+v\r\n:2\r\n", 1, Limits{})
	want := []Value{{Kind: Array, Items: []Value{{Kind: Number, Int: 1}, {Kind: Number, Int: 2}}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("decoded as %v, error %v", got, err)
	}
}

// FuzzReader checks that a stream in one chunk and in single bytes decodes to the same messages, and that encoded
// messages decode to messages with the same encoding.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{
		"*2\r\n$3\r\nACK\r\n:1\r\n",
		">1\r\n,1e300\r\n",
		"%1\r\n+a\r\n_\r\n",
		"|1\r\n+a\r\n:1\r\n#t\r\n",
		"$-1\r\n",
		"*-1\r\n",
		"(1\r\n",
		"=5\r\ntxt:a\r\n",
		"~0\r\n",
		"!1\r\nx\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, stream string) {
		limits := Limits{Depth: 4, Items: 100, StringBytes: 100, MessageBytes: 1000}
		fromOneChunk, oneChunkErr := decode(stream, max(len(stream), 1), limits)
		fromSingleBytes, singleBytesErr := decode(stream, 1, limits)
		if (oneChunkErr == nil) != (singleBytesErr == nil) || len(fromOneChunk) != len(fromSingleBytes) {
			t.Fatalf("in one chunk: messages %v, error %v; in single bytes: messages %v, error %v",
				fromOneChunk, oneChunkErr, fromSingleBytes, singleBytesErr)
		}
		encoded := appendAll(fromOneChunk)
		limits.MessageBytes = 100_000
		decodedAgain, err := decode(string(encoded), max(len(encoded), 1), limits)
		encodedAgain := appendAll(decodedAgain)
		if err != nil || string(encoded) != string(encodedAgain) {
			t.Fatalf("%q after decoding and encoding: %q, error %v", encoded, encodedAgain, err)
		}
	})
}

// HeldBytes counts what an unfinished message holds: its values, many times their bytes on the wire, and its texts.
func TestHeldBytesCountUnfinishedMessage(t *testing.T) {
	const fields = 1000
	ignore := func(Value) error { return nil }
	reader := NewReader(Limits{})
	if err := reader.Feed([]byte("*1001\r\n"+strings.Repeat("$1\r\na\r\n", fields)), ignore); err != nil {
		t.Fatal(err)
	}
	if held, least := reader.HeldBytes(), int64(fields*unsafe.Sizeof(Value{})); held < least {
		t.Errorf("%d fields hold %d bytes, want at least %d", fields, held, least)
	}
	if err := reader.Feed([]byte("$500000\r\n"+strings.Repeat("x", 400000)), ignore); err != nil {
		t.Fatal(err)
	}
	if held := reader.HeldBytes(); held < 400000 {
		t.Errorf("a string of which 400,000 bytes came holds %d bytes", held)
	}
	if err := reader.Feed([]byte(strings.Repeat("x", 100000)+"\r\n"), ignore); err != nil {
		t.Fatal(err)
	}
	if held := reader.HeldBytes(); held != 0 || !reader.Idle() {
		t.Errorf("a complete message holds %d bytes, want 0", held)
	}
}
