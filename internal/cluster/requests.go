package cluster

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"peppervale/internal/placement"
)

// Names of the requests on the wire.
const (
	requestStatus   = "STATUS"  // returns this member's Status as JSON
	requestHandover = "HAND"    // an encoded Handover of another member
	requestPropose  = "PROPOSE" // an encoded LogEntry of another member
	requestMove     = "MOVE"    // shard, member
	requestLeave    = "LEAVE"   // member, and one of the words below
	requestRemove   = "STRIKE"  // member
	requestAdd      = "ADD"     // member, address

	// requestForwarded precedes a request that a member forwards to the leader, so that two members that each
	// consider the other one the leader do not forward it forever.
	requestForwarded = "HANDED"
)

// Last word of a requestLeave.
const (
	leaveOn       = "on"
	leaveOff      = "off"
	leaveStopping = "ending" // of a member whose process is about to stop
)

// reasonMovedByOperator is the reason of a MOVE request. The replicated state holds its text.
const reasonMovedByOperator = "moved by hand"

// forwardTimeout is the timeout of a request that is forwarded to the leader.
const forwardTimeout = 5 * time.Second

// leaderRequest is a request that only the leader executes.
type leaderRequest struct {
	argumentCount int // number of words after its name
	execute       func(c *Cluster, words []string) error
}

var leaderRequests = map[string]leaderRequest{
	requestPropose: {1, (*Cluster).proposeForMember},
	requestMove:    {2, (*Cluster).moveShard},
	requestLeave:   {2, (*Cluster).drainMember},
	requestRemove:  {1, (*Cluster).removeMember},
	requestAdd:     {2, (*Cluster).addMember},
}

// answerRequest answers a request of a member or an operator, which has at least one word.
func (c *Cluster) answerRequest(words []string) ([]byte, error) {
	forwarded := words[0] == requestForwarded && len(words) > 1
	if forwarded {
		words = words[1:]
	}
	name := strings.ToUpper(words[0])
	switch {
	case name == requestStatus:
		return json.Marshal(c.Status())
	case name == requestHandover && len(words) == 2:
		return nil, c.acceptHandover(words[1])
	}
	request, known := leaderRequests[name]
	if !known {
		return nil, invalidRequest("unknown request %.40q; known are STATUS, MOVE, LEAVE, STRIKE, ADD", words[0])
	}
	if len(words)-1 != request.argumentCount {
		return nil, invalidRequest("%s takes %d words", name, request.argumentCount)
	}
	if c.node.isLeader() {
		return nil, request.execute(c, words[1:])
	}
	if forwarded || name == requestPropose {
		return nil, ErrNotLeader
	}
	return c.forwardToLeader(words)
}

func (c *Cluster) forwardToLeader(words []string) ([]byte, error) {
	name, address := c.node.leader()
	if address == "" {
		return nil, ErrNoLeader
	}
	leaderClient := c.config.newClient(name, address)
	defer leaderClient.close()
	text, err := leaderClient.request(forwardTimeout, append([]string{requestForwarded}, words...)...)
	return []byte(text), err
}

// propose commits a command of this member.
func (c *Cluster) propose(command Command) error {
	return c.node.propose(LogEntry{SchemaVersion: schemaVersion, Command: command})
}

// proposeForMember commits a command of another member, in the schema version that it was sent with.
func (c *Cluster) proposeForMember(words []string) error {
	entry, err := DecodeLogEntry([]byte(words[0]))
	if err != nil {
		return err
	}
	switch command := entry.Command.(type) {
	case RegisterMember:
		if err := c.checkMemberIsNotRemoved(command.Member); err != nil {
			return err
		}
		return c.node.propose(entry)
	case RenewLeases, ReleaseLeases:
		return c.node.propose(entry)
	}
	return invalidRequest("a command of kind %d cannot be proposed by another member", entry.Command.kind())
}

func (c *Cluster) moveShard(words []string) error {
	count := c.config.Settings.shardCount()
	shard, err := strconv.Atoi(words[0])
	if err != nil || shard < 0 || shard >= count {
		return invalidRequest("MOVE: %.40q is no part; there are 0 to %d", words[0], count-1)
	}
	target := words[1]
	if err := c.checkMemberIsAlive(target); err != nil {
		return err
	}
	migration := placement.Migration{Shard: shard, To: target, Reason: reasonMovedByOperator}
	return c.propose(SetPlacement{
		Leader:     c.config.Name,
		Migrations: []placement.Migration{migration},
		ByOperator: true,
	})
}

func (c *Cluster) drainMember(words []string) error {
	name, mode := words[0], words[1]
	if err := c.checkMemberIsKnown(name); err != nil {
		return err
	}
	switch mode {
	case leaveOn, leaveOff:
		return c.propose(DrainMember{Member: name, Drain: mode == leaveOn, ByOperator: true})
	case leaveStopping:
		return c.propose(DrainMember{Member: name, Incarnation: c.registeredIncarnation(name), Drain: true})
	}
	return invalidRequest("LEAVE: on or off, not %.40q", mode)
}

func (c *Cluster) removeMember(words []string) error {
	name := words[0]
	if err := c.checkMemberIsKnown(name); err != nil {
		return err
	}
	if name == c.config.Name {
		return invalidRequest("STRIKE: %s leads the group; stop it first", name)
	}
	if err := c.node.removeVoter(name); err != nil {
		return err
	}
	return c.propose(RemoveMember{Member: name})
}

func (c *Cluster) addMember(words []string) error {
	name, address := words[0], words[1]
	if _, _, err := net.SplitHostPort(address); err != nil {
		return invalidRequest("ADD: %v", err)
	}
	if err := c.checkMemberIsNotRemoved(name); err != nil {
		return err
	}
	if known, votes := c.node.voters()[name]; votes && known == address {
		return nil
	}
	return c.node.addVoter(name, address)
}

// registeredIncarnation returns the newest incarnation of a member; 0 if it is not registered.
func (c *Cluster) registeredIncarnation(name string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if member := c.member.state.Member(name); member != nil {
		return member.Incarnation
	}
	return 0
}

// checkMemberIsNotRemoved fails for a member that an operator has removed: it was removed for good, and its process, if
// it only hung, would add itself again.
func (c *Cluster) checkMemberIsNotRemoved(name string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if member := c.member.state.Member(name); member != nil && member.Removed {
		return invalidRequest("%.60s was struck off for good; start it under another name", name)
	}
	return nil
}

// checkMemberIsKnown fails with an UnknownMemberError for a name that is not registered.
func (c *Cluster) checkMemberIsKnown(name string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.member.state
	if state.Member(name) != nil {
		return nil
	}
	unknown := &UnknownMemberError{Name: name}
	for _, member := range state.Members {
		unknown.Known = append(unknown.Known, member.Name)
	}
	return unknown
}

// checkMemberIsAlive fails with an UnknownMemberError or an AbsentMemberError.
func (c *Cluster) checkMemberIsAlive(name string) error {
	if err := c.checkMemberIsKnown(name); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	member := c.member.state.Member(name)
	if !c.member.isAlive(member, c.config.Now(), nil) {
		return &AbsentMemberError{name}
	}
	return nil
}
