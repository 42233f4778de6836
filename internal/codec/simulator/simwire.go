// Package simwire reads and writes the bench's binary frames and decodes its start settings.
package simulator

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"peppervale/internal/model"
)

const (
	eventSize   = 56
	orderSize   = 24
	listingSize = 24
	frameMost   = 1 << 28
	everyTable  = 65535 // in a Level: for every joined proxy
)

// Event codes of a batch.
const (
	CodeTarget       = 2
	CodeHello        = 3
	CodeRosterChange = 7
	CodeTookEffect   = 8
	CodeDialledIn    = 13
	CodeRoundup      = 6
	CodeDisconnected = 14
	CodeKill         = 12
	CodeBell         = 9
)

var le = binary.LittleEndian

// Batch is one frame of events.
type Batch struct {
	Clock  model.Microseconds
	Number uint32
	body   []byte
	tail   []byte
}

// Read takes one frame; io.EOF means that input ended between frames.
func Read(r *bufio.Reader) (*Batch, error) {
	var head [20]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errors.New("frame header cut short")
		}
		return nil, err
	}
	count, length := int64(le.Uint32(head[0:])), int64(le.Uint32(head[4:]))
	if length < 12 || length > frameMost || count*eventSize > length-12 {
		return nil, fmt.Errorf("%d records do not fit a frame of %d bytes", count, length)
	}
	body := make([]byte, length-12)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("frame of %d bytes cut short", length)
	}
	return &Batch{
		Clock:  millis(head[8:]),
		Number: le.Uint32(head[16:]),
		body:   body[:count*eventSize],
		tail:   body[count*eventSize:],
	}, nil
}

// Events gives the batch's records in order.
func (b *Batch) Events() []Event {
	events := make([]Event, 0, len(b.body)/eventSize)
	for at := 0; at < len(b.body); at += eventSize {
		events = append(events, Event{rec: b.body[at : at+eventSize], tail: b.tail})
	}
	return events
}

// Event is one record of a batch.
type Event struct {
	rec, tail []byte
}

func (e Event) Code() byte          { return e.rec[0] }
func (e Event) Target() uint16      { return le.Uint16(e.rec[1:]) }
func (e Event) Left() model.ProxyID { return model.ProxyID(le.Uint16(e.rec[1:])) }

func (e Event) slice(at, unit int) ([]byte, error) {
	from, n := uint64(le.Uint32(e.rec[at:])), uint64(le.Uint32(e.rec[at+4:]))*uint64(unit)
	if from+n > uint64(len(e.tail)) {
		return nil, fmt.Errorf("record %d points at %d+%d in a tail of %d bytes", e.rec[0], from, n, len(e.tail))
	}
	return e.tail[from : from+n], nil
}

// Hello gives the instance's seed and the start settings as JSON text.
func (e Event) Hello() (uint64, []byte, error) {
	text, err := e.slice(9, 1)
	return le.Uint64(e.rec[1:]), text, err
}

var scopes = []model.EndpointUpdate{model.FullList, model.ChangedEntries, model.CachedList, model.PollFailed}

// RosterChange gives news of the list.
func (e Event) RosterChange() (model.EndpointUpdate, []model.Endpoint, error) {
	if int(e.rec[1]) >= len(scopes) {
		return 0, nil, fmt.Errorf("list scope %d", e.rec[1])
	}
	text, err := e.slice(6, listingSize)
	var entries []model.Endpoint
	for ; len(text) >= listingSize; text = text[listingSize:] {
		entries = append(entries, model.Endpoint{
			ID: replica(text), Zone: int(le.Uint16(text[6:])), Status: model.EndpointStatus(text[11]), StartedAt: millis(text[16:]),
		})
	}
	return scopes[e.rec[1]], entries, err
}

// TookEffect gives the proxy and the number of the receipt.
func (e Event) TookEffect() (model.ProxyID, uint32) {
	return model.ProxyID(le.Uint16(e.rec[1:])), le.Uint32(e.rec[3:])
}

// DialledIn gives the proxy, its zone and what usually comes to it a second; what is no rate reads as 0.
func (e Event) DialledIn() (p model.ProxyID, zone int, usual float64) {
	if usual = single(e.rec[4:]); !(usual >= 0 && usual < 1e9) {
		usual = 0
	}
	return model.ProxyID(le.Uint16(e.rec[8:])), int(le.Uint16(e.rec[1:])), usual
}

