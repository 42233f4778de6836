package simulator

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"peppervale/internal/model"
)

// Sizes in bytes.
const (
	batchHeaderSize          = 20
	replyHeaderSize          = 12
	uncountedBatchHeaderSize = 8  // leading bytes of the batch header that its length field does not count
	uncountedReplyHeaderSize = 4  // leading bytes of the reply header that its length field does not count
	eventSize                = 56 // of an event record
	actionSize               = 24 // of an action record
	endpointSize             = 24 // of an endpoint in the tail
	maxFrameLength           = 1 << 28
)

// Batch is one frame of events.
type Batch struct {
	Clock   model.Microseconds // simulated time, the only clock of the instances
	Number  uint32             // of the batch; the reply repeats it
	records []byte
	tail    []byte
}

// Read reads one frame. It returns io.EOF if the input ends between frames, and another error if the input ends within
// a frame or the header is invalid.
func Read(input *bufio.Reader) (*Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(input, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errors.New("frame header cut short")
		}
		return nil, err
	}
	fields := fieldReader{header[:]}
	count := int64(fields.uint32())
	length := int64(fields.uint32())
	batch := &Batch{Clock: fields.milliseconds(), Number: fields.uint32()}
	const countedHeaderSize = batchHeaderSize - uncountedBatchHeaderSize
	if length < countedHeaderSize || length > maxFrameLength || count*eventSize > length-countedHeaderSize {
		return nil, fmt.Errorf("%d records do not fit a frame of %d bytes", count, length)
	}
	body := make([]byte, length-countedHeaderSize)
	if _, err := io.ReadFull(input, body); err != nil {
		return nil, fmt.Errorf("frame of %d bytes cut short", length)
	}
	batch.records = body[:count*eventSize]
	batch.tail = body[count*eventSize:]
	return batch, nil
}

// Events returns the batch's events in order. They share the batch's memory.
func (b *Batch) Events() []Event {
	events := make([]Event, 0, len(b.records)/eventSize)
	for start := 0; start < len(b.records); start += eventSize {
		events = append(events, Event{record: b.records[start : start+eventSize], tail: b.tail})
	}
	return events
}

// Frame encodes the reply to the batch with the given number.
func (r *Reply) Frame(number uint32) []byte {
	length := replyHeaderSize + len(r.records) + len(r.tail)
	frame := make([]byte, 0, length)
	frame = binary.LittleEndian.AppendUint32(frame, uint32(length-uncountedReplyHeaderSize))
	frame = binary.LittleEndian.AppendUint32(frame, uint32(len(r.records)/actionSize))
	frame = binary.LittleEndian.AppendUint32(frame, number)
	frame = append(frame, r.records...)
	return append(frame, r.tail...)
}
