package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain plays the program itself where a test has started it so.
func TestMain(m *testing.M) {
	if os.Getenv("PEPPERVALE_TEST_PROGRAM") != "" {
		main()
	}
	os.Exit(m.Run())
}

// platformProcess is `peppervale platform` as a process of its own.
type platformProcess struct {
	t       *testing.T
	cmd     *exec.Cmd
	address string
	file    string
	ended   chan struct{}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// begin writes the file, unless it is there, and starts the process.
func begin(t *testing.T, address, discovery, file string) *platformProcess {
	t.Helper()
	p := &platformProcess{t: t, address: address, file: file, ended: make(chan struct{})}
	if p.file == "" {
		p.file = filepath.Join(t.TempDir(), "config.json")
		p.write(discovery)
	}
	p.cmd = exec.Command(os.Args[0], "platform")
	p.cmd.Env = append(os.Environ(), "PEPPERVALE_TEST_PROGRAM=1", "LB_CONFIG="+p.file)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.cmd.Wait(); close(p.ended) }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill(); <-p.ended })
	return p
}

func (p *platformProcess) config(discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":256},
"settings":{"zones":["govan"],"membership_mode":"subscribe","classes":[{"name":"read","on_time":500,"credit":1}],
"extra":{"admission":"ratio","default_size":6,"overhead":6,"pending_max":2000,"period":1000,"proxies":8,"push_delay_max":300}}}`, p.address, discovery)
}

func (p *platformProcess) write(discovery string) {
	if err := os.WriteFile(p.file, []byte(p.config(discovery)), 0o644); err != nil {
		p.t.Fatal(err)
	}
}

// ready waits for the first pong.
func (p *platformProcess) ready() {
	p.t.Helper()
	for late := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", p.address); err == nil {
			_, _ = conn.Write([]byte("*1\r\n$4\r\nping\r\n"))
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			line, _ := bufio.NewReader(conn).ReadString('\n')
			conn.Close()
			if line == "*1\r\n" {
				return
			}
		}
		if time.Now().After(late) {
			p.t.Fatal("no pong")
		}
	}
}

func (p *platformProcess) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Error(err)
	}
}

// term has the process end, and checks how.
func (p *platformProcess) term(state string) {
	p.t.Helper()
	began := time.Now()
	p.signal(syscall.SIGTERM)
	p.gone(state, began)
}

func (p *platformProcess) gone(state string, began time.Time) {
	p.t.Helper()
	select {
	case <-p.ended:
	case <-time.After(20 * time.Second):
		p.t.Fatalf("%s: it does not end", state)
	}
	if status := p.cmd.ProcessState.ExitCode(); status != 0 {
		p.t.Errorf("%s: status %d", state, status)
	}
	if took := time.Since(began); took > 700*time.Millisecond {
		p.t.Errorf("%s: it took %s", state, took)
	}
}

// SIGTERM ends a governor with status 0 before the platform kills it, in whatever state it comes.
func TestSigtermInEachState(t *testing.T) {
	t.Run("while the file is read", func(t *testing.T) {
		pipe := filepath.Join(t.TempDir(), "config.json")
		if err := syscall.Mkfifo(pipe, 0o600); err != nil {
			t.Fatal(err)
		}
		p := begin(t, freeAddress(t), "", pipe)
		w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // comes back once it reads
		if err != nil {
			t.Fatal(err)
		}
		defer w.Close()
		p.term("reading")
	})
	t.Run("while the address is taken", func(t *testing.T) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		p := begin(t, l.Addr().String(), freeAddress(t), "")
		p.handles()
		p.term("waiting for the address")
	})
	t.Run("while discovery does not answer", func(t *testing.T) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		p := begin(t, freeAddress(t), l.Addr().String(), "")
		if _, err := l.Accept(); err != nil {
			t.Fatal(err)
		}
		p.ready()
		p.term("calling")
	})
	t.Run("with a stream that reads nothing", func(t *testing.T) {
		p := begin(t, freeAddress(t), freeAddress(t), "")
		p.ready()
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetReadBuffer(1 << 10)
		_, _ = conn.Write([]byte("*9\r\n$6\r\njoined\r\n$2\r\nid\r\n$1\r\n1\r\n$4\r\nsite\r\n$5\r\ngovan\r\n$3\r\nrps\r\n$1\r\n1\r\n$3\r\nnew\r\n$1\r\n1\r\n" +
			strings.Repeat("*1\r\n$4\r\nping\r\n", 20_000)))
		p.term("unread")
	})
	t.Run("with SIGHUP, and twice", func(t *testing.T) {
		for range 5 {
			p := begin(t, freeAddress(t), freeAddress(t), "")
			p.ready()
			began := time.Now()
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
				_ = p.cmd.Process.Signal(s) // it may have ended by the last ones
			}
			p.gone("signals", began)
		}
	})
	t.Run("in a reload", func(t *testing.T) {
		p := begin(t, freeAddress(t), freeAddress(t), "")
		p.ready()
		if err := os.Remove(p.file); err != nil {
			t.Fatal(err)
		}
		if err := syscall.Mkfifo(p.file, 0o600); err != nil {
			t.Fatal(err)
		}
		p.signal(syscall.SIGHUP)
		w, err := os.OpenFile(p.file, os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer w.Close()
		p.term("reloading")
	})
}

// handles waits until the process tries its address: it has taken its signals over then, and discovery's client has a poller beside the
// runtime's own.
func (p *platformProcess) handles() {
	p.t.Helper()
	for late := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		pollers := 0
		all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		for _, fd := range all {
			if link, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", p.cmd.Process.Pid, fd.Name())); strings.Contains(link, "eventpoll") {
				pollers++
			}
		}
		if pollers > 1 {
			return
		}
		if time.Now().After(late) {
			p.t.Fatal("it does not come up")
		}
	}
}

// An address that an earlier process still holds is taken as soon as that is gone, and one SIGHUP with a file that cannot be used, or is
// none, costs nothing.
func TestAnAddressThatLingers(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := begin(t, l.Addr().String(), freeAddress(t), "")
	p.handles()
	l.Close()
	p.ready()
	if err := os.WriteFile(p.file, []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	p.ready()
	p.term("serving")
}

// A file that cannot be used is told in one line, with the status for it.
func TestAPlatformFileThatCannotBeUsed(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "no JSON": "hello", "another type": `{"listen":3}`, "no settings": `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7","limits":{"memory_mb":64,"sockets":256}}`} {
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0], "platform")
		cmd.Env = append(os.Environ(), "PEPPERVALE_TEST_PROGRAM=1", "LB_CONFIG="+file)
		errs, _ := cmd.StderrPipe()
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		said, _ := io.ReadAll(errs)
		_ = cmd.Wait()
		if status := cmd.ProcessState.ExitCode(); status != 2 || strings.Count(string(said), "\n") != 1 {
			t.Errorf("%s: status %d, %q", name, status, said)
		}
	}
}
