package sched

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"

	"violetturn/internal/numeric"
)

// Resources is an amount of resources that a machine has or a task needs.
type Resources struct {
	CPUs, GPUs, MemGB float64

	// ReportBytes is the space in the heartbeats of the machine's worker: a machine has as much as one
	// message may hold, and each task needs its entry. It is not recorded: every controller calculates
	// it from the placements.
	ReportBytes float64 `json:"-"`
}

// epsilon absorbs rounding errors: amounts are decimal fractions, and their sums are not exact.
const epsilon = 1e-6

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+epsilon && need.GPUs <= r.GPUs+epsilon && need.MemGB <= r.MemGB+epsilon &&
		need.ReportBytes <= r.ReportBytes+epsilon
}

// Sub returns r minus n.
func (r Resources) Sub(n Resources) Resources {
	return Resources{r.CPUs - n.CPUs, r.GPUs - n.GPUs, r.MemGB - n.MemGB, r.ReportBytes - n.ReportBytes}
}

// Add returns the sum of r and n.
func (r Resources) Add(n Resources) Resources {
	return Resources{r.CPUs + n.CPUs, r.GPUs + n.GPUs, r.MemGB + n.MemGB, r.ReportBytes + n.ReportBytes}
}

// Scale returns r multiplied by k.
func (r Resources) Scale(k float64) Resources {
	return Resources{r.CPUs * k, r.GPUs * k, r.MemGB * k, r.ReportBytes * k}
}

// Min returns the lower amount of each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPUs, o.CPUs), min(r.GPUs, o.GPUs), min(r.MemGB, o.MemGB), min(r.ReportBytes, o.ReportBytes)}
}

// ApproxEqual reports whether two amounts are equal apart from rounding errors.
func (r Resources) ApproxEqual(o Resources) bool { return r.Fits(o) && o.Fits(r) }

// Compare orders amounts by CPUs, then GPUs, then memory.
func (r Resources) Compare(o Resources) int {
	return cmp.Or(cmp.Compare(r.CPUs, o.CPUs), cmp.Compare(r.GPUs, o.GPUs), cmp.Compare(r.MemGB, o.MemGB))
}

// Rounded returns r as it is recorded: rounded to six decimals, and without ReportBytes. Without rounding, sums of decimal
// fractions would collect more and more digits in the records. Negative amounts are truncated after
// half a step is added, so they are not always rounded to the nearest step.
func (r Resources) Rounded() Resources {
	return Resources{CPUs: round(r.CPUs), GPUs: round(r.GPUs), MemGB: round(r.MemGB)}
}

// RoundedUp is like Rounded, but returns the next higher step, so that the usage of many tasks that
// need less than a step each is not lost. Amounts within the rounding errors of sums of a step are
// rounded to it.
func (r Resources) RoundedUp() Resources {
	return Resources{CPUs: roundUp(r.CPUs), GPUs: roundUp(r.GPUs), MemGB: roundUp(r.MemGB)}
}

const (
	// roundingSteps is the number of rounding steps in an amount of 1.
	roundingSteps = 1e6
	// sumErrorSteps is the rounding error of a sum, in rounding steps.
	sumErrorSteps = 1e-3
	// maxRounded is the amount from which the digits of a float64 are as coarse as a rounding step.
	maxRounded = numeric.MaxInt / roundingSteps
)

func round(amount float64) float64 {
	if !(math.Abs(amount) < maxRounded) {
		return amount
	}
	return float64(int64(amount*roundingSteps+0.5)) / roundingSteps
}

func roundUp(amount float64) float64 {
	if !(math.Abs(amount) < maxRounded) {
		return amount
	}
	steps := math.Ceil(amount*roundingSteps - sumErrorSteps)
	if steps == 0 {
		return 0 // not -0, which Ceil returns for a small negative number
	}
	return steps / roundingSteps
}

// maxRecorded bounds the amounts that are read from records, which may be sums over many tasks.
const maxRecorded = 1e6 * numeric.MaxAmount

// recordedResources is the JSON encoding of Resources: CPUs, GPUs, memory.
type recordedResources [3]float64

// MarshalJSON implements json.Marshaler. It does not round, and leaves out ReportBytes.
func (r Resources) MarshalJSON() ([]byte, error) {
	return json.Marshal(recordedResources{r.CPUs, r.GPUs, r.MemGB})
}

// UnmarshalJSON implements json.Unmarshaler. It bounds the amounts, so that sums of them are finite.
func (r *Resources) UnmarshalJSON(b []byte) error {
	var recorded recordedResources
	if err := json.Unmarshal(b, &recorded); err != nil {
		return fmt.Errorf("decoding resources: %w", err)
	}
	for i, amount := range recorded {
		recorded[i] = min(max(amount, -maxRecorded), maxRecorded)
	}
	*r = Resources{CPUs: recorded[0], GPUs: recorded[1], MemGB: recorded[2]}
	return nil
}
