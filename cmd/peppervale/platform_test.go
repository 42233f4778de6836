package main

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"peppervale/internal/testaddr"
)

// SIGTERM ends an instance with status 0 before the platform kills it, in whatever state it comes.
func TestSigterm(t *testing.T) {
	t.Run("while the file is read", testSigtermWhileReading)
	t.Run("while the address is taken", testSigtermWhileAddressIsTaken)
	t.Run("while discovery does not answer", testSigtermWhileDiscoveryIsSilent)
	t.Run("with a stream that reads nothing", testSigtermWithUnreadStream)
	t.Run("with SIGHUP, and twice", testSigtermWithOtherSignals)
	t.Run("again and again, to the end of the process", testSigtermUntilEnd)
	t.Run("in a reload", testSigtermInReload)
}

func testSigtermWhileReading(t *testing.T) {
	pipe := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	process := startOnFile(t, testaddr.Address(t), pipe)
	openForWriting(t, pipe)
	process.terminate()
}

func testSigtermWhileAddressIsTaken(t *testing.T) {
	holder := listenUntilEnd(t)
	process := startPlatform(t, holder.Addr().String(), testaddr.Address(t))
	process.waitUntilListening()
	process.terminate()
}

func testSigtermWhileDiscoveryIsSilent(t *testing.T) {
	discovery := listenUntilEnd(t)
	process := startPlatform(t, testaddr.Address(t), discovery.Addr().String())
	if _, err := discovery.Accept(); err != nil {
		t.Fatal(err)
	}
	process.waitUntilReady()
	process.terminate()
}

func testSigtermWithUnreadStream(t *testing.T) {
	process := startAnywhere(t)
	process.waitUntilReady()
	conn, err := net.Dial("tcp", process.address)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, conn)
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("%T is no TCP connection", conn)
	}
	if err := tcp.SetReadBuffer(1 << 10); err != nil {
		t.Error(err)
	}
	const joined = "*9\r\n$6\r\njoined\r\n$2\r\nid\r\n$1\r\n1\r\n$4\r\nsite\r\n$5\r\ngovan\r\n" +
		"$3\r\nrps\r\n$1\r\n1\r\n$3\r\nnew\r\n$1\r\n1\r\n"
	pings := strings.Repeat("*1\r\n$4\r\nping\r\n", 20_000)
	_, _ = conn.Write([]byte(joined + pings)) // the instance may end the stream meanwhile
	process.terminate()
}

func testSigtermWithOtherSignals(t *testing.T) {
	for range 5 {
		process := startAnywhere(t)
		process.waitUntilReady()
		signalled := time.Now()
		for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
			_ = process.command.Process.Signal(signal) // it may have ended by the last ones
		}
		process.expectEnd(signalled)
	}
}

// testSigtermUntilEnd sends SIGTERM as fast as it can until the process has ended: none of them may replace the exit
// status, not even between the shutdown and the exit.
func testSigtermUntilEnd(t *testing.T) {
	for range 20 {
		process := startAnywhere(t)
		process.waitUntilReady()
		signalled := time.Now()
		for process.command.Process.Signal(syscall.SIGTERM) == nil {
			continue
		}
		process.expectEnd(signalled)
	}
}

func testSigtermInReload(t *testing.T) {
	process := startAnywhere(t)
	process.waitUntilReady()
	if err := os.Remove(process.file); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(process.file, 0o600); err != nil {
		t.Fatal(err)
	}
	process.signal(syscall.SIGHUP)
	openForWriting(t, process.file)
	process.terminate()
}

// An address that an earlier process still holds is taken as soon as that is gone, and one SIGHUP with a file that
// cannot be used costs nothing.
func TestAddressHeldByEarlierProcess(t *testing.T) {
	holder, err := net.Listen("tcp4", testaddr.Address(t))
	if err != nil {
		t.Fatal(err)
	}
	process := startPlatform(t, holder.Addr().String(), testaddr.Address(t))
	process.waitUntilListening()
	if err := holder.Close(); err != nil {
		t.Error(err)
	}
	process.waitUntilReady()
	if err := os.WriteFile(process.file, []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	process.signal(syscall.SIGHUP)
	process.waitUntilReady()
	process.terminate()
}

// A file that cannot be used is reported in one line, with the status for it.
func TestFaultyPlatformFile(t *testing.T) {
	tests := []struct{ name, text string }{
		{"empty", ""},
		{"no JSON", "hello"},
		{"wrong type", `{"listen":3}`},
		{"no settings", `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7",` +
			`"limits":{"memory_mb":64,"sockets":256}}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(file, []byte(tt.text), 0o644); err != nil {
				t.Fatal(err)
			}
			command := programCommand(file)
			stderr, err := command.StderrPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := command.Start(); err != nil {
				t.Fatal(err)
			}
			reported, _ := io.ReadAll(stderr) // a part of it is no single line
			_ = command.Wait()                // the state tells the exit status
			if status := command.ProcessState.ExitCode(); status != 2 || strings.Count(string(reported), "\n") != 1 {
				t.Errorf("status %d, %q", status, reported)
			}
		})
	}
}
