// Command drill hosts governors on the bench's wire: frames come in on standard input, replies go out on
// standard output. It hands events to the module and writes down its orders; it decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"peppervale/internal/balancer"
	"peppervale/internal/codec/simulator"
	"peppervale/internal/model"
)

// instance is one governor with the orders that it has given in this batch.
type instance struct {
	number   uint16
	governor *balancer.Balancer
	reply    *simulator.Reply
	touched  bool
}

func newInstance(number uint16) *instance {
	return &instance{number: number, reply: &simulator.Reply{}}
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	instances := map[uint16]*instance{}
	for {
		b, err := simulator.Read(r)
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		reply, err := answer(instances, b)
		if err != nil {
			return err
		}
		if _, err := w.Write(reply.Frame(b.Number)); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

func answer(instances map[uint16]*instance, b *simulator.Batch) (*simulator.Reply, error) {
	var order []*instance
	var current *instance
	for _, e := range b.Events() {
		if e.Code() == simulator.CodeTarget {
			current = instances[e.Target()]
			if current == nil {
				current = newInstance(e.Target())
				instances[e.Target()] = current
			}
			if !current.touched {
				current.touched = true
				order = append(order, current)
			}
			continue
		}
		if current == nil {
			continue
		}
		if err := current.guard(func() error { return current.take(e, b.Clock) }); err != nil {
			return nil, err
		}
	}
	all := &simulator.Reply{}
	for _, inst := range order {
		_ = inst.guard(func() error {
			if inst.governor != nil {
				inst.governor.Flush(b.Clock)
			}
			return nil
		})
		if !inst.reply.Empty() {
			all.OnBehalf(inst.number)
			all.Append(inst.reply)
		}
		*inst.reply, inst.touched = simulator.Reply{}, false
	}
	return all, nil
}

// guard turns a panic of the module into an Exception for that instance.
func (inst *instance) guard(f func() error) error {
	defer func() {
		if cause := recover(); cause != nil {
			inst.reply.Exception(fmt.Sprint("panic: ", cause))
			inst.governor = nil
		}
	}()
	return f()
}

func (inst *instance) take(e simulator.Event, now model.Microseconds) error {
	if e.Code() == simulator.CodeHello {
		seed, text, err := e.Hello()
		if err != nil {
			return err
		}
		terms, err := simulator.Terms(seed, text)
		if err != nil {
			inst.governor = nil
			inst.reply.Exception(err.Error())
			return nil
		}
		inst.governor = balancer.New(terms, inst.reply, now)
		return nil
	}
	if e.Code() == simulator.CodeRosterChange {
		scope, entries, err := e.RosterChange()
		if err == nil && inst.governor != nil {
			inst.governor.EndpointsChanged(now, scope, entries)
		}
		return err
	}
	g := inst.governor
	if g == nil {
		return nil
	}
	switch e.Code() {
	case simulator.CodeKill:
		inst.governor = nil
	case simulator.CodeBell:
		g.TimerFired(now)
	case simulator.CodeDialledIn:
		p, zone, usual := e.DialledIn()
		g.ProxyConnected(now, p, zone, usual)
	case simulator.CodeDisconnected:
		g.ProxyDisconnected(now, e.Left())
	case simulator.CodeTookEffect:
		p, number := e.TookEffect()
		g.Acknowledged(now, p, number)
	case simulator.CodeRoundup:
		g.LoadReported(now, e.Roundup())
	}
	return nil
}
