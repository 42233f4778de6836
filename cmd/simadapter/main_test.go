package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

// hello is one batch: target 3, then a Hello with these settings.
func hello(settings string) []byte {
	var b []byte
	b = binary.LittleEndian.AppendUint32(b, 2)
	b = binary.LittleEndian.AppendUint32(b, uint32(12+2*56+len(settings)))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(1))
	b = binary.LittleEndian.AppendUint32(b, 1)
	target, greet := make([]byte, 56), make([]byte, 56)
	target[0], target[1], greet[0] = 2, 3, 3
	binary.LittleEndian.PutUint32(greet[13:], uint32(len(settings)))
	return append(append(append(b, target...), greet...), settings...)
}

func TestRun(t *testing.T) {
	t.Run("end of input between frames is no error", func(t *testing.T) {
		if err := run(bytes.NewReader(nil), &bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("a frame cut short is", func(t *testing.T) {
		if err := run(bytes.NewReader(hello("{}")[:40]), &bytes.Buffer{}); err == nil {
			t.Fatal("taken")
		}
	})
	t.Run("settings that do not parse are told in an Exception", func(t *testing.T) {
		var out bytes.Buffer
		if err := run(bytes.NewReader(hello("{")), &out); err != nil || !strings.Contains(out.String(), "start settings") {
			t.Fatalf("%v, %q", err, out.String())
		}
	})
}

func TestGuard(t *testing.T) {
	inst := newInstance(1)
	_ = inst.guard(func() error { panic("index out of range") })
	if !strings.Contains(string(inst.reply.Frame(1)), "panic: index out of range") {
		t.Fatal("a panic of the module is not told in an Exception")
	}
}
