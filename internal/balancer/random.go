package balancer

import (
	"fmt"
	"hash/fnv"
)

// randomSource draws pseudorandom numbers. The same seed gives the same numbers in every run.
type randomSource struct {
	seed  uint64
	draws int
}

// intn draws a number from 0 to n-1.
func (s *randomSource) intn(n int) int {
	hash := fnv.New64a()
	s.draws++
	_, _ = fmt.Fprint(hash, s.seed, " ", s.draws) // writes to a hash never fail
	return int(hash.Sum64() % uint64(n))
}
