package balancer

import (
	"fmt"
	"hash/fnv"
)

// randomSource draws numbers from a seed: the same draws in each run.
type randomSource struct {
	seed  uint64
	draws int
}

// intn draws a number below n.
func (s *randomSource) intn(n int) int {
	hash := fnv.New64a()
	s.draws++
	_, _ = fmt.Fprint(hash, s.seed, " ", s.draws) // a hash takes every write
	return int(hash.Sum64() % uint64(n))
}