// Roundup gives what a zone's proxies met at a replica.
func (e Event) Roundup() model.LoadReport {
	var report []float64
	for i := range min(int(e.rec[33]), 4) {
		report = append(report, single(e.rec[34+4*i:]))
	}
	return model.LoadReport{
		Zone: int(le.Uint16(e.rec[1:])), Replica: replica(e.rec[3:]),
		Attempts: int(le.Uint32(e.rec[9:])), Errors: int(le.Uint32(e.rec[13:])),
		MeanLatency: millis(e.rec[17:]), Window: millis(e.rec[25:]), Readings: report,
	}
}

// millis reads a time; what is no finite number, or out of all measure, reads as 0.
func millis(b []byte) model.Microseconds {
	v := math.Float64frombits(le.Uint64(b)) * 1000
	if !(math.Abs(v) < 1e15) {
		return 0
	}
	return model.Microseconds(math.Round(v))
}

func single(b []byte) float64 { return float64(math.Float32frombits(le.Uint32(b))) }

func replica(b []byte) (id model.ReplicaID) {
	copy(id.Addr[:], b)
	id.Port = le.Uint16(b[4:])
	return id
}

// Reply gathers the orders that answer a batch.
type Reply struct {
	body, tail []byte
}

func (r *Reply) record(code byte) []byte {
	r.body = append(r.body, make([]byte, orderSize)...)
	rec := r.body[len(r.body)-orderSize:]
	rec[0] = code
	return rec
}

func putReplica(b []byte, id model.ReplicaID) {
	copy(b, id.Addr[:])
	le.PutUint16(b[4:], id.Port)
}

func (r *Reply) text(code byte, s string) {
	rec := r.record(code)
	le.PutUint32(rec[1:], uint32(len(r.tail)))
	le.PutUint32(rec[5:], uint32(len(s)))
	r.tail = append(r.tail, s...)
}

func (r *Reply) OnBehalf(instance uint16) { le.PutUint16(r.record(12)[1:], instance) }
func (r *Reply) Exception(cause string)   { r.text(10, cause) }

// Reply carries out a governor's orders by writing them down.
var _ model.Publisher = (*Reply)(nil)

func (r *Reply) Log(s string) { r.text(5, s) }
func (r *Reply) Subscribe()   { r.record(9)[1] = 1 }

func (r *Reply) SetWeight(t model.TableID, id model.ReplicaID, weight float64) {
	rec := r.record(1)
	le.PutUint16(rec[1:], uint16(t))
	le.PutUint32(rec[3:], math.Float32bits(float32(weight)))
	putReplica(rec[7:], id)
}

func (r *Reply) BindProxy(p model.ProxyID, t model.TableID, operations uint16, _ []model.ReplicaID) {
	rec := r.record(14)
	le.PutUint16(rec[1:], uint16(p))
	le.PutUint16(rec[3:], uint16(t))
	le.PutUint16(rec[5:], operations)
}

func (r *Reply) SetWithdrawn(id model.ReplicaID, out bool) {
	rec := r.record(11)
	putReplica(rec[1:], id)
	if out {
		rec[7] = 1
	}
}

func (r *Reply) SetQuota(operations uint16, share float64, w model.RetryPolicy) {
	rec := r.record(7)
	le.PutUint16(rec[1:], everyTable)
	le.PutUint16(rec[3:], operations)
	le.PutUint32(rec[5:], math.Float32bits(float32(share)))
	rec[9] = byte(w)
}

func (r *Reply) RequestAck(number uint32, all bool) {
	rec := r.record(6)
	if le.PutUint32(rec[2:], number); all {
		rec[1] = 1
	}
}

func (r *Reply) SetTimer(after model.Microseconds) {
	le.PutUint64(r.record(13)[1:], math.Float64bits(float64(after)/1000))
}

// Frame gives the reply to the batch of that number.
func (r *Reply) Frame(number uint32) []byte {
	head := make([]byte, 12, 12+len(r.body)+len(r.tail))
	le.PutUint32(head, uint32(8+len(r.body)+len(r.tail)))
	le.PutUint32(head[4:], uint32(len(r.body)/orderSize))
	le.PutUint32(head[8:], number)
	return append(append(head, r.body...), r.tail...)
}

// Append puts another reply's orders after these.
func (r *Reply) Append(o *Reply) {
	from := len(r.body)
	r.body = append(r.body, o.body...)
	for at := from; at < len(r.body); at += orderSize {
		if code := r.body[at]; code == 5 || code == 10 {
			le.PutUint32(r.body[at+1:], le.Uint32(r.body[at+1:])+uint32(len(r.tail)))
		}
	}
	r.tail = append(r.tail, o.tail...)
}

// Empty tells whether nothing is ordered.
func (r *Reply) Empty() bool { return len(r.body) == 0 }
