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

// TestStopRightAfterStartReturns: An engine that is stopped right after its start, while every core is busy, stops each
// time.
func TestStopRightAfterStartReturns(t *testing.T) {
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
		t.Fatal("an engine has not stopped within 60 s")
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

// TestStartSucceedsWithoutDescriptorGaps: If a process uses its descriptors without gaps, the first descriptor of every
// new socket pair is even, or that of every pair is odd. An engine with several pollers starts nevertheless, and does
// not use up all descriptors in its search for suitable ones.
func TestStartSucceedsWithoutDescriptorGaps(t *testing.T) {
	last := highestDescriptor(t)
	for descriptor := 0; descriptor <= last+1; { // the second engine of each size starts one number later
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
				t.Errorf("%d pollers: highest descriptor %d, before the start %d", pollers, after, before)
			}
			engine.Stop()
			duplicateDescriptor(t)
		}
	}
}

// highestDescriptor returns the highest descriptor of the process.
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

// TestStopClosesConnectionBeingAccepted: A connection that is being accepted while the engine stops is closed by the
// engine. nbio's own Stop closes the connections that it knows at that time. It then waits for the additional one
// forever if the peer keeps it open.
func TestStopClosesConnectionBeingAccepted(t *testing.T) {
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
		runWithTimeout(t, "stop", func() { <-stopped })
		waitForEnd(t, conn)
		if closeCount.Load() != openCount.Load() {
			t.Fatalf("Close was called for %d of %d connections", closeCount.Load(), openCount.Load())
		}
	}
}
