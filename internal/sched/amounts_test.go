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
