package sched

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// After a miss the gang delays its next attempt, as in Algorithm 2 of the paper. Misses during the delay
// do not count, and the gang releases all its claims after more consecutive misses than the limit.
func TestGangRetry_ReleasesAfterTooManyMisses(t *testing.T) {
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
					delayedUntil = now.Add(InitialMissInterval)
				}
				release := retry.RecordMiss(now)
				if release != (!delayed && misses > InitialMaxMisses) {
					t.Fatalf("claims must be released: %t, want %t; misses %d, delayed %t", release, !release, misses, delayed)
				}
				if release {
					misses = 0
					if !retry.HasReleasedClaims {
						t.Fatal("gang not marked as having released its claims")
					}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
		})
	})
}
