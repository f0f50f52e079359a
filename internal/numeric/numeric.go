// Package numeric bounds the numbers that users, workers, the cloud, the state service, peers and
// settings send, before the controllers calculate with them.
//
// The protocol sets no upper limit for an amount, and a float64 holds numbers up to 1.8e308. Their
// sums and products overflow to infinity, which JSON can't encode, and Go leaves undefined what a
// number becomes that does not fit into the integer to which it is converted. An amount is
// therefore bounded where it enters the program, and conversions go through this package.
package numeric

import (
	"math"
	"time"
)

// MaxAmount bounds amounts: CPUs, GPUs, GB, prices, rates and durations in seconds (31 years).
// Sums of them over all tasks and machines keep their digits, and a few times as many seconds still
// fit into a time.Duration.
const MaxAmount = 1e9

// MaxInt bounds the integers that Int returns. A float64 holds every integer up to it exactly.
const MaxInt = 1 << 53

// Amount returns the closest number to v between -MaxAmount and MaxAmount, or 0 if v is NaN.
func Amount(v float64) float64 { return bound(v, MaxAmount) }

// Amounts replaces each amount by Amount of it.
func Amounts(amounts ...*float64) {
	for _, amount := range amounts {
		*amount = Amount(*amount)
	}
}

// Duration converts a number of seconds, bounded by Amount, to a duration.
func Duration(seconds float64) time.Duration {
	return time.Duration(Amount(seconds) * float64(time.Second))
}

// ScaledDuration returns d multiplied by a factor. The result is bounded like that of Duration.
func ScaledDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(bound(float64(d)*factor, MaxAmount*float64(time.Second)))
}

// Int converts v to an integer, rounding towards zero. The result is between -MaxInt and MaxInt, and 0
// if v is NaN.
func Int(v float64) int { return int(bound(v, MaxInt)) }

// bound returns the closest number to v between -limit and limit, or 0 if v is NaN.
func bound(v, limit float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return min(max(v, -limit), limit)
}
