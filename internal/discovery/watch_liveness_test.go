package discovery

import (
	"strings"
	"testing"
	"time"

	"peppervale/internal/codec/platformmsg"
)

// deliveryDeadline is the time after which the platform's protocol counts a watch event as delivered, even if it did
// not arrive.
const deliveryDeadline = 6 * time.Second

// TestSilentCallFailsAndIsRepeatedInTime checks that a poll fails if data stops before the watch is live, at any point
// of the response, and that the next call is made before the delivery deadline of an event.
func TestSilentCallFailsAndIsRepeatedInTime(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name    string
		respond func(platform *fakePlatform)
		hasList bool // the response has version 8 of the list
	}{
		{"no response head", func(*fakePlatform) {}, false},
		{"partial response head", func(p *fakePlatform) { p.write("HTTP/1.1 200 OK\r\nTransfer-") }, false},
		{"after the response head", func(p *fakePlatform) { p.write(watchResponseHead) }, false},
		{"after the first event", func(p *fakePlatform) {
			p.write(watchResponseHead)
			p.writeChunks(eventLine(8, true, hostEntry(1, "ready")), singleChunkSize)
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			platform := startPlatform(t)
			watcher, updates := startWatch(t, platform, &platformmsg.EndpointList{Version: 7, Full: true})
			platform.expectRequest(7, "")
			tt.respond(platform)
			version, want := 7, "list 1/0/1/2" // the first listed replica
			if tt.hasList {
				updates.expect(t, "list 1/1/1/1")
				version, want = 8, "list 1/1/1/1 2/0/1/2"
			}
			lastDataAt := time.Now()
			updates.expect(t, "poll failed")
			time.AfterFunc(1250*time.Millisecond, watcher.Subscribe) // the balancer retries after slightly over 1 s
			platform.expectRequest(version, watchResponseHead)
			checkRepeatedInTime(t, lastDataAt)
			platform.writeChunks(eventLine(9, false, hostEntry(2, "ready")), singleChunkSize)
			updates.expect(t, want)
		})
	}
}

// TestSilentLiveWatchIsRepeatedWithoutFailure checks that a live watch that stops sending data, at any point of a line,
// is repeated in time without a failed poll.
func TestSilentLiveWatchIsRepeatedWithoutFailure(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name        string
		write       func(platform *fakePlatform)
		keepWriting func(platform *fakePlatform, stop <-chan struct{}) // writes until stop is closed; nil for none
	}{
		{"within a line", func(p *fakePlatform) { p.writeChunks(`{"seq":9,"whole":false,"ho`, singleChunkSize) }, nil},
		{"within a chunk", func(p *fakePlatform) { p.write("40\r\n\n\n") }, nil},
		{"after empty lines", func(*fakePlatform) {}, nil},
		{"spaces without a line end", func(*fakePlatform) {}, trickle},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			platform := startPlatform(t)
			_, updates := startWatch(t, platform, &platformmsg.EndpointList{Version: 7, Full: true})
			platform.expectRequest(7, watchResponseHead)
			platform.writeChunks(eventLine(8, true, hostEntry(1, "ready")), singleChunkSize)
			updates.expect(t, "list 1/1/1/1")
			for range 2 {
				time.Sleep(time.Second) // the watch becomes live
				platform.writeChunks("\n", 1)
			}
			tt.write(platform)
			lastDataAt := time.Now()
			stop := make(chan struct{})
			defer close(stop)
			if tt.keepWriting != nil {
				tt.keepWriting(platform, stop)
			}
			platform.expectRequest(8, watchResponseHead)
			checkRepeatedInTime(t, lastDataAt)
			platform.writeChunks(eventLine(9, false, hostEntry(2, "ready")), singleChunkSize)
			updates.expect(t, "list 1/1/1/1 2/0/1/2")
		})
	}
}

// trickle writes a space every 100 ms over the current connection.
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

