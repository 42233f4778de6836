package simulator

import (
	"encoding/binary"
	"math"

	"peppervale/internal/model"
)

// fieldReader decodes the fields of a record in order. The record must be long enough.
type fieldReader struct{ rest []byte }

func (f *fieldReader) bytes(size int) []byte {
	field := f.rest[:size]
	f.rest = f.rest[size:]
	return field
}

func (f *fieldReader) skip(size int)    { f.rest = f.rest[size:] }
func (f *fieldReader) uint8() uint8     { return f.bytes(1)[0] }
func (f *fieldReader) uint16() uint16   { return binary.LittleEndian.Uint16(f.bytes(2)) }
func (f *fieldReader) uint32() uint32   { return binary.LittleEndian.Uint32(f.bytes(4)) }
func (f *fieldReader) uint64() uint64   { return binary.LittleEndian.Uint64(f.bytes(8)) }
func (f *fieldReader) float32() float64 { return float64(math.Float32frombits(f.uint32())) }

// maxMicroseconds bounds the absolute value of decoded times, in microseconds: about thirty years.
const maxMicroseconds = 1e15

// milliseconds decodes a time in fractional milliseconds. The result is 0 if the value is not finite or not below
// maxMicroseconds.
func (f *fieldReader) milliseconds() model.Microseconds {
	microseconds := math.Float64frombits(f.uint64()) * float64(model.Millisecond)
	isUsable := math.Abs(microseconds) < maxMicroseconds
	if !isUsable {
		return 0
	}
	return model.Microseconds(math.Round(microseconds))
}

func (f *fieldReader) replica() model.ReplicaID {
	var id model.ReplicaID
	copy(id.Addr[:], f.bytes(len(id.Addr)))
	id.Port = f.uint16()
	return id
}

// fieldWriter encodes the fields of a record in order. The record must be long enough.
type fieldWriter struct{ rest []byte }

func (f *fieldWriter) bytes(size int) []byte {
	field := f.rest[:size]
	f.rest = f.rest[size:]
	return field
}

func (f *fieldWriter) uint8(value uint8)     { f.bytes(1)[0] = value }
func (f *fieldWriter) uint16(value uint16)   { binary.LittleEndian.PutUint16(f.bytes(2), value) }
func (f *fieldWriter) uint32(value uint32)   { binary.LittleEndian.PutUint32(f.bytes(4), value) }
func (f *fieldWriter) float32(value float64) { f.uint32(math.Float32bits(float32(value))) }

func (f *fieldWriter) bool(value bool) {
	if value {
		f.uint8(1)
	} else {
		f.uint8(0)
	}
}

func (f *fieldWriter) milliseconds(duration model.Microseconds) {
	binary.LittleEndian.PutUint64(f.bytes(8), math.Float64bits(float64(duration)/float64(model.Millisecond)))
}

func (f *fieldWriter) replica(id model.ReplicaID) {
	copy(f.bytes(len(id.Addr)), id.Addr[:])
	f.uint16(id.Port)
}
