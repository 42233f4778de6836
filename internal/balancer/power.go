package balancer

import "math"

// The functions of this file use only operations that IEEE 754 defines to the last bit, so that the same events give
// the same decisions on every kind of machine: math.Pow, math.Exp and math.Log have other code for each of them. The
// conversions of products keep the compiler from fusing a multiplication and an addition.

// ln2High and ln2Low are the natural logarithm of 2 in two parts. Products of ln2High with integers below 2^20 are
// exact.
const (
	ln2High = 0x1.62e42feep-1
	ln2Low  = 0x1.a39ef35793c76p-33
)

// Numbers of terms after which the series have converged to the last bit, for the arguments that they get.
const (
	logarithmTerms   = 12 // |s| at most 0.1716
	exponentialTerms = 15 // |x| at most 0.3466
)

// oddReciprocals are 1/1, 1/3, 1/5 and so on, and reciprocals 1/1, 1/2, 1/3 and so on: the factors of the series.
var oddReciprocals, reciprocals = func() (odd [logarithmTerms + 1]float64, all [exponentialTerms + 1]float64) {
	for term := range odd {
		odd[term] = 1 / float64(2*term+1)
	}
	for term := range all[1:] {
		all[term+1] = 1 / float64(term+1)
	}
	return odd, all
}()

// power returns base to a power. The base is from 0.001 to 1, the exponent 0 or more. The error is at most 4 units in
// the last place for exponents up to 1; beyond, each multiplication by the base or its square adds to it.
func power(base, exponent float64) float64 {
	switch exponent {
	case 0:
		return 1
	case 1:
		return base
	}
	whole, fraction := math.Modf(exponent)
	if fraction > 0.5 {
		fraction--
		whole++
	}
	result := 1.0
	switch fraction {
	case 0:
	case 0.5:
		result = math.Sqrt(base) // correctly rounded
	default:
		result = exponential(fraction * logarithm(base))
	}
	if whole >= maxWholeExponent { // a base below 1 gives 0 long before
		whole = maxWholeExponent
	}
	square := base
	for remaining := int64(whole); remaining > 0; remaining >>= 1 {
		if remaining&1 == 1 {
			result *= square
		}
		square *= square
	}
	return result
}

// maxWholeExponent bounds the exponent to integers that a float holds exactly.
const maxWholeExponent = 1 << 53

// logarithm returns the natural logarithm of a positive number, by the series of the inverse hyperbolic tangent:
// log(m) = 2 (s + s^3/3 + s^5/5 + ...) with s = (m-1)/(m+1).
func logarithm(x float64) float64 {
	mantissa, exponent := math.Frexp(x) // both exact
	if mantissa < math.Sqrt2/2 {
		mantissa *= 2
		exponent--
	}
	s := (mantissa - 1) / (mantissa + 1)
	square := s * s
	sum := 0.0
	for term := logarithmTerms; term >= 1; term-- {
		sum = float64(square * (sum + oddReciprocals[term]))
	}
	small := float64(2*s) + float64(2*s*sum)
	return float64(float64(exponent)*ln2High) + (small + float64(float64(exponent)*ln2Low))
}

// exponential returns e to a power between -700 and 700, by its power series after a reduction by powers of 2.
func exponential(x float64) float64 {
	exponent := math.Floor(x/math.Ln2 + 0.5)
	reduced := x - float64(exponent*ln2High) - float64(exponent*ln2Low)
	sum := 0.0
	for term := exponentialTerms; term >= 1; term-- {
		sum = float64(reduced * reciprocals[term] * (1 + sum))
	}
	return math.Ldexp(1+sum, int(exponent))
}
