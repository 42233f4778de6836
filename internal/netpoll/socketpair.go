package netpoll

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
)

// maxPairAttempts bounds the attempts at a descriptor's number while other goroutines take some too; an attempt fails
// only if one is taken in the same moment.
const maxPairAttempts = 1000

// newPollerConn makes a connection of the given poller, whose far end is a plain descriptor. A poller has the
// connections whose descriptor, modulo the number of pollers, is its own number, so the lowest free descriptors are
// filled up to one that is. Left to chance, pairs fall on every second descriptor, and met every second poller only
// until the process had no descriptor left.
func newPollerConn(poller, pollers int) (conn *nbio.Conn, farDescriptor int, err error) {
	for range maxPairAttempts {
		conn, farDescriptor, err = attemptPollerConn(poller, pollers)
		if err != nil || conn.Hash()%pollers == poller {
			return conn, farDescriptor, err
		}
		_ = conn.Close()
		_ = syscall.Close(farDescriptor)
	}
	return nil, 0, fmt.Errorf("netpoll: no connection for poller %d of %d in %d attempts",
		poller, pollers, maxPairAttempts)
}

// attemptPollerConn makes a connection that is the given poller's unless the number is taken meanwhile.
func attemptPollerConn(poller, pollers int) (conn *nbio.Conn, farDescriptor int, err error) {
	near, farDescriptor, err := socketPair()
	if err != nil {
		return nil, 0, err
	}
	release, err := fillDescriptors(farDescriptor, poller, pollers)
	if err == nil {
		conn, err = adopt(near)
	}
	release()
	if err != nil {
		_ = near.Close()
		_ = syscall.Close(farDescriptor)
		return nil, 0, err
	}
	return conn, farDescriptor, nil
}

// socketPair makes a connection and the descriptor of its far end.
func socketPair() (near net.Conn, farDescriptor int, err error) {
	ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, 0, err
	}
	file := os.NewFile(uintptr(ends[0]), "poller loop")
	near, err = net.FileConn(file)
	_ = file.Close() // near has a duplicate
	if err != nil {
		_ = syscall.Close(ends[1])
		return nil, 0, err
	}
	return near, ends[1], nil
}

// fillDescriptors takes the lowest free descriptors until the next one is the poller's. release frees those that were
// taken; it is valid with an error too.
func fillDescriptors(duplicated, poller, pollers int) (release func(), err error) {
	var taken []int
	release = func() {
		for _, descriptor := range taken {
			_ = syscall.Close(descriptor)
		}
	}
	for {
		number, _, errno := syscall.Syscall(syscall.SYS_FCNTL, uintptr(duplicated), syscall.F_DUPFD_CLOEXEC, 0)
		if errno != 0 {
			return release, errno
		}
		descriptor := int(number)
		if descriptor%pollers == poller {
			_ = syscall.Close(descriptor)
			return release, nil
		}
		taken = append(taken, descriptor)
	}
}
