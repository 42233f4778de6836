package discovery

import (
	"testing"
	"time"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// knownList is a complete list of one ready endpoint, s-1.
func knownList(version uint64, zone string) *platformmsg.EndpointList {
	return &platformmsg.EndpointList{
		Version:   version,
		Full:      true,
		Endpoints: []platformmsg.Endpoint{{Name: "s-1", Zone: zone, Status: model.EndpointReady}},
	}
}

// TestWatchMergesChanges shows that changes are merged into the list that was known, however their bytes are cut, and
// that what is gone leaves it.
func TestWatchMergesChanges(t *testing.T) {
	platform := startPlatform(t)
	watcher, updates := startWatch(t, platform, knownList(41, zones[1]))
	if known := watcher.Endpoints(); len(known) != 1 {
		t.Fatalf("known: %v", known)
	}
	platform.expectRequest(41, watchHead)
	platform.writeChunks("\n"+eventLine(42, false, hostEntry(2, "ready"))+"\n\n", 3)
	updates.expect(t, "list 1/1/1/0 2/0/1/2")
	platform.writeChunks(eventLine(43, false, hostEntry(1, "draining"))+
		eventLine(44, false, hostEntry(2, "gone"), hostEntry(3, "ready")), oneChunk)
	updates.expect(t, "list 1/1/2/1 2/0/1/2")
	updates.expect(t, "list 1/1/2/1 3/1/1/3")
	unknownZone := `{"host":"s-5","site":"nowhere","health":"ready"}`
	platform.writeChunks(eventLine(45, true, hostEntry(4, "ready"), unknownZone), oneChunk)
	updates.expect(t, "list 4/0/1/4")
}

// TestWatchResumesFromItsVersion shows that a watch that ends is reported once, and that the next one goes on from the
// cached version.
func TestWatchResumesFromItsVersion(t *testing.T) {
	platform := startPlatform(t)
	watcher, updates := startWatch(t, platform, nil)
	platform.expectRequest(0, watchHead)
	platform.writeChunks(eventLine(7, true, hostEntry(1, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1")
	platform.disconnect()
	updates.expect(t, "poll failed")
	watcher.Subscribe()
	platform.expectRequest(7, unavailable)
	updates.expect(t, "poll failed")
	watcher.Subscribe()
	platform.expectRequest(7, watchHead)
	platform.writeChunks(eventLine(8, false, hostEntry(2, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1 2/0/1/2")
}

// TestAnswerThatIsNoWatch shows that what is no list, no HTTP, or a complete answer in place of a watch fails the
// poll and changes nothing.
func TestAnswerThatIsNoWatch(t *testing.T) {
	platform := startPlatform(t)
	watcher, updates := startWatch(t, platform, knownList(3, zones[0]))
	for i, answer := range []string{
		"SSH-2.0\r\n",
		watchHead + "5\r\nno, \n\r\n",
		watchHead + "3\r\n{}\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		watchHead + "0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n",
	} {
		if i > 0 {
			watcher.Subscribe()
		}
		platform.expectRequest(3, answer)
		updates.expect(t, "poll failed")
	}
	if cached := watcher.Endpoints(); len(cached) != 1 {
		t.Fatalf("cached: %v", cached)
	}
}

// TestVersionGoesBack shows that the complete list is requested after a version that went back, as what lies between is
// not known.
func TestVersionGoesBack(t *testing.T) {
	platform := startPlatform(t)
	watcher, updates := startWatch(t, platform, &platformmsg.EndpointList{Version: 41, Full: true})
	platform.expectRequest(41, watchHead)
	platform.writeChunks(eventLine(3, false, hostEntry(1, "ready")), oneChunk)
	updates.expect(t, "poll failed")
	watcher.Subscribe()
	platform.expectRequest(0, watchHead)
	platform.writeChunks(eventLine(3, true, hostEntry(2, "ready")), oneChunk)
	updates.expect(t, "list 1/0/1/2")
}

// TestFullListAgain shows that an equal complete list loses nothing, that one without an endpoint removes it, and
// that an older complete one replaces the cache.
func TestFullListAgain(t *testing.T) {
	t.Parallel()
	platform := startPlatform(t)
	_, updates := startWatch(t, platform, nil)
	platform.expectRequest(0, watchHead)
	for range 2 {
		platform.writeChunks(eventLine(8, true, hostEntry(1, "ready"), hostEntry(2, "draining")), 7)
		updates.expect(t, "list 1/1/1/1 2/0/2/2")
	}
	platform.writeChunks(eventLine(9, true, hostEntry(2, "draining")), oneChunk)
	updates.expect(t, "list 2/0/2/2")
	platform.writeChunks(eventLine(4, true, hostEntry(1, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1")
	platform.writeChunks(eventLine(5, false, hostEntry(3, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1 3/1/1/3")
}

// TestCloseInEachState shows that closing the client ends a call in each of its states, and that no update follows.
func TestCloseInEachState(t *testing.T) {
	t.Parallel()
	for _, state := range []string{"idle", "dialing", "waiting for an answer", "watching"} {
		t.Run(state, func(t *testing.T) {
			platform := startPlatform(t)
			updates := make(updateRecorder, 100)
			watcher, err := NewWatcher(watchConfig(platform, nil), updates)
			if err != nil {
				t.Fatal(err)
			}
			if state != "idle" {
				watcher.Subscribe()
			}
			switch state {
			case "waiting for an answer":
				platform.expectRequest(0, "")
			case "watching":
				platform.expectRequest(0, watchHead)
				platform.writeChunks(eventLine(8, true, hostEntry(1, "ready")), oneChunk)
				updates.expect(t, "list 1/1/1/1")
			}
			closed := make(chan struct{})
			go func() {
				watcher.Close()
				close(closed)
			}()
			select {
			case <-closed:
			case <-time.After(700 * time.Millisecond):
				t.Fatal("Close does not return")
			}
			if len(updates) > 0 {
				t.Errorf("an update: %q", <-updates)
			}
		})
	}
}
