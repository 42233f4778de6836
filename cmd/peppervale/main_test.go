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
)

// call runs a command line to its end.
func call(args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = run(context.Background(), args, &o, &e)
	return status, o.String(), e.String()
}

func TestExitStatus(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.hcl")
	if err := os.WriteFile(bad, []byte("governor \"a\" {\n  listen = 5\n}\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args   []string
		status int
		says   string
	}{
		"a version":                {[]string{"version"}, 0, "peppervale 0."},
		"a good governor":          {[]string{"check", "../../examples/governor.hcl"}, 0, "a governor's file, no fault"},
		"a good day":               {[]string{"check", "../../scenarios/hall-lost.hcl"}, 0, "a day, no fault"},
		"the days":                 {[]string{"day", "list", "../../scenarios"}, 0, "hall-lost.hcl"},
		"a bad file":               {[]string{"check", bad}, 2, "bad.hcl:2:12: listen: a text in quotes is wanted"},
		"a bad file to run":        {[]string{"governor", "--config", bad}, 2, "bad.hcl:2:12"},
		"a file that is not there": {[]string{"check", "nowhere.hcl"}, 2, "nowhere.hcl"},
		"a command that is none":   {[]string{"frobnicate"}, 2, "try peppervale --help"},
		"a folder without days":    {[]string{"day", "list", t.TempDir()}, 2, "no day scripts"},
		"a stand-in's bad file":    {[]string{"stand", "replica", "--config", bad}, 2, "bad.hcl"},
		"no bench day":             {[]string{"day", "from-bench", bad, "-o", bad + ".out"}, 2, "bench day"},
		"sizes that are none":      {[]string{"measure", "channel", "--forwarders", "0"}, 2, "are wanted"},
	} {
		t.Run(name, func(t *testing.T) {
			status, out, errs := call(c.args...)
			if status != c.status || !strings.Contains(out+errs, c.says) {
				t.Fatalf("status %d, %s%s", status, out, errs)
			}
		})
	}
}

// A port that is in use is told in one line, with status 1.
func TestAPortInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	file := moved(t, "governor.hcl", map[string]string{"127.0.0.1:7700": l.Addr().String(), "/tmp/peppervale-govan-1": t.TempDir()})
	status, _, errs := call("governor", "--config", file)
	if status != 1 || !strings.Contains(errs, "address already in use; another process may have the address") {
		t.Fatalf("status %d, %s", status, errs)
	}
}

// moved is an example's file with other addresses.
func moved(t *testing.T, name string, change map[string]string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../examples", name))
	if err != nil {
		t.Fatal(err)
	}
	for from, to := range change {
		text = []byte(strings.ReplaceAll(string(text), from, to))
	}
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// lines is an output that can be waited for.
type lines struct {
	t    *testing.T
	came chan string
}

func (l *lines) Write(b []byte) (int, error) {
	l.came <- string(b)
	return len(b), nil
}

func (l *lines) wait(what string) {
	l.t.Helper()
	late := time.After(30 * time.Second)
	for {
		select {
		case line := <-l.came:
			if strings.Contains(line, what) {
				return
			}
		case <-late:
			l.t.Fatalf("%q never comes", what)
		}
	}
}

// The examples, as a new user would try them: each process of the four by its command; a forwarder ends up bound and
// served; ending them leaves no socket.
func TestTheExamples(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds of sockets")
	}
	var free []string
	for range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		free = append(free, l.Addr().String())
		defer l.Close()
		l.Close()
	}
	change := map[string]string{"127.0.0.1:7700": free[0], "127.0.0.1:7780": free[1], "127.0.0.1:7500": free[2], "127.0.0.1:7601": free[3],
		"/tmp/peppervale-govan-1": t.TempDir()}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan int, 4)
	begin := func(args []string, file string) *lines {
		l := &lines{t, make(chan string, 10_000)}
		go func() { ended <- run(ctx, append(args, "--config", moved(t, file, change)), l, io.Discard) }()
		return l
	}
	begin([]string{"stand", "registry"}, "registry.hcl").wait("lists 1 of recipe")
	begin([]string{"stand", "replica"}, "replica.hcl").wait("serves")
	begin([]string{"governor"}, "governor.hcl").wait("serving")
	begin([]string{"stand", "forwarder"}, "forwarder.hcl").wait("bound true")
	cancel()
	for range 4 {
		if status := <-ended; status != 0 {
			t.Errorf("one ended with status %d", status)
		}
	}
	for _, address := range free {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			t.Errorf("%s is still listened on", address)
		}
	}
}
