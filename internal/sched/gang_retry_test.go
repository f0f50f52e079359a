package sched

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The gang of the paper's Algorithm 2: it sleeps after a miss, what it sees while it
// sleeps is none, and it releases all claims after more misses in a row than the retry
// count.
func TestGangRetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		g := NewGangRetry()
		misses := 0
		var until time.Time
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(_ *rapid.T) {
				g.RecordClaim()
				misses, until = 0, time.Time{}
			},
			"miss": func(t *rapid.T) {
				asleep := now.Before(until)
				if !asleep {
					misses++
					until = now.Add(InitialRetryDelay)
				}
				rel := g.RecordMiss(now)
				if rel != (!asleep && misses > InitialMaxMisses) {
					t.Fatalf("releases %t after %d misses, asleep %t", rel, misses, asleep)
				}
				if rel {
					misses = 0
					if !g.HasReleasedClaims {
						t.Fatal("does not go before newer ones")
					}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
		})
	})
}
