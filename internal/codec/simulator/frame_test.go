package simulator

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"testing"

	"peppervale/internal/model"
)

// testFrame returns a batch of records, each padded, at 250 ms with number 9.
func testFrame(tail []byte, records ...[]byte) []byte {
	var frame []byte
	frame = binary.LittleEndian.AppendUint32(frame, uint32(len(records)))
	frame = binary.LittleEndian.AppendUint32(frame, uint32(12+eventSize*len(records)+len(tail)))
	frame = binary.LittleEndian.AppendUint64(frame, math.Float64bits(250))
	frame = binary.LittleEndian.AppendUint32(frame, 9)
	for _, record := range records {
		frame = append(frame, record...)
		frame = append(frame, make([]byte, eventSize-len(record))...)
	}
	return append(frame, tail...)
}

func read(b []byte) (*Batch, error) { return Read(bufio.NewReader(bytes.NewReader(b))) }

// readEvent reads a frame of one event.
func readEvent(t *testing.T, frame []byte) Event {
	t.Helper()
	batch, err := read(frame)
	if err != nil {
		t.Fatal(err)
	}
	return batch.Events()[0]
}

func TestReadHeader(t *testing.T) {
	batch, err := read(testFrame(nil, []byte{CodeTimer}))
	if err != nil || batch.Clock != 250*model.Millisecond || batch.Number != 9 {
		t.Fatalf("%+v, %v", batch, err)
	}
}

func TestReadRejectsWrongFrames(t *testing.T) {
	complete := testFrame(nil, []byte{CodeTimer})
	for name, frame := range map[string][]byte{
		"header cut":        complete[:7],
		"body cut":          complete[:len(complete)-1],
		"too many records":  append([]byte{9, 0, 0, 0}, complete[4:]...),
		"length under head": append([]byte{0, 0, 0, 0, 3, 0, 0, 0}, complete[8:]...),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := read(frame); err == nil || errors.Is(err, io.EOF) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestReadEndsBetweenFrames(t *testing.T) {
	if _, err := read(nil); !errors.Is(err, io.EOF) {
		t.Fatalf("got %v", err)
	}
}
