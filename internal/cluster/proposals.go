package cluster

import "time"

// proposalSender sends commands of this member to the leader, one at a time.
type proposalSender struct {
	cluster *Cluster
	timeout time.Duration
	client  *client // of the leader at address
	address string
}

// runProposals sends the commands that the tick loop proposes. A failed proposal is not retried here: a later tick
// repeats registrations, renewals and placements, and a lease that is not released expires.
func (c *Cluster) runProposals() {
	defer c.wait.Done()
	sender := &proposalSender{cluster: c, timeout: c.requestTimeout(), client: &client{}}
	defer func() { sender.client.close() }()
	for {
		select {
		case <-c.done:
			return
		case command := <-c.proposals:
			if release, releases := command.(ReleaseLeases); releases {
				c.sendHandovers(release, sender.timeout)
			}
			if err := sender.send(command); err != nil {
				c.proposalFailed(command)
			}
		}
	}
}

func (s *proposalSender) send(command Command) error {
	config := s.cluster.config
	node := s.cluster.node
	if node.isLeader() {
		return s.cluster.propose(command)
	}
	name, address := node.leader()
	if address == "" && config.Join {
		s.cluster.requestJoin(s.timeout)
	}
	_, leaderOnly := command.(SetPlacement)
	if address == "" || leaderOnly || name == config.Name {
		return ErrNotLeader
	}
	if address != s.address {
		s.client.close()
		s.address = address
		s.client = config.newClient(name, address)
	}
	entry := LogEntry{SchemaVersion: schemaVersion, Command: command}
	data, err := entry.Encode()
	if err != nil {
		return err
	}
	_, err = s.client.request(s.timeout, requestPropose, string(data))
	return err
}

func (c *Cluster) proposalFailed(command Command) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.member.ProposalFailed(command, c.config.Now())
}

// requestJoin asks one peer after another, until one succeeds, to add this member to the cluster.
func (c *Cluster) requestJoin(timeout time.Duration) {
	ownAddress := c.config.addressOf(c.config.Name, c.config.ListenAddress)
	for _, peer := range c.config.Peers {
		if peer.Name == c.config.Name {
			continue
		}
		peerClient := c.config.newClient(peer.Name, peer.Address)
		_, err := peerClient.request(timeout, requestAdd, c.config.Name, ownAddress)
		peerClient.close()
		if err == nil {
			return
		}
	}
}
