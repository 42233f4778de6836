package netpoll

import (
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

// The protocol of systemd's socket activation: LISTEN_FDS descriptors from 3 on are meant for the process LISTEN_PID.
const (
	inheritedCountVariable   = "LISTEN_FDS"
	inheritedProcessVariable = "LISTEN_PID"
	firstInheritedDescriptor = 3
	maxInheritedDescriptors  = 64
)

// inheritedSockets are the listening sockets that the process was handed, by address. The process that starts
// controllers holds the listening socket while they come and go, so that a dial that falls between two of them waits
// in the kernel and is not refused. Both variables are removed from the environment: they are not meant for a child.
var inheritedSockets = sync.OnceValue(func() map[string]*os.File {
	sockets := map[string]*os.File{}
	count := inheritedCount()
	for descriptor := firstInheritedDescriptor; descriptor < firstInheritedDescriptor+count; descriptor++ {
		syscall.CloseOnExec(descriptor)
		file := os.NewFile(uintptr(descriptor), "inherited")
		listener, err := net.FileListener(file)
		if err != nil { // not a listening stream socket: not for this package
			continue
		}
		sockets[listener.Addr().String()] = file
		_ = listener.Close()
	}
	return sockets
})

// inheritedCount is how many descriptors the process was handed; 0 if the variables make no sense.
func inheritedCount() int {
	count, countErr := strconv.Atoi(os.Getenv(inheritedCountVariable))
	process, processErr := strconv.Atoi(os.Getenv(inheritedProcessVariable))
	_ = os.Unsetenv(inheritedCountVariable)
	_ = os.Unsetenv(inheritedProcessVariable)
	isForThisProcess := countErr == nil && processErr == nil && process == os.Getpid()
	if !isForThisProcess || count < 1 || count > maxInheritedDescriptors {
		return 0
	}
	return count
}

// listen listens on an address: on the socket that was inherited for it, or on a new one.
func listen(network, address string) (net.Listener, error) {
	if file := inheritedSockets()[address]; file != nil {
		return net.FileListener(file)
	}
	return net.Listen(network, address)
}
