package sched

import (
	"testing"

	"pgregory.net/rapid"
)

// Shares of a limit, acquired and released by shards in any order, never sum up to
// more than the limit, cover what is used, and keep little from the others when
// the limit is near.
func TestQuotaShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Resources{GPUs: float64(rapid.IntRange(1, 200).Draw(t, "limit"))}
		held, use := [3]Resources{}, [3]Resources{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p := rapid.IntRange(0, 2).Draw(t, "shard")
			others := held[(p+1)%3].Add(held[(p+2)%3])
			want := max(0, use[p].GPUs+float64(rapid.IntRange(-9, 9).Draw(t, "change")))
			if n := (Resources{GPUs: want}); WithinQuota(limit, held[p], n) {
				use[p] = n
			} else if h, ok := QuotaShare(limit, others, n); ok {
				held[p], use[p] = h, n
			} else if others.GPUs+want <= limit.GPUs {
				t.Fatalf("%v refused of %v with %v held elsewhere", want, limit.GPUs, others.GPUs)
			}
			if HoldsExcessQuota(limit, others, held[p], use[p]) {
				h, ok := QuotaShare(limit, others, use[p])
				if !ok {
					t.Fatal("can't release the excess")
				}
				if held[p] = h; HoldsExcessQuota(limit, others, h, use[p]) {
					t.Fatal("releases too little")
				}
			}
			sum := 0.0
			for q := range 3 {
				sum += held[q].GPUs
				if !WithinQuota(limit, held[q], use[q]) {
					t.Fatalf("uses %v of %v", use[q], held[q])
				}
			}
			if sum > limit.GPUs+epsilon {
				t.Fatalf("%v held of %v", sum, limit.GPUs)
			}
		}
	})
}
