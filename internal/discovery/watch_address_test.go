package discovery

import (
	"testing"
	"time"

	"peppervale/internal/model"
)

// TestAddressChangeDuringWatch shows that a discovery that moves is followed at its new address from the same
// version, and that the old one, still open, counts no more.
func TestAddressChangeDuringWatch(t *testing.T) {
	from, target := startPlatform(t), startPlatform(t)
	watcher, updates := startWatch(t, from, nil)
	from.expectRequest(0, watchHead)
	from.writeChunks(eventLine(7, true, hostEntry(1, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1")
	watcher.SetAddress(from.address()) // the same: nothing happens
	watcher.SetAddress(target.address())
	target.expectRequest(7, watchHead)
	from.writeChunks(eventLine(9, true), oneChunk)
	target.writeChunks(eventLine(8, false, hostEntry(2, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1 2/0/1/2")
}

// TestAddressChangeBeforeAnswer shows that a call that the change overtakes counts no more, however it is answered, and
// that the new address is called at once.
func TestAddressChangeBeforeAnswer(t *testing.T) {
	t.Parallel()
	from, target := startPlatform(t), startPlatform(t)
	watcher, updates := startWatch(t, from, nil)
	from.expectRequest(0, "")
	watcher.SetAddress(target.address())
	target.expectRequest(0, watchHead)
	from.write(watchHead)
	from.writeChunks(eventLine(9, true, hostEntry(3, "ready")), oneChunk)
	target.writeChunks(eventLine(8, true, hostEntry(1, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1")
	target.writeChunks(eventLine(9, false, hostEntry(2, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1 2/0/1/2")
}

// TestAddressChangeAfterFailure shows that the new address is called without another request after a failed poll, and
// that the cache stays through failures at both addresses.
func TestAddressChangeAfterFailure(t *testing.T) {
	t.Parallel()
	from, target := startPlatform(t), startPlatform(t)
	watcher, updates := startWatch(t, from, nil)
	from.expectRequest(0, watchHead)
	from.writeChunks(eventLine(8, true, hostEntry(1, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1")
	from.disconnect()
	updates.expect(t, "poll failed")
	watcher.SetAddress(target.address())
	target.expectRequest(8, unavailable)
	updates.expect(t, "poll failed")
	if cached := watcher.Endpoints(); len(cached) != 1 || cached[0].Status != model.EndpointReady {
		t.Fatalf("cached: %v", cached)
	}
	watcher.Subscribe()
	target.expectRequest(8, watchHead)
	target.writeChunks(eventLine(9, false, hostEntry(2, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1 2/0/1/2")
}

// TestAddressChangeThereAndBack shows that a change there and back is none, and that a change before the first
// subscription makes no call.
func TestAddressChangeThereAndBack(t *testing.T) {
	t.Parallel()
	platform, other := startPlatform(t), startPlatform(t)
	watcher, updates := newTestWatcher(t, other, nil)
	watcher.SetAddress(platform.address())
	platform.expectNoRequest(100 * time.Millisecond)
	watcher.Subscribe()
	platform.expectRequest(0, watchHead)
	platform.writeChunks(eventLine(8, true, hostEntry(1, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1")
	watcher.mu.Lock() // both changes before the watcher looks
	watcher.address = other.address()
	watcher.mu.Unlock()
	watcher.SetAddress(platform.address())
	platform.expectNoRequest(200 * time.Millisecond)
	other.expectNoRequest(time.Millisecond)
	platform.writeChunks(eventLine(9, false, hostEntry(2, "ready")), oneChunk)
	updates.expect(t, "list 1/1/1/1 2/0/1/2")
}
