package testaddr

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
)

// childVariable is an environment variable. If it is set, the test program prints its IP address and waits for the end
// of its standard input instead of running tests.
const childVariable = "PEPPERVALE_TESTADDR_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(runChild())
	}
	os.Exit(m.Run())
}

// runChild prints the IP address that the process has claimed and keeps it claimed until standard input ends.
func runChild() int {
	alloc, err := processAllocator()
	if err != nil {
		return 1
	}
	if _, err := os.Stdout.WriteString(alloc.host); err != nil {
		return 1
	}
	if err := os.Stdout.Close(); err != nil {
		return 1
	}
	if _, err := os.Stdin.Read(make([]byte, 1)); err == nil {
		return 1
	}
	return 0
}

func TestAddressIsFreeAndUnique(t *testing.T) {
	loopback := netip.MustParsePrefix("127.64.0.0/10")
	seen := map[string]bool{}
	for range 50 {
		address := Address(t)
		if seen[address] {
			t.Fatalf("%s was handed out twice", address)
		}
		seen[address] = true
		parsed, err := netip.ParseAddrPort(address)
		if err != nil || !loopback.Contains(parsed.Addr()) || parsed.Port() < firstPort || parsed.Port() > lastPort {
			t.Errorf("%s: %v; want an address in %s with a port from %d to %d", address, err, loopback, firstPort, lastPort)
		}
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, listener)
		packets, err := net.ListenPacket("udp4", address)
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, packets)
	}
}

func TestProcessesDoNotShareAnAddress(t *testing.T) {
	hosts := map[string]bool{}
	own, err := processAllocator()
	if err != nil {
		t.Fatal(err)
	}
	hosts[own.host] = true
	for range 3 {
		host := startChild(t)
		if hosts[host] {
			t.Errorf("two processes claimed %s", host)
		}
		hosts[host] = true
	}
}

// startChild starts a process that keeps an IP address claimed until the test ends, and returns the IP address.
func startChild(t *testing.T) string {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childVariable+"=1")
	stdin, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := stdin.Close(); err != nil {
			t.Error(err)
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("child process failed: %v", err)
		}
	})
	var host strings.Builder
	buffer := make([]byte, 64)
	for {
		n, err := stdout.Read(buffer)
		host.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	if !netip.MustParsePrefix("127.64.0.0/10").Contains(netip.MustParseAddr(host.String())) {
		t.Errorf("child process claimed %q, want an address in 127.64.0.0/10", host.String())
	}
	return host.String()
}

// closeAtEnd closes a socket when the test ends.
func closeAtEnd(t *testing.T, socket io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := socket.Close(); err != nil {
			t.Error(err)
		}
	})
}

// Two processes can have the same ID in two PID namespaces. They get different IP addresses nevertheless.
func TestEqualProcessIDsClaimDifferentAddresses(t *testing.T) {
	const pid = 4242
	first, err := newAllocator(pid)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, first.claim)
	second, err := newAllocator(pid)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, second.claim)
	if first.host == second.host {
		t.Errorf("both allocators claimed %s", first.host)
	}
}

func TestHostAddressWrapsAroundAfterLastAddress(t *testing.T) {
	tests := []struct {
		index int
		want  string
	}{
		{0, "127.64.0.0"},
		{1, "127.64.0.1"},
		{1 << 16, "127.65.0.0"},
		{hostAddressCount - 1, "127.127.255.255"},
		{hostAddressCount, "127.64.0.0"},
	}
	for _, tt := range tests {
		t.Run(strconv.Itoa(tt.index), func(t *testing.T) {
			if got := hostAddress(tt.index); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// A port that another socket uses over TCP or UDP is skipped.
func TestNextSkipsPortsInUse(t *testing.T) {
	alloc, err := newAllocator(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, alloc.claim)
	tcpPort := strconv.Itoa(firstPort)
	tcp, err := net.Listen("tcp4", net.JoinHostPort(alloc.host, tcpPort))
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, tcp)
	udpPort := strconv.Itoa(firstPort + 1)
	udp, err := net.ListenPacket("udp4", net.JoinHostPort(alloc.host, udpPort))
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, udp)
	address, err := alloc.next()
	if err != nil {
		t.Fatal(err)
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil || port == tcpPort || port == udpPort {
		t.Errorf("got %s, error %v; want an address with a free port", address, err)
	}
}

func TestNextFailsWhenAllPortsAreUsed(t *testing.T) {
	alloc := &allocator{host: "127.0.0.1", nextPort: lastPort + 1}
	if address, err := alloc.next(); !errors.Is(err, errPortsExhausted) {
		t.Errorf("got %s, %v; want %v", address, err, errPortsExhausted)
	}
}
