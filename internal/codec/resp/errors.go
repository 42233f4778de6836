package resp

import "fmt"

// ProtocolError reports a stream that is not RESP or exceeds a limit. The reason is sent to the peer before its
// connection is closed.
type ProtocolError struct {
	// Offset is the number of bytes of the stream that precede the error.
	Offset int64
	Reason string
}

// Error returns the offset and the reason.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("protocol error at byte %d: %s", e.Offset, e.Reason)
}
