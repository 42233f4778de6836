package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const testEventSize = 56

// instanceStartedFrame returns a frame with two events: one selects instance 3 as the target, the other starts it with
// settings.
func instanceStartedFrame(settings string) []byte {
	var frame []byte
	frame = binary.LittleEndian.AppendUint32(frame, 2)
	frame = binary.LittleEndian.AppendUint32(frame, uint32(12+2*testEventSize+len(settings)))
	frame = binary.LittleEndian.AppendUint64(frame, math.Float64bits(1))
	frame = binary.LittleEndian.AppendUint32(frame, 1)
	target := make([]byte, testEventSize)
	target[0], target[1] = 2, 3
	instanceStarted := make([]byte, testEventSize)
	instanceStarted[0] = 3
	binary.LittleEndian.PutUint32(instanceStarted[13:], uint32(len(settings)))
	frame = append(frame, target...)
	frame = append(frame, instanceStarted...)
	return append(frame, settings...)
}

func TestRunReportsOnlyMalformedFramesAsErrors(t *testing.T) {
	t.Run("end of input between frames returns no error", func(t *testing.T) {
		if err := run(bytes.NewReader(nil), &bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("a truncated frame returns an error", func(t *testing.T) {
		if err := run(bytes.NewReader(instanceStartedFrame("{}")[:40]), &bytes.Buffer{}); err == nil {
			t.Fatal("run returned no error for a truncated frame")
		}
	})
	t.Run("invalid settings are reported in an Exception", func(t *testing.T) {
		var output bytes.Buffer
		err := run(bytes.NewReader(instanceStartedFrame("{")), &output)
		if err != nil || !strings.Contains(output.String(), "start settings") {
			t.Fatalf("got error %v and output %q, want an Exception with \"start settings\"", err, output.String())
		}
	})
}

func TestPanicIsReportedInException(t *testing.T) {
	inst := newInstance(1)
	inst.callRecovering(func() { panic("index out of range") })
	if !strings.Contains(string(inst.reply.Frame(1)), "panic: index out of range") {
		t.Fatal("the panic is not reported in an Exception")
	}
}
