package discovery

import (
	"bytes"
	"fmt"
	"time"

	"peppervale/internal/codec/http1"
	"peppervale/internal/codec/platformmsg"
)

const (
	// maxEventBytes is the maximum size of one line of a watch, in bytes.
	maxEventBytes = 2 << 20

	// progressStepBytes is the number of received bytes that counts as progress within an incomplete line: a long list
	// may take longer than watchIdleTimeout.
	progressStepBytes = 16 << 10
)

// idleTimeoutError reports a watch that made no progress within its timeout.
type idleTimeoutError struct {
	timeout time.Duration
}

// Error names the timeout.
func (e *idleTimeoutError) Error() string {
	return fmt.Sprintf("no progress of the watch for %s", e.timeout)
}

// watchStream is one call for a watch and its streamed response. The call's mu guards line, progressSteps and
// progressAt.
type watchStream struct {
	watcher *Watcher
	address string
	call    *call

	line          []byte    // received bytes of the incomplete line
	progressSteps int       // size of the incomplete line in units of progressStepBytes
	progressAt    time.Time // when a line last was completed or grew by progressStepBytes; zero before that
}

// superseded reports whether the watcher's address differs from the address of the call. An address that changed and
// changed back does not differ.
func (s *watchStream) superseded() bool {
	return s.watcher.currentAddress() != s.address
}

// remaining returns how long the call may still wait for a response or, after its first byte, for progress.
func (s *watchStream) remaining() (time.Duration, error) {
	s.call.mu.Lock()
	defer s.call.mu.Unlock()
	if s.call.firstByteAt.IsZero() {
		deadline := s.call.startedAt.Add(watchResponseTimeout)
		return time.Until(deadline), &noResponseError{timeout: watchResponseTimeout}
	}
	deadline := s.lastProgressAt().Add(watchIdleTimeout)
	return time.Until(deadline), &idleTimeoutError{timeout: watchIdleTimeout}
}

// wasLive reports whether at least minLiveDuration passed between the call and the last progress of its watch.
func (s *watchStream) wasLive() bool {
	s.call.mu.Lock()
	defer s.call.mu.Unlock()
	return !s.call.firstByteAt.IsZero() && s.lastProgressAt().Sub(s.call.startedAt) >= minLiveDuration
}

// lastProgressAt returns the time of the last progress of a response that has begun; the caller holds the call's mu.
func (s *watchStream) lastProgressAt() time.Time {
	if s.progressAt.IsZero() {
		return s.call.firstByteAt
	}
	return s.progressAt
}

// receiveBody processes a part of the response body and applies the events that it completes. The caller holds the
// call's mu.
func (s *watchStream) receiveBody(message *http1.Message, part []byte) error {
	if message.Status != statusOK {
		return fmt.Errorf("watch response has status %d", message.Status)
	}
	for len(part) > 0 {
		text, rest, complete := bytes.Cut(part, []byte("\n"))
		if len(s.line)+len(text) > maxEventBytes {
			return fmt.Errorf("watch event exceeds %d bytes", maxEventBytes)
		}
		s.line = append(s.line, text...)
		if !complete {
			s.recordProgress()
			return nil
		}
		if err := s.applyLine(); err != nil {
			return err
		}
		part = rest
	}
	return nil
}

// recordProgress records progress each time that an incomplete line has grown by another progressStepBytes.
func (s *watchStream) recordProgress() {
	steps := len(s.line) / progressStepBytes
	if steps > s.progressSteps {
		s.progressSteps = steps
		s.progressAt = time.Now()
	}
}

// applyLine applies the event of a complete line; an empty line only counts as progress.
func (s *watchStream) applyLine() error {
	s.progressSteps = 0
	s.progressAt = time.Now()
	event := bytes.TrimSpace(s.line)
	s.line = s.line[:0]
	if len(event) == 0 {
		return nil
	}
	list, err := platformmsg.ParseEndpointList(event)
	if err != nil {
		return err
	}
	return s.watcher.applyEvent(list)
}
