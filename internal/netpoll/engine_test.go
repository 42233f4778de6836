package netpoll

import (
	"os"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// TestStopRightAfterStart: An engine that is stopped in the moment it was started, over and over, while every core has
// other work, ends each time.
func TestStopRightAfterStart(t *testing.T) {
	var stopSpinning atomic.Bool
	for range runtime.GOMAXPROCS(0) {
		go func() {
			for !stopSpinning.Load() { // keeps a core busy
			}
		}()
	}
	defer stopSpinning.Store(true)
	done := make(chan error, 1)
	go func() { done <- startAndStop(30) }()
	select {
	case err := <-done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(60 * time.Second):
		t.Fatal("an engine does not stop")
	}
}

// startAndStop starts and stops engines of one to three pollers.
func startAndStop(times int) error {
	for n := range times {
		engine, err := Start(1+n%3, Handlers{}, "127.0.0.1:0")
		if err != nil {
			return err
		}
		engine.Stop()
	}
	return nil
}

// TestStartWithoutDescriptorGaps: A process whose descriptors are taken without a gap gives each socket pair an even
// number first, or each an odd one: an engine of several pollers starts all the same. It once took every descriptor
// that there was, and failed.
func TestStartWithoutDescriptorGaps(t *testing.T) {
	last := highestDescriptor(t)
	for descriptor := 0; descriptor <= last+1; { // the second round starts one number later
		descriptor = duplicateDescriptor(t)
	}
	for pollers := 1; pollers <= 5; pollers++ {
		for range 2 {
			before := highestDescriptor(t)
			engine, err := Start(pollers, Handlers{})
			if err != nil {
				t.Fatalf("%d pollers: %v", pollers, err)
			}
			if after := highestDescriptor(t); after > before+100 {
				t.Errorf("%d pollers: descriptors up to %d, %d before", pollers, after, before)
			}
			engine.Stop()
			duplicateDescriptor(t)
		}
	}
}

// highestDescriptor is the highest descriptor of the process.
func highestDescriptor(t *testing.T) (highest int) {
	t.Helper()
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range open {
		if descriptor, err := strconv.Atoi(entry.Name()); err == nil && descriptor > highest {
			highest = descriptor
		}
	}
	return highest
}

// TestStopWhileConnectionIsAccepted: A connection that is being accepted while the engine stops is closed by it. nbio's
// own Stop walks the connections that it knows of, and then waits for one more, whose peer keeps it open for good.
func TestStopWhileConnectionIsAccepted(t *testing.T) {
	for range 5 {
		opened := make(chan struct{})
		release := make(chan struct{})
		var openCount, closeCount atomic.Int64
		engine, err := Start(1, Handlers{
			Open: func(*nbio.Conn) {
				if openCount.Add(1) == 1 {
					close(opened)
				}
				<-release
			},
			Close: func(*nbio.Conn, error) { closeCount.Add(1) },
		}, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conn := connect(t, engine.Addrs[0])
		<-opened
		stopped := make(chan struct{})
		go func() {
			engine.Stop()
			close(stopped)
		}()
		waitForRefusal(t, engine.Addrs[0])
		close(release)
		runWithin(t, "stop", func() { <-stopped })
		waitForEnd(t, conn)
		if closeCount.Load() != openCount.Load() {
			t.Fatalf("%d ends reported of %d connections", closeCount.Load(), openCount.Load())
		}
	}
}
