package standin

import (
	"hash/fnv"
	"math"
)

// Random draws random numbers from a seed, a name and a counter, so that the draws of one stand-in do not affect the
// draws of another.
type Random struct {
	base  uint64
	count uint64
}

// NewRandom returns the stream of random numbers of a seed and a name. Equal arguments give equal streams.
func NewRandom(seed uint64, name string) *Random {
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio; it spreads small seeds over all bits
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return &Random{base: hash.Sum64() ^ seed*goldenRatio}
}

// Float draws uniformly from [0, 1).
func (r *Random) Float() float64 {
	r.count++
	var input [16]byte
	for i := range 8 {
		input[i] = byte(r.base >> (8 * i))
		input[8+i] = byte(r.count >> (8 * i))
	}
	hash := fnv.New64a()
	hash.Write(input[:])
	return float64(mix(hash.Sum64())>>11) / (1 << 53)
}

// mix spreads the low bits of an FNV hash over its high bits: the last bytes of an FNV input hardly affect the hash's
// high bits. It is the first half of MurmurHash3's finalizer.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// IntN draws an integer uniformly from [0, n).
func (r *Random) IntN(n int) int { return int(r.Float() * float64(n)) }

// Between draws uniformly from [a, b).
func (r *Random) Between(a, b float64) float64 { return a + (b-a)*r.Float() }

// Interval draws the time in seconds until the next event of a Poisson process. rate is in events per second.
func (r *Random) Interval(rate float64) float64 { return -math.Log(1-r.Float()) / rate }

// LogNormal draws a log-normally distributed factor with mean 1 and the coefficient of variation cv.
func (r *Random) LogNormal(cv float64) float64 {
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	normal := math.Sqrt(-2*math.Log(1-r.Float())) * math.Cos(2*math.Pi*r.Float())
	return math.Exp(sigma*normal - sigma*sigma/2)
}
