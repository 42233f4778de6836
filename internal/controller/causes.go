package controller

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// Decision is one step that ordered something or changed what is believed: what came in, what the module said of it,
// and what it ordered. Together they answer why a forwarder has no line to a replica. It is stored as JSON; its tags are
// names in stored data and must not change.
type Decision struct {
	At             model.Microseconds `json:"At"`
	Number         uint64             `json:"Number"`         // of the steps that are kept, from 1
	Incarnation    uint64             `json:"Life,omitempty"` // of an earlier one that took the step; 0: this one
	Inputs         []string           `json:"Came"`           // inputs of the step: joins, leaves, the list, the timer, sums and receipts counted
	Reasons        []string           `json:"Said"`           // the module's own words: which replica moved to which state on which input
	Updates        []string           `json:"Orders"`
	OmittedUpdates int                `json:"Cut"` // orders beyond those kept
}

// Mentions tells whether a word stands in any part of a cause.
func (c *Decision) Mentions(word string) bool {
	for _, part := range [][]string{c.Inputs, c.Reasons, c.Updates} {
		for _, text := range part {
			if strings.Contains(text, word) {
				return true
			}
		}
	}
	return false
}

// causesMost bounds the ring: at five solves a second, with a few steps each, about an hour of a calm fleet. ordersMost
// bounds one entry: the first order of a table of hundreds says what the rest do.
const (
	causesMost = 16384
	ordersMost = 64
	inputsMost = 16
)

var scopeNames = map[model.EndpointUpdate]string{model.FullList: "whole", model.ChangedEntries: "change", model.CachedList: "cached", model.PollFailed: "failed"}

// causes is a ring; the host's goroutine writes, anybody reads.
type causes struct {
	came, said     []string
	receipts, sums int
	timer          bool
	inputs         int

	off  bool            // nothing is kept
	keep func(*Decision) // must not block; nil: nobody keeps them

	mu     sync.Mutex
	ring   []*Decision // never written again once they are here
	next   int
	number uint64
}

func newCauses() *causes { return &causes{} }

// input notes an input of the step that is being taken.
func (c *causes) input(format string, args ...any) {
	if c.off {
		return
	}
	if c.inputs++; c.inputs <= inputsMost {
		c.came = append(c.came, fmt.Sprintf(format, args...))
	}
}

// step closes a step. One in which only sums, receipts or the timer came, and nothing followed, is not kept.
func (c *causes) step(now model.Microseconds, b *snapshot.Batch) {
	if c.off {
		c.said = nil
		return
	}
	one := &Decision{At: now, Inputs: c.came, Reasons: c.said}
	if c.inputs > inputsMost {
		one.Inputs = append(one.Inputs, fmt.Sprintf("and %d more", c.inputs-inputsMost))
	}
	if c.sums > 0 {
		one.Inputs = append(one.Inputs, fmt.Sprintf("%d sums", c.sums))
	}
	if c.receipts > 0 {
		one.Inputs = append(one.Inputs, fmt.Sprintf("%d receipts", c.receipts))
	}
	if c.timer {
		one.Inputs = append(one.Inputs, "timer")
	}
	told := c.inputs > 0
	c.came, c.said, c.receipts, c.sums, c.timer, c.inputs = nil, nil, 0, 0, false, 0
	if !told && len(one.Reasons) == 0 && len(b.Updates) == 0 {
		return
	}
	for _, o := range b.Updates[:min(len(b.Updates), ordersMost)] {
		one.Updates = append(one.Updates, describe(o))
	}
	one.OmittedUpdates = len(b.Updates) - len(one.Updates)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	one.Number = c.number
	if c.keep != nil {
		c.keep(one)
	}
	if len(c.ring) < causesMost {
		c.ring = append(c.ring, one)
		return
	}
	c.ring[c.next] = one
	c.next = (c.next + 1) % causesMost
}

func describe(o snapshot.Update) string {
	r := pubsubmsg.Address(o.Replica)
	switch o.Kind {
	case snapshot.SetWeight:
		return fmt.Sprintf("table %d: %s weighs %.4g", o.Table, r, o.Weight)
	case snapshot.BindProxy:
		return fmt.Sprintf("forwarder %d on table %d", o.Proxy, o.Table)
	case snapshot.SetWithdrawn:
		if o.Withdrawn {
			return "withdraw " + r
		}
		return "let back " + r
	}
	return fmt.Sprintf("level of operations %#b: share %.3g, way %d", o.Quota.Operations, o.Quota.Share, o.Quota.RetryPolicy)
}

// find copies the ring's pointers and looks at the entries without the lock: a search of all of them takes some tens of
// milliseconds, and a step must not wait for it.
func (c *causes) find(most int, match func(*Decision) bool) (found []Decision) {
	c.mu.Lock()
	ring := append(append(make([]*Decision, 0, len(c.ring)), c.ring[c.next:]...), c.ring[:c.next]...)
	c.mu.Unlock()
	for _, one := range slices.Backward(ring) {
		if match == nil || match(one) {
			if found = append(found, *one); len(found) == most {
				break
			}
		}
	}
	return found
}

// oldest is the number of the oldest entry in memory; the next one's if there is none.
func (c *causes) oldest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.number - uint64(len(c.ring)) + 1
}
