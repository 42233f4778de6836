package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"peppervale/internal/testaddr"
)

const (
	outputTimeout = 30 * time.Second

	exampleListen   = "127.0.0.1:7700" // addresses and the state directory in the example files
	exampleConsole  = "127.0.0.1:7780"
	exampleRegistry = "127.0.0.1:7500"
	exampleReplica  = "127.0.0.1:7601"
	exampleState    = "/tmp/peppervale-govan-1"
)

// runCommand runs a command line until it ends on its own.
func runCommand(args ...string) (status int, out, errOut string) {
	var outBuffer, errBuffer bytes.Buffer
	status = run(context.Background(), args, &outBuffer, &errBuffer)
	return status, outBuffer.String(), errBuffer.String()
}

// closeOnCleanup closes a resource when the test ends.
func closeOnCleanup(t *testing.T, closer io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := closer.Close(); err != nil {
			t.Error(err)
		}
	})
}

// listenOnFreePort listens on a free port until the test ends.
func listenOnFreePort(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, listener)
	return listener
}

func TestExitStatusAndOutputOfEachOutcome(t *testing.T) {
	faultyFile := filepath.Join(t.TempDir(), "bad.hcl")
	if err := os.WriteFile(faultyFile, []byte("governor \"a\" {\n  listen = 5\n}\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	const wrongType = "bad.hcl:2:12: listen: expected a string in quotes"
	scenarios := "../../scenarios"
	tests := []struct {
		name       string
		args       []string
		wantStatus int
		wantOutput string
	}{
		{"version", []string{"version"}, 0, "peppervale 0."},
		{"valid instance file", []string{"check", "../../examples/governor.hcl"}, 0, "a governor's file, no fault"},
		{"valid scenario", []string{"check", scenarios + "/zone-lost.hcl"}, 0, "a day, no fault"},
		{"list of scenarios", []string{"scenario", "list", scenarios}, 0, "zone-lost.hcl"},
		{"list of scenarios, former name", []string{"day", "list", scenarios}, 0, "zone-lost.hcl"},
		{"faulty file", []string{"check", faultyFile}, 2, wrongType},
		{"faulty file to serve", []string{"serve", "--config", faultyFile}, 2, "bad.hcl:2:12"},
		{"faulty file to serve, former name", []string{"governor", "--config", faultyFile}, 2, "bad.hcl:2:12"},
		{"missing file", []string{"check", "nowhere.hcl"}, 2, "nowhere.hcl"},
		{"unknown command", []string{"frobnicate"}, 2, "try peppervale --help"},
		{"directory without scenarios", []string{"day", "list", t.TempDir()}, 2, "no scenario scripts"},
		{"faulty file of a stand-in", []string{"stand", "replica", "--config", faultyFile}, 2, "bad.hcl"},
		{"invalid simulator scenario", []string{"day", "from-bench", faultyFile, "-o", faultyFile + ".out"}, 2, "bench day"},
		{"sizes out of range", []string{"measure", "channel", "--forwarders", "0"}, 2, "sizes out of range"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, out, errOut := runCommand(tt.args...)
			if status != tt.wantStatus || !strings.Contains(out+errOut, tt.wantOutput) {
				t.Fatalf("status %d, output:\n%s%s", status, out, errOut)
			}
		})
	}
}

// An address in use is reported with a hint, and the exit status is 1.
func TestServeFailsWhenAddressIsInUse(t *testing.T) {
	listener := listenOnFreePort(t)
	file := writeExample(t, "governor.hcl", map[string]string{
		exampleListen: listener.Addr().String(),
		exampleState:  t.TempDir(),
	})
	status, _, errOut := runCommand("governor", "--config", file)
	if status != 1 || !strings.Contains(errOut, "address already in use; another process may be listening on it") {
		t.Fatalf("status %d, want 1; error, want that the address is in use: %s", status, errOut)
	}
}

// writeExample writes a copy of an example file with other addresses, and returns its path.
func writeExample(t *testing.T, name string, replacements map[string]string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("../../examples", name))
	if err != nil {
		t.Fatal(err)
	}
	text := string(content)
	for from, to := range replacements {
		text = strings.ReplaceAll(text, from, to)
	}
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// outputLines is a command's output that a test can wait for.
type outputLines struct {
	t       *testing.T
	written chan string
}

// Write implements io.Writer.
func (l *outputLines) Write(text []byte) (int, error) {
	l.written <- string(text)
	return len(text), nil
}

// waitFor waits until the command writes a text.
func (l *outputLines) waitFor(text string) {
	l.t.Helper()
	timeout := time.After(outputTimeout)
	for {
		select {
		case line := <-l.written:
			if strings.Contains(line, text) {
				return
			}
		case <-timeout:
			l.t.Fatalf("the command did not write %q in time", text)
		}
	}
}

// The four example processes are started by their commands, as a new user would do: the proxy becomes bound, and no
// process listens on an example address after the end.
func TestExampleProcessesServeAndReleaseTheirAddresses(t *testing.T) {
	if testing.Short() {
		t.Skip("runs four processes on sockets for seconds")
	}
	replacements := map[string]string{exampleState: t.TempDir()}
	var addresses []string
	for _, example := range []string{exampleListen, exampleConsole, exampleRegistry, exampleReplica} {
		address := testaddr.Address(t)
		replacements[example] = address
		addresses = append(addresses, address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan int, 4)
	start := func(file string, command ...string) *outputLines {
		output := &outputLines{t, make(chan string, 10_000)}
		args := append(command, "--config", writeExample(t, file, replacements))
		go func() { ended <- run(ctx, args, output, io.Discard) }()
		return output
	}
	start("registry.hcl", "standin", "registry").waitFor("lists 1 of recipe")
	start("replica.hcl", "standin", "replica").waitFor("serves")
	start("governor.hcl", "serve").waitFor("serving")
	start("forwarder.hcl", "standin", "proxy").waitFor("bound true")
	cancel()
	for range 4 {
		if status := <-ended; status != 0 {
			t.Errorf("a command ended with status %d, want 0", status)
		}
	}
	for _, address := range addresses {
		if conn, err := net.Dial("tcp", address); err == nil {
			closeOnCleanup(t, conn)
			t.Errorf("a process still listens on %s", address)
		}
	}
}
