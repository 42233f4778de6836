package discovery

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

const (
	// watchHead begins the answer to a watch.
	watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

	// unavailable is the answer of a discovery that is down.
	unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

	// oneChunk is a chunk size that no event of these tests exceeds.
	oneChunk = 1000
)

// fakePlatform is a discovery service by hand: the test sees each request and writes what it likes.
type fakePlatform struct {
	t        *testing.T
	listener net.Listener
	conn     net.Conn // of the last request
}

func startPlatform(t *testing.T) *fakePlatform {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return &fakePlatform{t: t, listener: listener}
}

func (p *fakePlatform) address() string { return p.listener.Addr().String() }

func (p *fakePlatform) setAcceptDeadline(timeout time.Duration) {
	_ = p.listener.(*net.TCPListener).SetDeadline(time.Now().Add(timeout))
}

// expectRequest waits for a watch that requests the changes since a version, and writes an answer.
func (p *fakePlatform) expectRequest(since int, answer string) {
	p.t.Helper()
	p.setAcceptDeadline(20 * time.Second)
	conn, err := p.listener.Accept()
	if err != nil {
		p.t.Fatal(err)
	}
	p.conn = conn
	p.t.Cleanup(func() { _ = conn.Close() })
	line, _ := bufio.NewReader(conn).ReadString('\n')
	if want := fmt.Sprintf("GET /v1/endpoints?follow=1&since=%d HTTP/1.1\r\n", since); line != want {
		p.t.Fatalf("%q, want %q", line, want)
	}
	p.write(answer)
}

// expectNoRequest fails the test if a call arrives within a time.
func (p *fakePlatform) expectNoRequest(within time.Duration) {
	p.t.Helper()
	p.setAcceptDeadline(within)
	if conn, err := p.listener.Accept(); err == nil {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		p.t.Fatalf("a call: %q", line)
	}
}

// write sends bytes; the client may have ended the connection.
func (p *fakePlatform) write(text string) { _, _ = p.conn.Write([]byte(text)) }

// writeChunks writes content in chunks of so many bytes.
func (p *fakePlatform) writeChunks(content string, size int) {
	for part := range slices.Chunk([]byte(content), size) {
		p.write(fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
	}
}

// disconnect ends the connection of the last request.
func (p *fakePlatform) disconnect() { _ = p.conn.Close() }

// eventLine is a line of a watch.
func eventLine(version int, full bool, hosts ...string) string {
	return fmt.Sprintf("{\"seq\":%d,\"whole\":%t,\"hosts\":[%s]}\n", version, full, strings.Join(hosts, ","))
}

// hostEntry is an entry of an event: s-1 is in zone 1 and started at 1 ms, and so on.
func hostEntry(number int, health string) string {
	return fmt.Sprintf(`{"host":"s-%d","site":"%s","health":"%s","born_ms":%d}`,
		number, zones[number%2], health, number)
}

// describe is an update as these tests compare it: "list" or "poll failed", and address/zone/status/start of each
// endpoint.
func describe(update model.EndpointUpdate, endpoints []model.Endpoint) string {
	text := fmt.Sprint("update ", update)
	switch update {
	case model.FullList:
		text = "list"
	case model.PollFailed:
		text = "poll failed"
	}
	for _, endpoint := range endpoints {
		started := endpoint.StartedAt / model.Millisecond
		text += fmt.Sprintf(" %d/%d/%d/%d", endpoint.ID.Addr[3], endpoint.Zone, endpoint.Status, started)
	}
	return text
}

// updateRecorder is a receiver that keeps what it is given, as described.
type updateRecorder chan string

func (u updateRecorder) EndpointsChanged(update model.EndpointUpdate, endpoints []model.Endpoint) {
	u <- describe(update, endpoints)
}

// expect waits for the next update.
func (u updateRecorder) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-u:
		if got != want {
			t.Fatalf("%q, want %q", got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("no update, want %q", want)
	}
}

// startWatch subscribes to a platform's list.
func startWatch(t *testing.T, platform *fakePlatform, known *platformmsg.EndpointList) (*Watcher, updateRecorder) {
	t.Helper()
	watcher, updates := newTestWatcher(t, platform, known)
	watcher.Subscribe()
	return watcher, updates
}

// newTestWatcher makes a watcher that has no subscription yet.
func newTestWatcher(t *testing.T, platform *fakePlatform, known *platformmsg.EndpointList) (*Watcher, updateRecorder) {
	t.Helper()
	updates := make(updateRecorder, 100)
	watcher, err := NewWatcher(watchConfig(platform, known), updates)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(watcher.Close)
	return watcher, updates
}

func watchConfig(platform *fakePlatform, known *platformmsg.EndpointList) WatchConfig {
	return WatchConfig{
		Address:          platform.address(),
		Zones:            zones,
		Names:            platformmsg.NewReplicaNames(),
		InitialEndpoints: known,
		Log:              zerolog.Nop(),
	}
}
