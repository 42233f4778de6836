package lease

// Fence is the proxy's side of the lease protocol, for the proxy's own shard. The zero Fence has seen no epoch.
type Fence struct{ Epoch uint64 }

// Accept reports whether a message of an epoch is accepted. A newer epoch becomes the fence: changed is then true, and
// the proxy falls back to retry policies that are safe under every holder until the new holder has sent its own.
func (f *Fence) Accept(epoch uint64) (accepted, changed bool) {
	if epoch < f.Epoch {
		return false, false
	}
	changed = epoch > f.Epoch
	f.Epoch = epoch
	return true, changed
}
