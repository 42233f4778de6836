package main

import (
	"fmt"

	"peppervale/internal/balancer"
	"peppervale/internal/codec/simulator"
	"peppervale/internal/model"
)

// instanceSet holds the instances by their numbers. They share nothing.
type instanceSet map[uint16]*instance

// instance is one balancer with the actions that it has asked for in this batch.
type instance struct {
	number    uint16
	balancer  *balancer.Balancer // nil: it has not started, was killed or has failed
	reply     simulator.Reply
	isInBatch bool // it had an event in this batch, and only then may it act
}

func newInstance(number uint16) *instance { return &instance{number: number} }

// answer handles a batch and returns the reply to it. An error means that the batch is malformed.
func (s instanceSet) answer(batch *simulator.Batch) (*simulator.Reply, error) {
	involved, err := s.handleEvents(batch)
	if err != nil {
		return nil, err
	}
	reply := &simulator.Reply{}
	for _, inst := range involved {
		inst.flush(batch.Clock)
		inst.moveActions(reply)
	}
	return reply, nil
}

// handleEvents handles a batch's events and returns the instances that had one, in the order of their first one.
func (s instanceSet) handleEvents(batch *simulator.Batch) ([]*instance, error) {
	var involved []*instance
	var current *instance
	for _, event := range batch.Events() {
		if event.Code() == simulator.CodeTargetInstance {
			current = s.target(event.TargetInstance())
			if !current.isInBatch {
				current.isInBatch = true
				involved = append(involved, current)
			}
			continue
		}
		if current == nil {
			continue
		}
		if err := current.handle(event, batch.Clock); err != nil {
			return nil, err
		}
	}
	return involved, nil
}

// target returns the instance with a number; it adds one if there is none.
func (s instanceSet) target(number uint16) *instance {
	inst := s[number]
	if inst == nil {
		inst = newInstance(number)
		s[number] = inst
	}
	return inst
}

// handle passes an event to the balancer. An error means that the event is malformed.
func (i *instance) handle(event simulator.Event, now model.Microseconds) error {
	var err error
	i.guard(func() { err = i.dispatch(event, now) })
	return err
}

// flush flushes the balancer, if one is running.
func (i *instance) flush(now model.Microseconds) {
	i.guard(func() {
		if i.balancer != nil {
			i.balancer.Flush(now)
		}
	})
}

// guard calls a function; a panic in it becomes an Exception, and ends the balancer.
func (i *instance) guard(call func()) {
	defer func() {
		if panicked := recover(); panicked != nil {
			i.fail(fmt.Sprint("panic: ", panicked))
		}
	}()
	call()
}

// fail ends the balancer and reports why in an Exception.
func (i *instance) fail(message string) {
	i.balancer = nil
	i.reply.Exception(message)
}

// moveActions moves the instance's actions to the end of a reply.
func (i *instance) moveActions(reply *simulator.Reply) {
	if !i.reply.Empty() {
		reply.OnBehalf(i.number)
		reply.Append(&i.reply)
	}
	i.reply = simulator.Reply{}
	i.isInBatch = false
}

func (i *instance) dispatch(event simulator.Event, now model.Microseconds) error {
	switch event.Code() {
	case simulator.CodeInstanceStarted:
		return i.start(event, now)
	case simulator.CodeEndpointsChanged:
		return i.changeEndpoints(event, now)
	}
	if i.balancer != nil {
		i.dispatchToBalancer(event, now)
	}
	return nil
}

// start replaces the balancer by a new one with the settings of a Hello. Wrong settings become an Exception.
func (i *instance) start(event simulator.Event, now model.Microseconds) error {
	seed, settings, err := event.InstanceStarted()
	if err != nil {
		return err
	}
	config, err := simulator.ParseSettings(seed, settings)
	if err != nil {
		i.fail(err.Error())
		return nil
	}
	i.balancer = balancer.New(config, &i.reply, now)
	return nil
}

func (i *instance) changeEndpoints(event simulator.Event, now model.Microseconds) error {
	update, endpoints, err := event.EndpointsChanged()
	if err != nil {
		return err
	}
	if i.balancer != nil {
		i.balancer.EndpointsChanged(now, update, endpoints)
	}
	return nil
}

// dispatchToBalancer passes an event to the running balancer. Events of unknown codes are ignored.
func (i *instance) dispatchToBalancer(event simulator.Event, now model.Microseconds) {
	switch event.Code() {
	case simulator.CodeInstanceKilled:
		i.balancer = nil
	case simulator.CodeTimer:
		i.balancer.TimerFired(now)
	case simulator.CodeProxyConnected:
		proxy, zone, expectedRate := event.ProxyConnected()
		i.balancer.ProxyConnected(now, proxy, zone, expectedRate)
	case simulator.CodeProxyDisconnected:
		i.balancer.ProxyDisconnected(now, event.ProxyDisconnected())
	case simulator.CodeAcknowledged:
		proxy, sequence := event.Acknowledged()
		i.balancer.Acknowledged(now, proxy, sequence)
	case simulator.CodeLoadReport:
		i.balancer.LoadReported(now, event.LoadReport())
	}
}
