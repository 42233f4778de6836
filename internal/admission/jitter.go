package admission

import (
	"encoding/binary"
	"hash/fnv"

	"peppervale/internal/model"
)

// jitterSource draws pseudo-random durations that are determined by a seed and the number of draws.
type jitterSource struct {
	seed  uint64
	draws uint64
}

// draw returns a duration from 0 up to, but excluding, limit; it returns 0 for a limit of 0 or less.
func (j *jitterSource) draw(limit model.Microseconds) model.Microseconds {
	if limit <= 0 {
		return 0
	}
	j.draws++
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:], j.seed)
	binary.LittleEndian.PutUint64(input[8:], j.draws)
	hash := fnv.New64a()
	hash.Write(input[:])
	return model.Microseconds(hash.Sum64() % uint64(limit))
}
