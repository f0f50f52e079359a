package sched

import (
	"encoding/json"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// drawAmount draws an amount of any size, often one at an end of the range of a float64.
func drawAmount(t *rapid.T, label string) float64 {
	ends := []float64{
		0, math.SmallestNonzeroFloat64, 1e-300, 1e-7, 1e-6, 0.1, 1, 9e9, 1e10, 9.3e12, 1e15, 1e19, 1e300, math.MaxFloat64,
	}
	return rapid.OneOf(rapid.SampledFrom(ends), rapid.Float64Range(0, 1e12)).Draw(t, label)
}

// Guards against rounding that overflows: a machine of 9.3e12 GB was recorded with a negative amount.
func TestRoundingChangesAnAmountByLessThanAStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := drawAmount(t, "amount")
		got := Resources{MemGB: amount}.Rounded().MemGB
		if math.Abs(got-amount) > 1/roundingSteps+amount*1e-12 {
			t.Fatalf("%g is rounded to %g", amount, got)
		}
		if _, err := json.Marshal(Resources{MemGB: got}); err != nil {
			t.Fatalf("rounded amount can't be recorded: %v", err)
		}
	})
}

// Guards against usage that is lost when it is recorded: that of any number of tasks which need less
// than half a rounding step each was zero. Sums of decimal fractions keep their steps.
func TestRecordedUsageIsNotBelowTheUsage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := drawAmount(t, "amount")
		got := Resources{GPUs: amount}.RoundedUp().GPUs
		if got < amount-1e-9-amount*1e-12 || got > amount+1/roundingSteps+amount*1e-12 {
			t.Fatalf("%g is rounded up to %g", amount, got)
		}
	})
	for sum, want := range map[float64]float64{0.1 + 0.2: 0.3, 3 * 1.1: 3.3, 1e-7: 1e-6, 1. / 3: 0.333334, 8: 8, 0: 0} {
		if got := (Resources{GPUs: sum}).RoundedUp().GPUs; got != want || math.Signbit(got) {
			t.Errorf("%v is rounded up to %v, want %v", sum, got, want)
		}
	}
}

// Recorded amounts of any size are read as numbers whose sums are finite.
func TestRecordedAmountsAreBounded(t *testing.T) {
	var r Resources
	if err := json.Unmarshal([]byte(`[1.7e308,-1.7e308,1e9]`), &r); err != nil {
		t.Fatal(err)
	}
	if want := (Resources{CPUs: maxRecorded, GPUs: -maxRecorded, MemGB: 1e9}); r != want {
		t.Errorf("got %v, want %v", r, want)
	}
}
