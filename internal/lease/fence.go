package lease

// Fence is a proxy's side, for the shard that it is in. The zero Fence has seen nothing.
type Fence struct{ Epoch uint64 }

// Accept reports whether a message of an epoch may be obeyed. A newer epoch is the fence from then on: changed is then
// true, and retry policies fall back to what is safe under every holder until the new one has sent its own.
func (f *Fence) Accept(epoch uint64) (obey, changed bool) {
	if epoch < f.Epoch {
		return false, false
	}
	changed = epoch > f.Epoch
	f.Epoch = epoch
	return true, changed
}
