package discovery

import (
	"strings"
	"testing"
	"time"

	"peppervale/internal/codec/platformmsg"
)

// deliveryDeadline is when a watch event counts as delivered, whether it arrived or not, by the platform's protocol.
const deliveryDeadline = 6 * time.Second

// TestSilentCallIsRepeated shows that a call that falls silent before its watch was live, wherever in its answer,
// fails, and that the next call comes before the delivery deadline of an event.
func TestSilentCallIsRepeated(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name    string
		answer  func(platform *fakePlatform)
		hasList bool // the answer brings version 8 of the list
	}{
		{"no head", func(*fakePlatform) {}, false},
		{"half a head", func(p *fakePlatform) { p.write("HTTP/1.1 200 OK\r\nTransfer-") }, false},
		{"after the head", func(p *fakePlatform) { p.write(watchHead) }, false},
		{"after the first event", func(p *fakePlatform) {
			p.write(watchHead)
			p.writeChunks(eventLine(8, true, hostEntry(1, "ready")), oneChunk)
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			platform := startPlatform(t)
			watcher, updates := startWatch(t, platform, &platformmsg.EndpointList{Version: 7, Full: true})
			platform.expectRequest(7, "")
			tt.answer(platform)
			version, want := 7, "list 1/0/1/2" // the first to be listed
			if tt.hasList {
				updates.expect(t, "list 1/1/1/1")
				version, want = 8, "list 1/1/1/1 2/0/1/2"
			}
			silentSince := time.Now()
			updates.expect(t, "poll failed")
			time.AfterFunc(1250*time.Millisecond, watcher.Subscribe) // as the balancer does, a little more than 1 s later
			platform.expectRequest(version, watchHead)
			checkRepeatedInTime(t, silentSince)
			platform.writeChunks(eventLine(9, false, hostEntry(2, "ready")), oneChunk)
			updates.expect(t, want)
		})
	}
}

// TestSilentWatchIsRepeated shows that a live watch that falls silent, wherever in its lines, is repeated in time
// without a failed poll.
func TestSilentWatchIsRepeated(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name  string
		write func(platform *fakePlatform)
		then  func(platform *fakePlatform, stop <-chan struct{}) // goes on until stop; nil for none
	}{
		{"in a line", func(p *fakePlatform) { p.writeChunks(`{"seq":9,"whole":false,"ho`, oneChunk) }, nil},
		{"in a chunk", func(p *fakePlatform) { p.write("40\r\n\n\n") }, nil},
		{"after signs of life", func(*fakePlatform) {}, nil},
		{"a trickle without line ends", func(*fakePlatform) {}, trickle},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			platform := startPlatform(t)
			_, updates := startWatch(t, platform, &platformmsg.EndpointList{Version: 7, Full: true})
			platform.expectRequest(7, watchHead)
			platform.writeChunks(eventLine(8, true, hostEntry(1, "ready")), oneChunk)
			updates.expect(t, "list 1/1/1/1")
			for range 2 {
				time.Sleep(time.Second) // the watch becomes live
				platform.writeChunks("\n", 1)
			}
			tt.write(platform)
			silentSince := time.Now()
			stop := make(chan struct{})
			defer close(stop)
			if tt.then != nil {
				tt.then(platform, stop)
			}
			platform.expectRequest(8, watchHead)
			checkRepeatedInTime(t, silentSince)
			platform.writeChunks(eventLine(9, false, hostEntry(2, "ready")), oneChunk)
			updates.expect(t, "list 1/1/1/1 2/0/1/2")
		})
	}
}

// trickle writes a space at a time over the present connection.
func trickle(platform *fakePlatform, stop <-chan struct{}) {
	conn := platform.conn
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				_, _ = conn.Write([]byte("1\r\n \r\n"))
			}
		}
	}()
}

func checkRepeatedInTime(t *testing.T, silentSince time.Time) {
	t.Helper()
	if took := time.Since(silentSince); took > deliveryDeadline || took < time.Second {
		t.Errorf("called again after %s", took)
	}
}

// TestRetriesAfterLiveWatch shows that calls that vanish after a live watch are repeated at once, twice in all, and
// then have failed: by then the limit is near, and the balancer may know better. One that is rejected has failed at
// once.
func TestRetriesAfterLiveWatch(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name     string
		rejected bool
	}{
		{"rejected", true},
		{"no answer", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			platform := startPlatform(t)
			_, updates := startWatch(t, platform, nil)
			platform.expectRequest(0, watchHead)
			platform.writeChunks(eventLine(8, true, hostEntry(1, "ready")), oneChunk)
			updates.expect(t, "list 1/1/1/1")
			time.Sleep(minLiveWatch + 100*time.Millisecond)
			platform.writeChunks("\n", 1)
			time.Sleep(50 * time.Millisecond)
			platform.disconnect()
			platform.expectRequest(8, "")
			if tt.rejected {
				platform.write(unavailable)
			} else {
				platform.expectRequest(8, "")
			}
			updates.expect(t, "poll failed")
			platform.expectNoRequest(300 * time.Millisecond)
			if len(updates) > 0 {
				t.Errorf("a further update: %q", <-updates)
			}
		})
	}
}

// TestLongListArrivesSlowly shows that a long list that takes longer than the timeout, but grows, is waited for.
func TestLongListArrivesSlowly(t *testing.T) {
	t.Parallel()
	const hostCount = 1500
	platform := startPlatform(t)
	_, updates := startWatch(t, platform, nil)
	platform.expectRequest(0, watchHead)
	var hosts []string
	for number := range hostCount {
		hosts = append(hosts, hostEntry(number, "ready"))
	}
	text := eventLine(3, true, hosts...)
	for part := range 5 {
		time.Sleep(900 * time.Millisecond) // 3.6 s in all, and no complete line
		platform.writeChunks(text[part*len(text)/5:(part+1)*len(text)/5], 1<<20)
	}
	select {
	case got := <-updates:
		if !strings.HasPrefix(got, "list 1/") || strings.Count(got, "/") != 3*hostCount {
			t.Fatalf("%.80q", got)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no update")
	}
}

// TestOneCallInFlight shows that there is one call at a time, however often a subscription is requested, and none
// while a watch is open.
func TestOneCallInFlight(t *testing.T) {
	t.Parallel()
	platform := startPlatform(t)
	watcher, updates := startWatch(t, platform, nil)
	for range 10 {
		watcher.Subscribe()
	}
	platform.expectRequest(0, "")
	for range 10 {
		watcher.Subscribe()
	}
	platform.expectNoRequest(200 * time.Millisecond)
	platform.write(watchHead)
	platform.writeChunks(eventLine(8, true, hostEntry(1, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1")
	watcher.Subscribe()
	platform.expectNoRequest(200 * time.Millisecond)
	platform.disconnect()
	updates.expect(t, "poll failed")
	platform.expectNoRequest(200 * time.Millisecond) // what was requested before it failed does not count after it
	watcher.Subscribe()
	platform.expectRequest(8, watchHead)
}

// TestRetryDelaysDiffer shows that instances that lost their connections together do not call in step.
func TestRetryDelaysDiffer(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range uint64(20) {
		delays := jitter{seed: seed}
		for range 5 {
			delay := delays.next(maxWatchRetryDelay)
			if delay < 0 || delay >= maxWatchRetryDelay {
				t.Fatalf("%s", delay)
			}
			seen[delay.Round(time.Millisecond)] = true
		}
	}
	if len(seen) < 50 {
		t.Errorf("100 delays fall on %d milliseconds", len(seen))
	}
}
