package netpoll

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
)

// maxPairAttempts bounds the attempts to get a suitable descriptor number. An attempt fails only if another goroutine
// takes a descriptor at the same time.
const maxPairAttempts = 1000

// newPollerConn creates a connection that belongs to the given poller; its far end is a plain descriptor. nbio assigns
// a connection to the poller whose number equals the descriptor modulo the number of pollers, so the lowest free
// descriptors are occupied until the next one matches. Repeated attempts alone would fail: each pair takes two
// descriptors, so every attempt could hit only every second poller until the process has no free descriptor.
func newPollerConn(poller, pollers int) (conn *nbio.Conn, farDescriptor int, err error) {
	for range maxPairAttempts {
		conn, farDescriptor, err = attemptPollerConn(poller, pollers)
		if err != nil || conn.Hash()%pollers == poller {
			return conn, farDescriptor, err
		}
		_ = conn.Close()
		_ = syscall.Close(farDescriptor)
	}
	return nil, 0, fmt.Errorf("netpoll: no descriptor for poller %d of %d after %d attempts",
		poller, pollers, maxPairAttempts)
}

// attemptPollerConn creates a connection that belongs to the given poller, unless another goroutine takes the
// descriptor number first.
func attemptPollerConn(poller, pollers int) (conn *nbio.Conn, farDescriptor int, err error) {
	nearConn, farDescriptor, err := socketPair()
	if err != nil {
		return nil, 0, err
	}
	release, err := occupyDescriptors(farDescriptor, poller, pollers)
	if err == nil {
		conn, err = newNBConn(nearConn)
	}
	release()
	if err != nil {
		_ = nearConn.Close()
		_ = syscall.Close(farDescriptor)
		return nil, 0, err
	}
	return conn, farDescriptor, nil
}

// socketPair returns a connection and the descriptor of its far end.
func socketPair() (nearConn net.Conn, farDescriptor int, err error) {
	ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, 0, err
	}
	file := os.NewFile(uintptr(ends[0]), "poller loop")
	nearConn, err = net.FileConn(file)
	_ = file.Close() // near has a duplicate
	if err != nil {
		_ = syscall.Close(ends[1])
		return nil, 0, err
	}
	return nearConn, ends[1], nil
}

// occupyDescriptors occupies the lowest free descriptors until the next one belongs to the poller. release closes the
// occupied descriptors; it is valid even if an error is returned.
func occupyDescriptors(duplicated, poller, pollers int) (release func(), err error) {
	var occupied []int
	release = func() {
		for _, descriptor := range occupied {
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
		occupied = append(occupied, descriptor)
	}
}
