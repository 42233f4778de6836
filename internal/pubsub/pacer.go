package pubsub

import (
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// pacer is the queue: messages leave one after the other, each taking its lines' time. It is free of I/O.
type pacer struct {
	perSecond float64
	free      model.Microseconds // when the last one taken will have left
	queue     []*waiting
	lines     int // that wait
	most      int // the most lines that waited
}

type waiting struct {
	out    snapshot.Delivery
	stream uint64
	leaves model.Microseconds
	dead   bool // its stream ended first
}

// put adds a message and says when it leaves.
func (p *pacer) put(now model.Microseconds, out snapshot.Delivery, stream uint64) {
	span := model.Microseconds(float64(out.Message.Cost) / p.perSecond * float64(model.Second))
	p.free = max(p.free, now) + span
	p.queue = append(p.queue, &waiting{out: out, stream: stream, leaves: p.free})
	p.lines += out.Message.Cost
	p.most = max(p.most, p.lines)
}

// take gives the next message that leaves by now, nil if none does.
func (p *pacer) take(now model.Microseconds) *waiting {
	for len(p.queue) > 0 && p.queue[0].leaves <= now {
		w := p.queue[0]
		if p.queue = p.queue[1:]; !w.dead {
			p.lines -= w.out.Message.Cost
			return w
		}
	}
	return nil
}

// next is when the first one leaves; ok is false for an empty queue.
func (p *pacer) next() (at model.Microseconds, ok bool) {
	if len(p.queue) == 0 {
		return 0, false
	}
	return p.queue[0].leaves, true
}

// drop forgets what waits for a stream. Its time stays booked: what was promised to others is not moved.
func (p *pacer) drop(stream uint64) {
	for _, w := range p.queue {
		if w.stream == stream && !w.dead {
			w.dead = true
			p.lines -= w.out.Message.Cost
		}
	}
}
