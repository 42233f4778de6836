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

	exampleListen  = "127.0.0.1:7700" // addresses and the state directory in the examples' files
	exampleConsole = "127.0.0.1:7780"
	exampleList    = "127.0.0.1:7500"
	exampleReplica = "127.0.0.1:7601"
	exampleState   = "/tmp/peppervale-govan-1"
)

// runToEnd runs a command line until it ends by itself.
func runToEnd(args ...string) (status int, out, errOut string) {
	var outBuffer, errBuffer bytes.Buffer
	status = run(context.Background(), args, &outBuffer, &errBuffer)
	return status, outBuffer.String(), errBuffer.String()
}

// closeAtEnd closes what a test opened when it ends.
func closeAtEnd(t *testing.T, closer io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := closer.Close(); err != nil {
			t.Error(err)
		}
	})
}

// listenUntilEnd listens on a free port until the test ends.
func listenUntilEnd(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	return listener
}

func TestExitStatus(t *testing.T) {
	faulty := filepath.Join(t.TempDir(), "bad.hcl")
	if err := os.WriteFile(faulty, []byte("governor \"a\" {\n  listen = 5\n}\n"), 0o644); err != nil {
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
		{"sound instance", []string{"check", "../../examples/governor.hcl"}, 0, "a governor's file, no fault"},
		{"sound scenario", []string{"check", scenarios + "/zone-lost.hcl"}, 0, "a day, no fault"},
		{"list of scenarios", []string{"scenario", "list", scenarios}, 0, "zone-lost.hcl"},
		{"list of scenarios, former name", []string{"day", "list", scenarios}, 0, "zone-lost.hcl"},
		{"faulty file", []string{"check", faulty}, 2, wrongType},
		{"faulty file to serve", []string{"serve", "--config", faulty}, 2, "bad.hcl:2:12"},
		{"faulty file to serve, former name", []string{"governor", "--config", faulty}, 2, "bad.hcl:2:12"},
		{"missing file", []string{"check", "nowhere.hcl"}, 2, "nowhere.hcl"},
		{"unknown command", []string{"frobnicate"}, 2, "try peppervale --help"},
		{"directory without scenarios", []string{"day", "list", t.TempDir()}, 2, "no day scripts"},
		{"faulty file of a stand-in", []string{"stand", "replica", "--config", faulty}, 2, "bad.hcl"},
		{"no scenario of the bench", []string{"day", "from-bench", faulty, "-o", faulty + ".out"}, 2, "bench day"},
		{"sizes out of range", []string{"measure", "channel", "--forwarders", "0"}, 2, "are wanted"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, out, errOut := runToEnd(tt.args...)
			if status != tt.wantStatus || !strings.Contains(out+errOut, tt.wantOutput) {
				t.Fatalf("status %d, %s%s", status, out, errOut)
			}
		})
	}
}

// An address that is in use is reported in one line, with status 1.
func TestAddressInUse(t *testing.T) {
	listener := listenUntilEnd(t)
	file := writeExample(t, "governor.hcl", map[string]string{
		exampleListen: listener.Addr().String(),
		exampleState:  t.TempDir(),
	})
	status, _, errOut := runToEnd("governor", "--config", file)
	if status != 1 || !strings.Contains(errOut, "address already in use; another process may have the address") {
		t.Fatalf("status %d, %s", status, errOut)
	}
}

// writeExample writes an example's file with other addresses, and returns its path.
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

// outputLines is an output that a test can wait on.
type outputLines struct {
	t       *testing.T
	written chan string
}

// Write implements io.Writer.
func (l *outputLines) Write(text []byte) (int, error) {
	l.written <- string(text)
	return len(text), nil
}

// waitFor waits until a text is written.
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
			l.t.Fatalf("%q is not written", text)
		}
	}
}

// The examples, as a new user would try them: each of the four processes by its command; a proxy ends up bound and
// served; ending them leaves no socket.
func TestExamples(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of sockets")
	}
	replacements := map[string]string{exampleState: t.TempDir()}
	var addresses []string
	for _, example := range []string{exampleListen, exampleConsole, exampleList, exampleReplica} {
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
			t.Errorf("one ended with status %d", status)
		}
	}
	for _, address := range addresses {
		if conn, err := net.Dial("tcp", address); err == nil {
			closeAtEnd(t, conn)
			t.Errorf("%s is still listened on", address)
		}
	}
}
