package balancer

import (
	"fmt"
	"math"
	"math/big"
	"testing"
)

// bigPrecision is the precision of the reference values, in bits.
const bigPrecision = 200

func newBig(x float64) *big.Float { return new(big.Float).SetPrec(bigPrecision).SetFloat64(x) }

// bigLogarithm returns the natural logarithm of a number between 0 and 1, by the series of the inverse hyperbolic
// tangent after square roots.
func bigLogarithm(x float64) *big.Float {
	const squareRoots, terms = 12, 30
	root := newBig(x)
	for range squareRoots {
		root.Sqrt(root)
	}
	s := new(big.Float).Quo(new(big.Float).Sub(root, newBig(1)), new(big.Float).Add(root, newBig(1)))
	square := new(big.Float).Mul(s, s)
	sum, factor := newBig(0), newBig(0).Copy(s)
	for term := range terms {
		sum.Add(sum, new(big.Float).Quo(factor, newBig(float64(2*term+1))))
		factor.Mul(factor, square)
	}
	return sum.Mul(sum, newBig(2<<squareRoots))
}

// bigPower returns base to a power, by the power series of the exponential after halvings.
func bigPower(base, exponent float64) *big.Float {
	const halvings, terms = 16, 40
	x := new(big.Float).Mul(newBig(exponent), bigLogarithm(base))
	x.Quo(x, newBig(1<<halvings))
	sum, factor := newBig(1), newBig(1)
	for term := 1; term <= terms; term++ {
		factor.Quo(factor.Mul(factor, x), newBig(float64(term)))
		sum.Add(sum, factor)
	}
	for range halvings {
		sum.Mul(sum, sum)
	}
	return sum
}

// unitsInLastPlace is the difference of a value from a reference, in units of the value's last place.
func unitsInLastPlace(value float64, reference *big.Float) float64 {
	unit := math.Nextafter(value, 2) - value
	difference, _ := new(big.Float).Sub(newBig(value), reference).Float64()
	return math.Abs(difference) / unit
}

// The error of a power stays within its bound, for the bases and exponents that the balancer uses and others.
func TestPowerIsExactWithinItsBound(t *testing.T) {
	worst := 0.0
	for _, base := range []float64{0.9, 0.5, 1 / 1.4, 1.0 / 3, 0.05, 0.001, 0.999999, math.Sqrt2 / 2} {
		for n := range 400 {
			exponent := float64(n) / 61
			got := power(base, exponent)
			limit := 4.0
			for whole := int(exponent + 0.5); whole > 0; whole >>= 1 {
				limit += 2
			}
			limit += math.Floor(exponent + 0.5) // the error of a square grows with each multiplication
			units := unitsInLastPlace(got, bigPower(base, exponent))
			if units > limit {
				t.Errorf("power(%v, %v) is %v, which is %.1f units in the last place off, want at most %.1f",
					base, exponent, got, units, limit)
			}
			if exponent <= 1 {
				worst = max(worst, units)
			}
		}
	}
	t.Logf("at most %.2f units in the last place for exponents up to 1", worst)
}

// The bits of some powers are the same on every kind of machine.
func TestPowerHasTheSameBitsEverywhere(t *testing.T) {
	for _, tt := range []struct {
		base, exponent float64
		want           string
	}{
		{0.9, 1.25, "0x1.c0d2283abd99cp-01"},
		{0.5, 2.6, "0x1.51cb453b9536cp-03"},
		{0.9, 7.4, "0x1.d5904f6201c2fp-02"},
		{0.75, 0.37, "0x1.cc4d3fa7c5ecbp-01"},
		{0.05, 0.81, "0x1.69d8f9db8c3a4p-04"},
		{0.999999, 0.4, "0x1.fffff294066f1p-01"},
	} {
		if got := fmt.Sprintf("%x", power(tt.base, tt.exponent)); got != tt.want {
			t.Errorf("power(%v, %v) is %s, want %s", tt.base, tt.exponent, got, tt.want)
		}
	}
	for _, exact := range []struct{ base, exponent, want float64 }{
		{0.5, 0, 1}, {1, 0.37, 1}, {0.5, 3, 0.125}, {0.9, 1, 0.9}, {0.25, 0.5, 0.5}, {0.5, 5000, 0}, {0.9, 1e300, 0},
	} {
		if got := power(exact.base, exact.exponent); got != exact.want {
			t.Errorf("power(%v, %v) is %v, want %v", exact.base, exact.exponent, got, exact.want)
		}
	}
}