func checkRepeatedInTime(t *testing.T, lastDataAt time.Time) {
	t.Helper()
	if took := time.Since(lastDataAt); took > deliveryDeadline || took < time.Second {
		t.Errorf("call repeated %s after the last data, want 1 s to deliveryDeadline", took)
	}
}

// TestPollFailsAfterTwoUnansweredRetriesOfLiveWatch checks that two unanswered calls after a live watch fail the poll:
// the delivery deadline is near by then, and the balancer decides when to subscribe again. A rejected call fails the
// poll immediately.
func TestPollFailsAfterTwoUnansweredRetriesOfLiveWatch(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name     string
		rejected bool
	}{
		{"rejected", true},
		{"no response", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			platform := startPlatform(t)
			_, updates := startWatch(t, platform, nil)
			platform.expectRequest(0, watchResponseHead)
			platform.writeChunks(eventLine(8, true, hostEntry(1, "ready")), singleChunkSize)
			updates.expect(t, "list 1/1/1/1")
			time.Sleep(minLiveDuration + 100*time.Millisecond)
			platform.writeChunks("\n", 1)
			time.Sleep(50 * time.Millisecond)
			platform.disconnect()
			platform.expectRequest(8, "")
			if tt.rejected {
				platform.write(unavailableResponse)
			} else {
				platform.expectRequest(8, "")
			}
			updates.expect(t, "poll failed")
			platform.expectNoRequest(300 * time.Millisecond)
			if len(updates) > 0 {
				t.Errorf("unexpected update %q", <-updates)
			}
		})
	}
}

// TestSlowLongListIsAccepted checks that a long list is accepted although it takes longer than watchIdleTimeout, as
// long as its line grows.
func TestSlowLongListIsAccepted(t *testing.T) {
	t.Parallel()
	const hostCount = 1500
	platform := startPlatform(t)
	_, updates := startWatch(t, platform, nil)
	platform.expectRequest(0, watchResponseHead)
	var hosts []string
	for number := range hostCount {
		hosts = append(hosts, hostEntry(number, "ready"))
	}
	text := eventLine(3, true, hosts...)
	for part := range 5 {
		time.Sleep(900 * time.Millisecond) // 3.6 s in total without a complete line
		platform.writeChunks(text[part*len(text)/5:(part+1)*len(text)/5], 1<<20)
	}
	select {
	case got := <-updates:
		if !strings.HasPrefix(got, "list 1/") || strings.Count(got, "/") != 3*hostCount {
			t.Fatalf("update %.80q, want the complete list", got)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no update, want the complete list")
	}
}

// TestRepeatedSubscribeMakesOneCall checks that repeated Subscribe calls make only one call, and no further call while
// a watch is open.
func TestRepeatedSubscribeMakesOneCall(t *testing.T) {
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
	platform.write(watchResponseHead)
	platform.writeChunks(eventLine(8, true, hostEntry(1, "ready")), singleChunkSize)
	updates.expect(t, "list 1/1/1/1")
	watcher.Subscribe()
	platform.expectNoRequest(200 * time.Millisecond)
	platform.disconnect()
	updates.expect(t, "poll failed")
	platform.expectNoRequest(200 * time.Millisecond) // the failure discards earlier requests
	watcher.Subscribe()
	platform.expectRequest(8, watchResponseHead)
}

// TestRetryDelaysDifferBetweenSeeds checks that instances that lose their connections at the same time retry at
// different times.
func TestRetryDelaysDifferBetweenSeeds(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range uint64(20) {
		delays := jitter{seed: seed}
		for range 5 {
			delay := delays.next(maxWatchRetryDelay)
			if delay < 0 || delay >= maxWatchRetryDelay {
				t.Fatalf("delay %s, want 0 s to below maxWatchRetryDelay", delay)
			}
			seen[delay.Round(time.Millisecond)] = true
		}
	}
	if len(seen) < 50 {
		t.Errorf("100 delays have %d distinct millisecond values, want at least 50", len(seen))
	}
}
