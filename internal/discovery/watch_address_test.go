package discovery

import (
	"testing"
	"time"

	"peppervale/internal/model"
)

// TestWatchContinuesAtNewAddress checks that the watch continues at the new address from the same version, and that
// events from the old address, whose connection is still open, are ignored.
func TestWatchContinuesAtNewAddress(t *testing.T) {
	from, target := startPlatform(t), startPlatform(t)
	watcher, updates := startWatch(t, from, nil)
	from.expectRequest(0, watchResponseHead)
	from.writeChunks(eventLine(7, true, hostEntry(1, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1")
	watcher.SetAddress(from.address()) // the same address: no effect
	watcher.SetAddress(target.address())
	target.expectRequest(7, watchResponseHead)
	from.writeChunks(eventLine(9, true), oneChunk)
	target.writeChunks(eventLine(8, false, hostEntry(2, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1 2/0/1/2")
}

// TestResponseOfOldAddressIsIgnoredAfterChange checks that the response to a call at the old address is ignored if the
// address changes before it arrives, and that the new address is called immediately.
func TestResponseOfOldAddressIsIgnoredAfterChange(t *testing.T) {
	t.Parallel()
	from, target := startPlatform(t), startPlatform(t)
	watcher, updates := startWatch(t, from, nil)
	from.expectRequest(0, "")
	watcher.SetAddress(target.address())
	target.expectRequest(0, watchResponseHead)
	from.write(watchResponseHead)
	from.writeChunks(eventLine(9, true, hostEntry(3, "ready")), oneChunk)
	target.writeChunks(eventLine(8, true, hostEntry(1, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1")
	target.writeChunks(eventLine(9, false, hostEntry(2, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1 2/0/1/2")
}

// TestNewAddressIsCalledAfterFailure checks that after a failed poll the new address is called without another
// Subscribe, and that failures at both addresses do not change the cache.
func TestNewAddressIsCalledAfterFailure(t *testing.T) {
	t.Parallel()
	from, target := startPlatform(t), startPlatform(t)
	watcher, updates := startWatch(t, from, nil)
	from.expectRequest(0, watchResponseHead)
	from.writeChunks(eventLine(8, true, hostEntry(1, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1")
	from.disconnect()
	updates.expect(t, "poll failed")
	watcher.SetAddress(target.address())
	target.expectRequest(8, unavailableResponse)
	updates.expect(t, "poll failed")
	if cached := watcher.Endpoints(); len(cached) != 1 || cached[0].Status != model.EndpointReady {
		t.Fatalf("cached endpoints %v, want 1 that is ready", cached)
	}
	watcher.Subscribe()
	target.expectRequest(8, watchResponseHead)
	target.writeChunks(eventLine(9, false, hostEntry(2, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1 2/0/1/2")
}

// TestRevertedAddressChangeKeepsWatch checks that an address that changes and changes back does not interrupt the
// watch, and that a change before the first subscription makes no call.
func TestRevertedAddressChangeKeepsWatch(t *testing.T) {
	t.Parallel()
	platform, other := startPlatform(t), startPlatform(t)
	watcher, updates := newTestWatcher(t, other, nil)
	watcher.SetAddress(platform.address())
	platform.expectNoRequest(100 * time.Millisecond)
	watcher.Subscribe()
	platform.expectRequest(0, watchResponseHead)
	platform.writeChunks(eventLine(8, true, hostEntry(1, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1")
	watcher.mu.Lock() // makes both changes before the watcher checks the address
	watcher.address = other.address()
	watcher.mu.Unlock()
	watcher.SetAddress(platform.address())
	platform.expectNoRequest(200 * time.Millisecond)
	other.expectNoRequest(time.Millisecond)
	platform.writeChunks(eventLine(9, false, hostEntry(2, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1 2/0/1/2")
}
