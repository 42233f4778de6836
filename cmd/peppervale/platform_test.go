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

// SIGTERM ends an instance with status 0, in every state, before the platform would kill it.
func TestSigtermEndsProcessInTimeWithStatusSuccess(t *testing.T) {
	t.Run("while the file is read", testSigtermWhileReading)
	t.Run("while the address is in use", testSigtermWhileAddressIsInUse)
	t.Run("while discovery does not answer", testSigtermWhileDiscoveryIsSilent)
	t.Run("with a stream that reads nothing", testSigtermWithUnreadStream)
	t.Run("repeated, with SIGHUP in between", testSigtermRepeatedWithSighup)
	t.Run("repeated until the process ends", testSigtermRepeatedUntilEnd)
	t.Run("during a reload", testSigtermDuringReload)
}

func testSigtermWhileReading(t *testing.T) {
	pipe := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	process := startWithFile(t, testaddr.Address(t), pipe)
	openForWriting(t, pipe)
	process.terminate()
}

func testSigtermWhileAddressIsInUse(t *testing.T) {
	holder := listenOnFreePort(t)
	process := startPlatform(t, holder.Addr().String(), testaddr.Address(t))
	process.waitUntilTryingToListen()
	process.terminate()
}

func testSigtermWhileDiscoveryIsSilent(t *testing.T) {
	discovery := listenOnFreePort(t)
	process := startPlatform(t, testaddr.Address(t), discovery.Addr().String())
	if _, err := discovery.Accept(); err != nil {
		t.Fatal(err)
	}
	process.waitUntilReady()
	process.terminate()
}

func testSigtermWithUnreadStream(t *testing.T) {
	process := startOnFreeAddress(t)
	process.waitUntilReady()
	conn, err := net.Dial("tcp", process.address)
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, conn)
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("got a connection of type %T, want *net.TCPConn", conn)
	}
	if err := tcp.SetReadBuffer(1 << 10); err != nil {
		t.Error(err)
	}
	const joined = "*9\r\n$6\r\njoined\r\n$2\r\nid\r\n$1\r\n1\r\n$4\r\nsite\r\n$5\r\ngovan\r\n" +
		"$3\r\nrps\r\n$1\r\n1\r\n$3\r\nnew\r\n$1\r\n1\r\n"
	pings := strings.Repeat("*1\r\n$4\r\nping\r\n", 20_000)
	_, _ = conn.Write([]byte(joined + pings)) // the instance may close the stream during the write
	process.terminate()
}

func testSigtermRepeatedWithSighup(t *testing.T) {
	for range 5 {
		process := startOnFreeAddress(t)
		process.waitUntilReady()
		signalledAt := time.Now()
		for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
			_ = process.command.Process.Signal(signal) // the process may have ended before the last signals
		}
		process.expectExit(signalledAt)
	}
}

// testSigtermRepeatedUntilEnd sends SIGTERM as fast as possible until the process has ended. No signal may change the
// exit status, not even one between the shutdown and the exit.
func testSigtermRepeatedUntilEnd(t *testing.T) {
	for range 20 {
		process := startOnFreeAddress(t)
		process.waitUntilReady()
		signalledAt := time.Now()
		for process.command.Process.Signal(syscall.SIGTERM) == nil {
			continue
		}
		process.expectExit(signalledAt)
	}
}

func testSigtermDuringReload(t *testing.T) {
	process := startOnFreeAddress(t)
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

// An instance listens on its address as soon as an earlier process releases it. A later SIGHUP with an invalid file
// does not interrupt the instance.
func TestInstanceTakesAddressWhenEarlierProcessReleasesIt(t *testing.T) {
	holder, err := net.Listen("tcp4", testaddr.Address(t))
	if err != nil {
		t.Fatal(err)
	}
	process := startPlatform(t, holder.Addr().String(), testaddr.Address(t))
	process.waitUntilTryingToListen()
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

// An invalid file is reported in one line, with the exit status for invalid input.
func TestFaultyPlatformFileIsReportedInOneLine(t *testing.T) {
	tests := []struct{ name, text string }{
		{"empty", ""},
		{"not JSON", "hello"},
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
			errorOutput, _ := io.ReadAll(stderr) // the line count below detects a partial read
			_ = command.Wait()                   // the exit status is read from ProcessState
			if status := command.ProcessState.ExitCode(); status != 2 || strings.Count(string(errorOutput), "\n") != 1 {
				t.Errorf("status %d, want 2; standard error, want one line: %q", status, errorOutput)
			}
		})
	}
}
