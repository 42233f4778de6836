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
	// watchResponseHead is the head of the response to a watch.
	watchResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

	// unavailableResponse is the response of a discovery service that is down.
	unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

	// singleChunkSize is a chunk size in bytes that no single event of these tests exceeds.
	singleChunkSize = 1000
)

// fakePlatform is a discovery service whose responses the test writes itself.
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

// expectRequest waits for a request for the changes since a version, and writes a response.
func (p *fakePlatform) expectRequest(since int, response string) {
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
		p.t.Fatalf("request %q, want %q", line, want)
	}
	p.write(response)
}

// expectNoRequest fails the test if a request arrives within the given duration.
func (p *fakePlatform) expectNoRequest(duration time.Duration) {
	p.t.Helper()
	p.setAcceptDeadline(duration)
	if conn, err := p.listener.Accept(); err == nil {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		p.t.Fatalf("unexpected request %q", line)
	}
}

// write sends text; errors are ignored because the client may have closed the connection.
func (p *fakePlatform) write(text string) { _, _ = p.conn.Write([]byte(text)) }

// writeChunks writes content in chunks of size bytes.
func (p *fakePlatform) writeChunks(content string, size int) {
	for part := range slices.Chunk([]byte(content), size) {
		p.write(fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
	}
}

// disconnect closes the connection of the last request.
func (p *fakePlatform) disconnect() { _ = p.conn.Close() }

// eventLine returns a line of a watch.
func eventLine(version int, full bool, hosts ...string) string {
	return fmt.Sprintf("{\"seq\":%d,\"whole\":%t,\"hosts\":[%s]}\n", version, full, strings.Join(hosts, ","))
}

// hostEntry returns an entry of an event. Replica s-N is in zone N mod 2 and started at N ms.
func hostEntry(number int, health string) string {
	return fmt.Sprintf(`{"host":"s-%d","site":"%s","health":"%s","born_ms":%d}`,
		number, zones[number%2], health, number)
}

// describe formats an update for comparison: "list" or "poll failed", followed for each endpoint by the last byte of
// its address, its zone, its status and its start in ms, as in "list 1/0/1/0".
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

// updateRecorder is a receiver that records the descriptions of its updates.
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
			t.Fatalf("update %q, want %q", got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("no update, want %q", want)
	}
}

// startWatch creates a watcher and subscribes it to a platform's list.
func startWatch(t *testing.T, platform *fakePlatform, list *platformmsg.EndpointList) (*Watcher, updateRecorder) {
	t.Helper()
	watcher, updates := newTestWatcher(t, platform, list)
	watcher.Subscribe()
	return watcher, updates
}

// newTestWatcher creates a watcher without a subscription.
func newTestWatcher(t *testing.T, platform *fakePlatform, list *platformmsg.EndpointList) (*Watcher, updateRecorder) {
	t.Helper()
	updates := make(updateRecorder, 100)
	watcher, err := NewWatcher(watchConfig(platform, list), updates)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(watcher.Close)
	return watcher, updates
}

func watchConfig(platform *fakePlatform, list *platformmsg.EndpointList) WatchConfig {
	return WatchConfig{
		Address:          platform.address(),
		Zones:            zones,
		Names:            platformmsg.NewReplicaNames(),
		InitialEndpoints: list,
		Log:              zerolog.Nop(),
	}
}
