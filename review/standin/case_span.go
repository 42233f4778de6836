package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const memberFile = `governor "%[1]s" {
  listen   = "%[2]s"
  state    = "%[3]s"
  farewell = "1s"
}
zones = ["govan", "partick"]
operation "recipe-read" {
  objective = "500ms"
  timeout   = "1200ms"
  effect    = "idempotent"
}
fleet {
  forwarders  = 8
  load_report = ["util"]
}
rules {
}
channel {
}
machine_list "consul" {
  address = "%[4]s"
  service = "recipe"
}
group {
  listen = "%[5]s"
  gossip = "%[6]s"
  zone   = "govan"
  span   = "%[7]s"
%[8]s}
`

// member is one instance of a cluster, from a configuration file.
type member struct {
	name, channel, port, gossip string
	command                     *exec.Cmd
	exited                      chan struct{}
}

// startProgram starts the project's program with its output in a file.
func (w *world) startProgram(logName string, arguments ...string) (*exec.Cmd, chan struct{}) {
	log, err := os.OpenFile(filepath.Join(w.folder, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		w.fail("%v", err)
	}
	command := exec.Command(filepath.Join(w.root, "bin", "peppervale"), arguments...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		w.fail("%v", err)
	}
	exited := make(chan struct{})
	go func() {
		command.Wait()
		log.Close()
		close(exited)
	}()
	w.logf("started: peppervale %s", strings.Join(arguments, " "))
	return command, exited
}

// caseSpan: three members share a fleet. The disruption is that the lease's duration, span, is raised in all three files
// and each member is restarted, one after the other. Without it, they are restarted with the same files.
func caseSpan(w *world) bool {
	const settle = 40 * time.Second // far above the "some seconds" in which members hold their shards after a start
	registryAddress := freeAddress()
	registryFile := filepath.Join(w.folder, "registry.hcl")
	os.WriteFile(registryFile, []byte(fmt.Sprintf("registry {\n  listen  = %q\n  service = \"recipe\"\n}\n"+
		"entry \"127.0.0.1:9601\" {\n  zone = \"govan\"\n}\nentry \"127.0.0.1:9602\" {\n  zone = \"partick\"\n}\n",
		registryAddress)), 0o644)
	registry, registryExited := w.startProgram("registry.log", "standin", "registry", "--config", registryFile)
	defer func() {
		registry.Process.Kill()
		<-registryExited
	}()

	var members []*member
	for _, name := range []string{"govan-1", "partick-1", "dalmarnock-1"} {
		members = append(members, &member{name: name, channel: freeAddress(), port: freeAddress(), gossip: freeAddress()})
	}
	write := func(span string) {
		blocks := ""
		for _, m := range members {
			blocks += fmt.Sprintf("  member %q {\n    address = %q\n    gossip  = %q\n  }\n", m.name, m.port, m.gossip)
		}
		for _, m := range members {
			text := fmt.Sprintf(memberFile, m.name, m.channel, filepath.Join(w.folder, "state-"+m.name), registryAddress, m.port,
				m.gossip, span, blocks)
			os.WriteFile(filepath.Join(w.folder, m.name+".hcl"), []byte(text), 0o644)
		}
	}
	start := func(m *member) {
		m.command, m.exited = w.startProgram(m.name+".log", "serve", "--config", filepath.Join(w.folder, m.name+".hcl"))
	}
	write("2s")
	for _, m := range members {
		start(m)
	}
	defer func() {
		for _, m := range members {
			m.command.Process.Kill()
			<-m.exited
			text, _ := os.ReadFile(filepath.Join(w.folder, m.name+".log"))
			var kept []string
			for _, line := range strings.Split(string(text), "\n") {
				if !strings.Contains(line, `"message":"statistics"`) {
					kept = append(kept, line)
				}
			}
			w.mu.Lock()
			fmt.Fprintf(w.record, "--- log of %s\n%s---\n", m.name, strings.Join(kept, "\n"))
			w.mu.Unlock()
		}
	}()

	var addresses []string
	for _, m := range members {
		addresses = append(addresses, m.channel)
	}
	done := make(chan struct{})
	var wait sync.WaitGroup
	var forwarders []*forwarder
	for i := range 8 {
		zone := []string{"govan", "partick"}[i%2]
		p := &forwarder{w: w, name: fmt.Sprintf("till-%d", i), zone: zone, addresses: addresses}
		forwarders = append(forwarders, p)
		wait.Go(func() { p.run(done) })
	}
	defer func() {
		close(done)
		wait.Wait()
	}()
	joined := func() (count int) {
		for _, p := range forwarders {
			if p.isJoined() {
				count++
			}
		}
		return count
	}
	deadline := time.Now().Add(25 * time.Second)
	for joined() < len(forwarders) {
		if time.Now().After(deadline) {
			w.fail("only %d of %d proxies are joined before the change", joined(), len(forwarders))
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.logf("all proxies are joined")
	if w.trouble {
		write("3s")
		w.logf("span is 3s in all files from now on")
	}
	for _, m := range members {
		m.command.Process.Signal(syscall.SIGTERM)
		<-m.exited
		w.logf("%s has ended after SIGTERM", m.name)
		start(m)
		time.Sleep(5 * time.Second)
	}
	w.logf("all members were restarted; their files are alike")
	deadline = time.Now().Add(settle)
	for joined() < len(forwarders) && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
	count := joined()
	for _, m := range members {
		output, _ := exec.Command(filepath.Join(w.root, "bin", "peppervale"), "cluster", "status", "--at", m.port).CombinedOutput()
		text, _, _ := bytes.Cut(output, []byte("last takeovers"))
		w.logf("cluster status at %s:\n%s", m.name, text)
	}
	w.logf("%d of %d proxies are joined to a holder of their shard's lease", count, len(forwarders))
	return count == len(forwarders)
}

// forwarder is a proxy on the publish-subscribe channel that only joins and acknowledges.
type forwarder struct {
	w          *world
	name, zone string
	addresses  []string

	mu       sync.Mutex
	joinedTo string
	epoch    string
}

func (p *forwarder) isJoined() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.joinedTo != ""
}

// run joins one instance after the other, as the pages say, until done is closed.
func (p *forwarder) run(done chan struct{}) {
	p.epoch = "0"
	last := ""
	next := ""
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		address := p.addresses[i%len(p.addresses)]
		if next != "" {
			address = next
		}
		reason := p.stream(address, done)
		p.mu.Lock()
		p.joinedTo = ""
		p.mu.Unlock()
		if reason != last {
			p.w.logf("%s: %s answered or ended: %s", p.name, address, reason)
			last = reason
		}
		next = ""
		if words := strings.Fields(reason); len(words) > 2 && words[0] == "-MOVED" && words[2] != "-" {
			next = strings.TrimSuffix(words[2], ":")
		}
	}
}

// stream joins at an address and stays until the stream ends; it returns why it ended.
func (p *forwarder) stream(address string, done chan struct{}) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-done:
			conn.Close()
		case <-stop:
		}
	}()
	conn.Write(encode("HELLO", "3"))
	conn.Write(encode("JOIN", p.name, p.zone, "5", "1", "0", "0", p.epoch))
	reader := bufio.NewReader(conn)
	for {
		value, err := readValue(reader)
		if err != nil {
			return "the stream ended"
		}
		words := strings.Fields(value)
		switch {
		case strings.HasPrefix(value, "-"):
			return value
		case strings.Contains(value, "epoch"):
			p.mu.Lock()
			p.joinedTo = address
			p.epoch = words[len(words)-1]
			p.mu.Unlock()
			p.w.logf("%s: joined at %s in epoch %s", p.name, address, p.epoch)
		case len(words) > 7 && (words[0] == "snapshot" || words[0] == "change") && !strings.HasPrefix(words[6], "-"):
			conn.Write(encode("ACK", words[1], words[3], words[6]))
		}
	}
}

// readValue reads one RESP3 value and returns its scalars separated by blanks; an error begins with a minus sign.
func readValue(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" {
		return "", fmt.Errorf("an empty line")
	}
	var count int
	fmt.Sscan(line[1:], &count)
	switch line[0] {
	case '-':
		return line, nil
	case '$':
		if count < 0 {
			return "", nil
		}
		text := make([]byte, count+2)
		for read := 0; read < len(text); {
			n, err := r.Read(text[read:])
			if err != nil {
				return "", err
			}
			read += n
		}
		return string(text[:count]), nil
	case '*', '>', '%', '~':
		if line[0] == '%' {
			count *= 2
		}
		var parts []string
		for range count {
			part, err := readValue(r)
			if err != nil {
				return "", err
			}
			parts = append(parts, part)
		}
		return strings.Join(parts, " "), nil
	}
	return line[1:], nil
}
