package netpoll

import (
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

// The protocol of systemd's socket activation: LISTEN_FDS descriptors, starting at 3, are passed to process LISTEN_PID.
const (
	inheritedCountVariable   = "LISTEN_FDS"
	inheritedProcessVariable = "LISTEN_PID"
	firstInheritedDescriptor = 3
	maxInheritedDescriptors  = 64
)

// inheritedSockets returns the listening sockets that were passed to the process, by address. The process that starts
// controllers keeps the listening socket open across their restarts, so that a dial during a restart waits in the
// kernel and is not refused. Both variables are removed from the environment: they must not reach a child process.
var inheritedSockets = sync.OnceValue(func() map[string]*os.File {
	sockets := map[string]*os.File{}
	count := inheritedCount()
	for descriptor := firstInheritedDescriptor; descriptor < firstInheritedDescriptor+count; descriptor++ {
		syscall.CloseOnExec(descriptor)
		file := os.NewFile(uintptr(descriptor), "inherited")
		listener, err := net.FileListener(file)
		if err != nil { // not a listening stream socket
			continue
		}
		sockets[listener.Addr().String()] = file
		_ = listener.Close()
	}
	return sockets
})

// inheritedCount returns how many descriptors were passed to the process; 0 if the variables are invalid.
func inheritedCount() int {
	count, countErr := strconv.Atoi(os.Getenv(inheritedCountVariable))
	processID, processErr := strconv.Atoi(os.Getenv(inheritedProcessVariable))
	_ = os.Unsetenv(inheritedCountVariable)
	_ = os.Unsetenv(inheritedProcessVariable)
	isForThisProcess := countErr == nil && processErr == nil && processID == os.Getpid()
	if !isForThisProcess || count < 1 || count > maxInheritedDescriptors {
		return 0
	}
	return count
}

// listen listens on an address, using the inherited socket for it if there is one.
func listen(network, address string) (net.Listener, error) {
	if file := inheritedSockets()[address]; file != nil {
		return net.FileListener(file)
	}
	return net.Listen(network, address)
}
