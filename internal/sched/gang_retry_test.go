package sched

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The gang releases all its claims after more consecutive misses than the limit, as in Algorithm 2 of
// the paper. Misses within the delay after a counted miss are ignored, and a claim resets the count.
func TestGangRetryReleasesAfterTooManyMisses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		retry := NewGangRetry()
		misses := 0
		var delayedUntil time.Time
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(_ *rapid.T) {
				retry.RecordClaim()
				misses, delayedUntil = 0, time.Time{}
			},
			"miss": func(t *rapid.T) {
				delayed := now.Before(delayedUntil)
				if !delayed {
					misses++
					delayedUntil = now.Add(InitialRetryDelay)
				}
				release := retry.RecordMiss(now)
				if release != (!delayed && misses > InitialMaxMisses) {
					t.Fatalf("RecordMiss() = %t, want %t; misses %d, within the delay after a miss: %t", release, !release, misses, delayed)
				}
				if release {
					misses = 0
					if !retry.HasReleasedClaims {
						t.Fatal("HasReleasedClaims = false after RecordMiss() returned true, want true")
					}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
		})
	})
}
