package discovery

import (
	"testing"
	"time"

	"peppervale/internal/model"
)

// TestWatchContinuesAtNewAddress checks that the watch continues at the new address from the same version, and that
// events from the old address, whose connection is still open, are ignored.
func TestWatchContinuesAtNewAddress(t *testing.T) {
	oldPlatform, newPlatform := startPlatform(t), startPlatform(t)
	watcher, updates := startWatch(t, oldPlatform, nil)
	oldPlatform.expectRequest(0, watchResponseHead)
	oldPlatform.writeChunks(eventLine(7, true, hostEntry(1, "ready")), singleChunkSize)
	updates.expect(t, "list 1/1/1/1")
	watcher.SetAddress(oldPlatform.address()) // the same address: no effect
	watcher.SetAddress(newPlatform.address())
	newPlatform.expectRequest(7, watchResponseHead)
	oldPlatform.writeChunks(eventLine(9, true), singleChunkSize)
	newPlatform.writeChunks(eventLine(8, false, hostEntry(2, "ready")), singleChunkSize)
	updates.expect(t, "list 1/1/1/1 2/0/1/2")
}

// TestResponseOfOldAddressIsIgnoredAfterChange checks that the response to a call at the old address is ignored if the
// address changes before the response arrives, and that the new address is called immediately.
func TestResponseOfOldAddressIsIgnoredAfterChange(t *testing.T) {
	t.Parallel()
	oldPlatform, newPlatform := startPlatform(t), startPlatform(t)
	watcher, updates := startWatch(t, oldPlatform, nil)
	oldPlatform.expectRequest(0, "")
	watcher.SetAddress(newPlatform.address())
	newPlatform.expectRequest(0, watchResponseHead)
	oldPlatform.write(watchResponseHead)
	oldPlatform.writeChunks(eventLine(9, true, hostEntry(3, "ready")), singleChunkSize)
	newPlatform.writeChunks(eventLine(8, true, hostEntry(1, "ready")), singleChunkSize)
	updates.expect(t, "list 1/1/1/1")
	newPlatform.writeChunks(eventLine(9, false, hostEntry(2, "ready")), singleChunkSize)
	updates.expect(t, "list 1/1/1/1 2/0/1/2")
}

// TestNewAddressIsCalledAfterFailure checks that after a failed poll the new address is called without another
// Subscribe, and that failures at both addresses do not change the cache.
func TestNewAddressIsCalledAfterFailure(t *testing.T) {
	t.Parallel()
	oldPlatform, newPlatform := startPlatform(t), startPlatform(t)
	watcher, updates := startWatch(t, oldPlatform, nil)
	oldPlatform.expectRequest(0, watchResponseHead)
	oldPlatform.writeChunks(eventLine(8, true, hostEntry(1, "ready")), singleChunkSize)
	updates.expect(t, "list 1/1/1/1")
	oldPlatform.disconnect()
	updates.expect(t, "poll failed")
	watcher.SetAddress(newPlatform.address())
	newPlatform.expectRequest(8, unavailableResponse)
	updates.expect(t, "poll failed")
	if cached := watcher.Endpoints(); len(cached) != 1 || cached[0].Status != model.EndpointReady {
		t.Fatalf("cached endpoints %v, want one that is ready", cached)
	}
	watcher.Subscribe()
	newPlatform.expectRequest(8, watchResponseHead)
	newPlatform.writeChunks(eventLine(9, false, hostEntry(2, "ready")), singleChunkSize)
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
	platform.writeChunks(eventLine(8, true, hostEntry(1, "ready")), singleChunkSize)
	updates.expect(t, "list 1/1/1/1")
	watcher.mu.Lock() // makes both changes before the watcher checks the address
	watcher.address = other.address()
	watcher.mu.Unlock()
	watcher.SetAddress(platform.address())
	platform.expectNoRequest(200 * time.Millisecond)
	other.expectNoRequest(time.Millisecond)
	platform.writeChunks(eventLine(9, false, hostEntry(2, "ready")), singleChunkSize)
	updates.expect(t, "list 1/1/1/1 2/0/1/2")
}
