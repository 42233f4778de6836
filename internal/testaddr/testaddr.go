// Package testaddr hands out loopback addresses for servers under test.
//
// A test that listens on 127.0.0.1:0, closes the socket and passes the address on may lose it: the kernel can give the
// same port to any other process before the server under test listens there. An address of this package stays free:
//
//   - Each test process claims an IP address in 127.64.0.0/10 for its lifetime, derived from its process id. It holds a
//     socket on that IP address, so that two processes never share one, even with equal ids in two PID namespaces.
//   - The ports lie below the range from which the kernel picks ports for sockets that ask for none, so that a socket
//     bound to all addresses does not get one by chance.
//   - No port is handed out twice in one process, and one that a socket holds on all addresses is passed over.
//
// The package is for tests only.
package testaddr

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
)

const (
	claimPort = 9999 // held by a process on the IP address that it claimed
	firstPort = 10000
	lastPort  = 29999

	firstSecondOctet = 64
	hostCount        = 64 << 16 // IP addresses from 127.64.0.0 to 127.127.255.255
	claimAttempts    = 1000
)

// errPortsExhausted is returned when a process has been handed every port.
var errPortsExhausted = errors.New("testaddr: every port has been handed out")

// processAllocator claims the IP address of this process at the first use.
var processAllocator = sync.OnceValues(func() (*allocator, error) { return newAllocator(os.Getpid()) })

// Address returns a loopback address, host:port, that nothing listens on, neither over TCP nor over UDP, and that no
// other process takes. Each call returns another address. It ends the test if there is none.
func Address(tb testing.TB) string {
	tb.Helper()
	alloc, err := processAllocator()
	if err != nil {
		tb.Fatal(err)
	}
	address, err := alloc.next()
	if err != nil {
		tb.Fatal(err)
	}
	return address
}

// allocator hands out the ports of one claimed IP address.
type allocator struct {
	host  string
	claim net.Listener // holds the IP address; open until the process ends

	mu       sync.Mutex
	nextPort int
}

// newAllocator claims the IP address that belongs to a process id, or the first one after it that is not claimed.
func newAllocator(pid int) (*allocator, error) {
	for attempt := range claimAttempts {
		host := hostAddress(pid + attempt)
		claim, err := net.Listen("tcp4", net.JoinHostPort(host, strconv.Itoa(claimPort)))
		if err == nil {
			return &allocator{host: host, claim: claim, nextPort: firstPort}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, fmt.Errorf("testaddr: claiming %s: %w", host, err)
		}
	}
	return nil, fmt.Errorf("testaddr: %d IP addresses from %s on are claimed", claimAttempts, hostAddress(pid))
}

// hostAddress returns the number-th IP address of 127.64.0.0/10, starting over after the last one.
func hostAddress(number int) string {
	number %= hostCount
	return net.IPv4(127, byte(firstSecondOctet+number>>16), byte(number>>8), byte(number)).String()
}

// next returns the address with the next port that can be listened on.
func (a *allocator) next() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.nextPort <= lastPort {
		address := net.JoinHostPort(a.host, strconv.Itoa(a.nextPort))
		a.nextPort++
		if isFree(address) {
			return address, nil
		}
	}
	return "", errPortsExhausted
}

// isFree reports whether an address can be listened on over TCP and UDP.
func isFree(address string) bool {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	packets, err := net.ListenPacket("udp4", address)
	if err != nil {
		_ = listener.Close() // only probed
		return false
	}
	return errors.Join(listener.Close(), packets.Close()) == nil
}
