package discovery

import (
	"testing"
	"time"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// knownList returns a complete list with one ready endpoint, s-1.
func knownList(version uint64, zone string) *platformmsg.EndpointList {
	return &platformmsg.EndpointList{
		Version:   version,
		Full:      true,
		Endpoints: []platformmsg.Endpoint{{Name: "s-1", Zone: zone, Status: model.EndpointReady}},
	}
}

// TestWatchMergesChanges checks that changes are merged into the list at startup, for any split into chunks, and
// that endpoints that are gone are removed.
func TestWatchMergesChanges(t *testing.T) {
	platform := startPlatform(t)
	watcher, updates := startWatch(t, platform, knownList(41, zones[1]))
	if cached := watcher.Endpoints(); len(cached) != 1 {
		t.Fatalf("initially cached endpoints %v, want 1", cached)
	}
	platform.expectRequest(41, watchResponseHead)
	platform.writeChunks("\n"+eventLine(42, false, hostEntry(2, "ready"))+"\n\n", 3)
	updates.expect(t, "list 1/1/1/0 2/0/1/2")
	platform.writeChunks(eventLine(43, false, hostEntry(1, "draining"))+
		eventLine(44, false, hostEntry(2, "gone"), hostEntry(3, "ready")), singleChunkSize)
	updates.expect(t, "list 1/1/2/1 2/0/1/2")
	updates.expect(t, "list 1/1/2/1 3/1/1/3")
	unknownZone := `{"host":"s-5","site":"nowhere","health":"ready"}`
	platform.writeChunks(eventLine(45, true, hostEntry(4, "ready"), unknownZone), singleChunkSize)
	updates.expect(t, "list 4/0/1/4")
}

// TestWatchResumesFromCachedVersion checks that the end of a watch is reported once, and that the next watch continues
// from the cached version.
func TestWatchResumesFromCachedVersion(t *testing.T) {
	platform := startPlatform(t)
	watcher, updates := startWatch(t, platform, nil)
	platform.expectRequest(0, watchResponseHead)
	platform.writeChunks(eventLine(7, true, hostEntry(1, "ready")), singleChunkSize)
	updates.expect(t, "list 1/1/1/1")
	platform.disconnect()
	updates.expect(t, "poll failed")
	watcher.Subscribe()
	platform.expectRequest(7, unavailableResponse)
	updates.expect(t, "poll failed")
	watcher.Subscribe()
	platform.expectRequest(7, watchResponseHead)
	platform.writeChunks(eventLine(8, false, hostEntry(2, "ready")), singleChunkSize)
	updates.expect(t, "list 1/1/1/1 2/0/1/2")
}

// TestInvalidWatchResponseFailsPoll checks that a response that is not HTTP, has no valid list or ends like an ordinary
// response fails the poll and does not change the cache.
func TestInvalidWatchResponseFailsPoll(t *testing.T) {
	platform := startPlatform(t)
	watcher, updates := startWatch(t, platform, knownList(3, zones[0]))
	for i, response := range []string{
		"SSH-2.0\r\n",
		watchResponseHead + "5\r\nno, \n\r\n",
		watchResponseHead + "3\r\n{}\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		watchResponseHead + "0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n",
	} {
		if i > 0 {
			watcher.Subscribe()
		}
		platform.expectRequest(3, response)
		updates.expect(t, "poll failed")
	}
	if cached := watcher.Endpoints(); len(cached) != 1 {
		t.Fatalf("cached endpoints %v, want 1", cached)
	}
}

// TestFullListIsRequestedWhenVersionGoesBack checks that the complete list is requested after the version went back,
// because the changes in between are unknown.
func TestFullListIsRequestedWhenVersionGoesBack(t *testing.T) {
	platform := startPlatform(t)
	watcher, updates := startWatch(t, platform, &platformmsg.EndpointList{Version: 41, Full: true})
	platform.expectRequest(41, watchResponseHead)
	platform.writeChunks(eventLine(3, false, hostEntry(1, "ready")), singleChunkSize)
	updates.expect(t, "poll failed")
	watcher.Subscribe()
	platform.expectRequest(0, watchResponseHead)
	platform.writeChunks(eventLine(3, true, hostEntry(2, "ready")), singleChunkSize)
	updates.expect(t, "list 1/0/1/2")
}

// TestFullListReplacesCache checks that a repeated complete list changes nothing, that a complete list without an
// endpoint removes that endpoint, and that an older complete list replaces the cache.
func TestFullListReplacesCache(t *testing.T) {
	t.Parallel()
	platform := startPlatform(t)
	_, updates := startWatch(t, platform, nil)
	platform.expectRequest(0, watchResponseHead)
	for range 2 {
		platform.writeChunks(eventLine(8, true, hostEntry(1, "ready"), hostEntry(2, "draining")), 7)
		updates.expect(t, "list 1/1/1/1 2/0/2/2")
	}
	platform.writeChunks(eventLine(9, true, hostEntry(2, "draining")), singleChunkSize)
	updates.expect(t, "list 2/0/2/2")
	platform.writeChunks(eventLine(4, true, hostEntry(1, "ready")), singleChunkSize)
	updates.expect(t, "list 1/1/1/1")
	platform.writeChunks(eventLine(5, false, hostEntry(3, "ready")), singleChunkSize)
	updates.expect(t, "list 1/1/1/1 3/1/1/3")
}

// TestCloseReturnsInEachState checks that Close returns in each state of the client, and that no update is reported
// afterwards.
func TestCloseReturnsInEachState(t *testing.T) {
	t.Parallel()
	for _, state := range []string{"idle", "dialing", "waiting for a response", "watching"} {
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
			case "waiting for a response":
				platform.expectRequest(0, "")
			case "watching":
				platform.expectRequest(0, watchResponseHead)
				platform.writeChunks(eventLine(8, true, hostEntry(1, "ready")), singleChunkSize)
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
				t.Fatal("Close did not return within 700 ms")
			}
			if len(updates) > 0 {
				t.Errorf("unexpected update %q after Close", <-updates)
			}
		})
	}
}
