// Package testaddr hands out loopback addresses for servers under test.
//
// A test that listens on 127.0.0.1:0, closes the socket and passes the address to a server under test may lose the
// address: the kernel can assign the same port to another process before the server listens on it. An address of this
// package stays free:
//
//   - Each test process claims an IP address in 127.64.0.0/10 for its lifetime, derived from its process ID. It keeps a
//     socket open on that IP address, so that two processes never share one, even with equal IDs in two PID
//     namespaces.
//   - The ports are below the kernel's ephemeral port range, so that a socket bound to all addresses and any port does
//     not get one of them.
//   - No port is handed out twice in one process. Ports that another socket uses on all addresses are skipped.
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
	claimPort = 9999 // a process listens on it to claim an IP address
	firstPort = 10000
	lastPort  = 29999

	minSecondOctet   = 64
	hostAddressCount = 64 << 16 // number of IP addresses from 127.64.0.0 to 127.127.255.255
	claimAttempts    = 1000     // number of IP addresses that are tried
)

// errPortsExhausted is returned when all ports from firstPort to lastPort have been tried.
var errPortsExhausted = errors.New("testaddr: all ports of the claimed IP address have been handed out")

// processAllocator claims an IP address for this process at its first use.
var processAllocator = sync.OnceValues(func() (*allocator, error) { return newAllocator(os.Getpid()) })

// Address returns a loopback address, host:port, that no other process takes and on which no socket listens over TCP
// or UDP. Each call returns a different address. It fails the test if no address is available.
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

// allocator allocates ports on one claimed IP address.
type allocator struct {
	host  string
	claim net.Listener // claims the IP address; open until the process ends

	mu       sync.Mutex
	nextPort int
}

// newAllocator claims the IP address derived from a process ID or, if it is claimed already, the next unclaimed one.
func newAllocator(pid int) (*allocator, error) {
	for attempt := range claimAttempts {
		host := hostAddress(pid + attempt)
		claim, err := net.Listen("tcp4", net.JoinHostPort(host, strconv.Itoa(claimPort)))
		if err == nil {
			return &allocator{host: host, claim: claim, nextPort: firstPort}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, fmt.Errorf("testaddr: claim IP address %s: %w", host, err)
		}
	}
	return nil, fmt.Errorf("testaddr: all %d IP addresses from %s on are already claimed", claimAttempts, hostAddress(pid))
}

// hostAddress returns the IP address with an index in 127.64.0.0/10. Indexes wrap around after the last address.
func hostAddress(index int) string {
	index %= hostAddressCount
	return net.IPv4(127, byte(minSecondOctet+index>>16), byte(index>>8), byte(index)).String()
}

// next returns the address with the next free port.
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

// isFree reports whether a socket can listen on an address over TCP and another over UDP.
func isFree(address string) bool {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	packets, err := net.ListenPacket("udp4", address)
	if err != nil {
		_ = listener.Close() // opened to probe the port only
		return false
	}
	return errors.Join(listener.Close(), packets.Close()) == nil
}
