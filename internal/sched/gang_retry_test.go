package sched

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The gang releases all its claims after more consecutive misses than the limit, as in Algorithm 2 of
// the paper (see internal/scheduler). Misses soon after a counted miss are ignored, and a claim
// resets the count.
func TestGangRetryReleasesAfterTooManyMisses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		retry := NewGangRetry()
		misses := 0
		var ignoreMissesBefore time.Time
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(_ *rapid.T) {
				retry.RecordClaim()
				misses, ignoreMissesBefore = 0, time.Time{}
			},
			"miss": func(t *rapid.T) {
				ignored := now.Before(ignoreMissesBefore)
				if !ignored {
					misses++
					ignoreMissesBefore = now.Add(InitialMissInterval)
				}
				release := retry.RecordMiss(now)
				if release != (!ignored && misses > InitialMaxMisses) {
					t.Fatalf("RecordMiss() = %t, want %t; misses %d, soon after a counted miss: %t", release, !release, misses, ignored)
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
