package numeric

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawNumber draws any float64, often one at the end of its range.
func drawNumber(t *rapid.T) float64 {
	ends := []float64{
		0, math.Copysign(0, -1), 1, -1, MaxAmount, MaxInt, 1 << 62, 1 << 63, math.MaxFloat64, -math.MaxFloat64,
		math.SmallestNonzeroFloat64, math.Inf(1), math.Inf(-1), math.NaN(),
	}
	return rapid.OneOf(rapid.SampledFrom(ends), rapid.Float64()).Draw(t, "number")
}

// Each function returns the number itself while that is within the bounds, and otherwise the bound on
// its side. The order of two numbers is never reversed.
func TestNumbersAreBoundedInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawNumber(t), drawNumber(t)
		if got := Amount(a); math.IsNaN(got) || math.Abs(got) > MaxAmount || math.Abs(a) <= MaxAmount && got != a {
			t.Fatalf("Amount(%g) = %g, want the number itself or the closest bound", a, got)
		}
		if got := Int(a); got < -MaxInt || got > MaxInt || math.Abs(a) <= MaxInt && got != int(a) {
			t.Fatalf("Int(%g) = %d, want the integer part or the closest bound", a, got)
		}
		const longest = time.Duration(MaxAmount) * time.Second
		if got := Duration(a); got < -longest || got > longest {
			t.Fatalf("Duration(%g) = %v, want at most %v", a, got, longest)
		}
		if a <= b && (Amount(a) > Amount(b) || Int(a) > Int(b) || Duration(a) > Duration(b)) {
			t.Fatalf("the order of %g and %g is reversed", a, b)
		}
	})
}

// The durations of a few seconds keep their nanoseconds.
func TestDurationsConvertExactly(t *testing.T) {
	for seconds, want := range map[float64]time.Duration{1.5: 1500 * time.Millisecond, 0.000000001: 1, 45: 45 * time.Second} {
		if got := Duration(seconds); got != want {
			t.Errorf("Duration(%g) = %v, want %v", seconds, got, want)
		}
	}
	if got := ScaledDuration(10*time.Second, 0.25); got != 2500*time.Millisecond {
		t.Errorf("ScaledDuration(10s, 0.25) = %v, want 2.5s", got)
	}
	if got := ScaledDuration(time.Hour, math.MaxFloat64); got != MaxAmount*time.Second {
		t.Errorf("ScaledDuration(1h, %g) = %v, want the longest duration", math.MaxFloat64, got)
	}
}
