package controller

import (
	"peppervale/internal/balancer"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// The controller is its balancer's publisher: it collects the updates and publishes them after the flush.
var _ model.Publisher = (*Controller)(nil)

func (c *Controller) addUpdate(update snapshot.Update) {
	c.pending.Updates = append(c.pending.Updates, update)
}

// SetWeight implements model.Publisher; only the balancer calls it.
func (c *Controller) SetWeight(table model.TableID, replica model.ReplicaID, weight float64) {
	c.addUpdate(snapshot.Update{Kind: snapshot.SetWeight, Table: table, Replica: replica, Weight: weight})
}

// BindProxy implements model.Publisher; only the balancer calls it.
func (c *Controller) BindProxy(
	proxy model.ProxyID, table model.TableID, operations uint16, readmitted []model.ReplicaID,
) {
	c.addUpdate(snapshot.Update{
		Kind: snapshot.BindProxy, Proxy: proxy, Table: table, Operations: operations, Readmitted: readmitted,
	})
}

// SetWithdrawn implements model.Publisher; only the balancer calls it.
func (c *Controller) SetWithdrawn(replica model.ReplicaID, withdrawn bool) {
	c.addUpdate(snapshot.Update{Kind: snapshot.SetWithdrawn, Replica: replica, Withdrawn: withdrawn})
}

// SetQuota implements model.Publisher; only the balancer calls it.
func (c *Controller) SetQuota(operations uint16, quota float64, policy model.RetryPolicy) {
	c.addUpdate(snapshot.Update{
		Kind:  snapshot.SetQuota,
		Quota: pubsubmsg.Quota{Operations: operations, Share: quota, RetryPolicy: policy},
	})
}

// RequestAck implements model.Publisher; only the balancer calls it.
func (c *Controller) RequestAck(sequence uint32, fromAll bool, recipients []model.ProxyID) {
	c.pending.AckSequence = int(sequence)
	c.pending.AckFromAll = fromAll
	c.pending.Recipients = recipients
}

// SetTimer implements model.Publisher; only the balancer calls it.
func (c *Controller) SetTimer(delay model.Microseconds) { c.wakeAt = c.now() + delay }

// Subscribe implements model.Publisher; only the balancer calls it.
func (c *Controller) Subscribe() {
	c.endpoints.subscriptionCount++
	c.discovery.Subscribe()
}

// Log implements model.Publisher; only the balancer calls it.
func (c *Controller) Log(message string) {
	if message == balancer.SafeModeEndedMessage {
		c.safeModeEnded = true
	}
	c.decisions.addReason(message)
	c.log.Info().Str("component", "balancer").Msg(message)
}
