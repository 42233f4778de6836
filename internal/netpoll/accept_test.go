package netpoll

import (
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// TestAcceptResumesOnceDescriptorIsFree: An engine without a free descriptor waits without a busy loop, and accepts the
// pending connections once a descriptor is free.
func TestAcceptResumesOnceDescriptorIsFree(t *testing.T) {
	opened := make(chan struct{}, 10)
	engine := startEngine(t, Handlers{Open: func(*nbio.Conn) { opened <- struct{}{} }}, "127.0.0.1:0")
	sockets := []int{unconnectedSocket(t), unconnectedSocket(t)}
	number := port(t, engine.Addrs[0])
	release := exhaustDescriptors(t, sockets[0])
	before := processorTime()
	var connectErrs []error
	for _, socket := range sockets {
		connectErrs = append(connectErrs, connectSocket(socket, number))
	}
	time.Sleep(300 * time.Millisecond) // the processor time of waiting is measured
	used := processorTime() - before
	release()
	if connectErrs[0] != nil || connectErrs[1] != nil {
		t.Fatal(connectErrs)
	}
	runWithTimeout(t, "both connections", func() {
		<-opened
		<-opened
	})
	if used > 150*time.Millisecond {
		t.Errorf("waiting for a descriptor took %s of processor time in 300 ms", used)
	}
}

// exhaustDescriptors occupies every descriptor below a bound and lowers the process limit to it, until release is
// called.
func exhaustDescriptors(t *testing.T, bound int) (release func()) {
	t.Helper()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	lowered := limit
	lowered.Cur = uint64(bound)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered); err != nil {
		t.Fatal(err)
	}
	var occupied []int
	for {
		descriptor, err := syscall.Dup(0)
		if err != nil {
			break
		}
		occupied = append(occupied, descriptor)
	}
	return func() {
		t.Helper()
		for _, descriptor := range occupied {
			_ = syscall.Close(descriptor)
		}
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Fatal(err)
		}
	}
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
