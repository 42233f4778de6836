package simulation

import (
	"hash/fnv"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"peppervale/internal/model"
)

// RandomStream is a stream of random draws that is independent of all other streams.
type RandomStream struct{ *rand.Rand }

// NewRandomStream returns the stream that is determined by a seed and a name.
func NewRandomStream(seed uint64, name string) RandomStream {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return RandomStream{rand.New(rand.NewPCG(seed, hash.Sum64()))}
}

// Exponential draws an exponentially distributed duration with the given mean.
func (s RandomStream) Exponential(mean model.Microseconds) model.Microseconds {
	distribution := distuv.Exponential{Rate: 1 / float64(mean), Src: s}
	return model.Microseconds(distribution.Rand() + 0.5)
}
