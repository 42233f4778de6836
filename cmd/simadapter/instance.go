package main

import (
	"fmt"

	"peppervale/internal/balancer"
	"peppervale/internal/codec/simulator"
	"peppervale/internal/model"
)

// instanceSet holds the instances by number. Instances share no state.
type instanceSet map[uint16]*instance

// instance is one balancer with the actions that the balancer requested in the current batch.
type instance struct {
	number     uint16
	balancer   *balancer.Balancer // nil if it has not started, was killed or failed
	reply      simulator.Reply
	isTargeted bool // an event of the current batch targets it; it may act only then
}

func newInstance(number uint16) *instance { return &instance{number: number} }

// handleBatch handles a batch and returns its reply. An error means that the batch is malformed.
func (s instanceSet) handleBatch(batch *simulator.Batch) (*simulator.Reply, error) {
	targetedInstances, err := s.handleEvents(batch)
	if err != nil {
		return nil, err
	}
	reply := &simulator.Reply{}
	for _, inst := range targetedInstances {
		inst.flush(batch.Clock)
		inst.moveActionsTo(reply)
	}
	return reply, nil
}

// handleEvents handles a batch's events and returns the targeted instances in the order of their first event.
func (s instanceSet) handleEvents(batch *simulator.Batch) ([]*instance, error) {
	var targetedInstances []*instance
	var target *instance
	for _, event := range batch.Events() {
		if event.Code() == simulator.CodeTargetInstance {
			target = s.target(event.TargetInstance())
			if !target.isTargeted {
				target.isTargeted = true
				targetedInstances = append(targetedInstances, target)
			}
			continue
		}
		if target == nil {
			continue // events before the first TargetInstance have no instance and are ignored
		}
		if err := target.handleEvent(event, batch.Clock); err != nil {
			return nil, err
		}
	}
	return targetedInstances, nil
}

// target returns the instance with a number. It creates the instance if there is none.
func (s instanceSet) target(number uint16) *instance {
	inst := s[number]
	if inst == nil {
		inst = newInstance(number)
		s[number] = inst
	}
	return inst
}

// handleEvent handles an event and reports a panic in an Exception. An error means that the event is malformed.
func (i *instance) handleEvent(event simulator.Event, now model.Microseconds) error {
	var err error
	i.callRecovering(func() { err = i.dispatchEvent(event, now) })
	return err
}

// flush makes the balancer, if one is running, publish the updates that follow from the batch's events.
func (i *instance) flush(now model.Microseconds) {
	i.callRecovering(func() {
		if i.balancer != nil {
			i.balancer.Flush(now)
		}
	})
}

// callRecovering calls a function. If the function panics, callRecovering removes the balancer and reports the panic in
// an Exception.
func (i *instance) callRecovering(call func()) {
	defer func() {
		if panicked := recover(); panicked != nil {
			i.reportFailure(fmt.Sprint("panic: ", panicked))
		}
	}()
	call()
}

// reportFailure removes the balancer and reports the reason in an Exception.
func (i *instance) reportFailure(message string) {
	i.balancer = nil
	i.reply.Exception(message)
}

// moveActionsTo moves the instance's actions to the end of a reply.
func (i *instance) moveActionsTo(reply *simulator.Reply) {
	if !i.reply.Empty() {
		reply.SetSourceInstance(i.number)
		reply.Append(&i.reply)
	}
	i.reply = simulator.Reply{}
	i.isTargeted = false
}

func (i *instance) dispatchEvent(event simulator.Event, now model.Microseconds) error {
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

// start replaces the balancer with a new one that has the settings of an InstanceStarted event. Invalid settings
// are reported in an Exception.
func (i *instance) start(event simulator.Event, now model.Microseconds) error {
	seed, settings, err := event.InstanceStarted()
	if err != nil {
		return err
	}
	config, err := simulator.ParseSettings(seed, settings)
	if err != nil {
		i.reportFailure(err.Error())
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
