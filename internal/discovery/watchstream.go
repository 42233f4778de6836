package discovery

import (
	"bytes"
	"fmt"
	"time"

	"peppervale/internal/codec/http1"
	"peppervale/internal/codec/platformmsg"
)

const (
	// maxEventSize bounds one line of a watch, in bytes.
	maxEventSize = 2 << 20

	// progressSize is how many bytes of an incomplete line are a sign of life too: a list may be long.
	progressSize = 16 << 10
)

// silenceError is a watch without a sign of life for too long.
type silenceError struct {
	timeout time.Duration
}

// Error names the timeout.
func (e *silenceError) Error() string { return fmt.Sprintf("nothing came for %s", e.timeout) }

// watchStream is one call for a watch and the answer that it leads to. What it receives is guarded by the call's lock.
type watchStream struct {
	watcher *Watcher
	address string
	call    *call

	line       []byte    // incomplete so far
	progress   int       // of the incomplete line, in units of progressSize
	progressAt time.Time // when a line was completed or grew by progressSize; zero before
}

// superseded reports whether the watcher's address changed since the call; one that changed there and back did not.
func (s *watchStream) superseded() bool {
	return s.watcher.currentAddress() != s.address
}

// remaining is how long the watch may go on without a further sign of life.
func (s *watchStream) remaining() (time.Duration, error) {
	s.call.mu.Lock()
	defer s.call.mu.Unlock()
	if s.call.firstByte.IsZero() {
		deadline := s.call.began.Add(watchAnswerTimeout)
		return time.Until(deadline), &noAnswerError{timeout: watchAnswerTimeout}
	}
	deadline := s.lastSign().Add(watchSilenceTimeout)
	return time.Until(deadline), &silenceError{timeout: watchSilenceTimeout}
}

// wasLive reports whether the watch went on for a while, by its signs of life.
func (s *watchStream) wasLive() bool {
	s.call.mu.Lock()
	defer s.call.mu.Unlock()
	return !s.call.firstByte.IsZero() && s.lastSign().Sub(s.call.began) >= minLiveWatch
}

// lastSign is the last sign of life of an answer that has begun; the caller holds the call's lock.
func (s *watchStream) lastSign() time.Time {
	if s.progressAt.IsZero() {
		return s.call.firstByte
	}
	return s.progressAt
}

// receive takes a part of the answer's content and applies the events that it completes. It is called with the call's
// lock held.
func (s *watchStream) receive(message *http1.Message, part []byte) error {
	if message.Status != statusOK {
		return fmt.Errorf("status %d", message.Status)
	}
	for len(part) > 0 {
		text, rest, complete := bytes.Cut(part, []byte("\n"))
		if len(s.line)+len(text) > maxEventSize {
			return fmt.Errorf("an object of over %d bytes", maxEventSize)
		}
		s.line = append(s.line, text...)
		if !complete {
			s.noteProgress()
			return nil
		}
		if err := s.completeLine(); err != nil {
			return err
		}
		part = rest
	}
	return nil
}

// noteProgress counts an incomplete line as a sign of life each time that it has grown enough.
func (s *watchStream) noteProgress() {
	progress := len(s.line) / progressSize
	if progress > s.progress {
		s.progress = progress
		s.progressAt = time.Now()
	}
}

// completeLine applies the event of a complete line; an empty line is a sign of life only.
func (s *watchStream) completeLine() error {
	s.progress = 0
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
	return s.watcher.apply(list)
}
