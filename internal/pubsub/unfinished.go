package pubsub

import (
	"fmt"
	"time"
)

// overMemoryRetryDelay is the retry delay of a peer whose unfinished command exceeds its share of
// Limits.TotalHeldBytes.
const overMemoryRetryDelay = time.Second

// limitUnfinished enforces the limits on a command that has not arrived completely: on the memory that it holds, for
// one peer and for all, and on the time until it is complete.
func (s *Server) limitUnfinished(conn *connection) {
	held := conn.reader.HeldBytes()
	if held == 0 && conn.HeldBytes() == 0 && conn.deadlineCommand == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections.SetHeldBytes(conn, held)
	conn.setCommandDeadline(held > 0, s.config.Limits.CommandTimeout)
	switch limits := s.config.Limits; {
	case held > int64(limits.HeldBytes):
		s.stats.OverMemory++
		s.endWithError(conn, fmt.Sprintf("ERR a command that holds over %d bytes", limits.HeldBytes))
	case limits.heldBudget().MustMerge(held, s.connections.HeldBytes(), s.connections.Count()):
		s.stats.OverMemory++
		s.endWithError(conn, fmt.Sprintf(
			errorLater+" %d milliseconds: unfinished commands hold over %d bytes in all; keep what you hold",
			overMemoryRetryDelay.Milliseconds(), limits.TotalHeldBytes))
	}
}

// setCommandDeadline sets the deadline of an unfinished command once, and removes it when no command is unfinished. A
// peer that has neither joined nor subscribed keeps the deadline by which it has to.
func (c *connection) setCommandDeadline(isUnfinished bool, timeout time.Duration) {
	number := c.commandCount + 1
	hasGreeted := c.stream.id != 0 || c.isObserver
	switch {
	case !hasGreeted:
	case isUnfinished && c.deadlineCommand != number:
		c.deadlineCommand = number
		_ = c.Socket().SetReadDeadline(time.Now().Add(timeout))
	case !isUnfinished && c.deadlineCommand != 0:
		c.deadlineCommand = 0
		c.clearReadDeadline()
	}
}
