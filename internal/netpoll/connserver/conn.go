package connserver

import (
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// Conn is the part of a connection's state that every protocol server needs. It belongs to the Server that registered
// it and must not be copied.
type Conn struct {
	socket      *nbio.Conn
	ended       atomic.Bool
	unsentBytes atomic.Int64 // written, not yet accepted by the socket
	heldBytes   atomic.Int64 // memory of a message that has not arrived completely
}

func (c *Conn) base() *Conn { return c }

// Socket returns the connection's socket; nil before it is registered.
func (c *Conn) Socket() *nbio.Conn { return c.socket }

// Ended reports whether the connection was marked as ended or unregistered. Nothing more is read from it then.
func (c *Conn) Ended() bool { return c.ended.Load() }

// MarkEnded marks the connection as ended without closing it. It reports whether the connection had not ended before.
func (c *Conn) MarkEnded() bool { return !c.ended.Swap(true) }

// HeldBytes returns the memory of a message that has not arrived completely, as set by Server.SetHeldBytes.
func (c *Conn) HeldBytes() int64 { return c.heldBytes.Load() }

// UnsentBytes returns the number of bytes that were written to the connection and not yet accepted by the socket.
func (c *Conn) UnsentBytes() int64 { return c.unsentBytes.Load() }
