package sched

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// The shares that shards acquire and release in any order never exceed the limit in total, cover the
// usage, and withhold little from other shards near the limit.
func TestQuotaShareSumNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Resources{GPUs: float64(rapid.IntRange(1, 200).Draw(t, "limit"))}
		held, used := [3]Resources{}, [3]Resources{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			shard := rapid.IntRange(0, 2).Draw(t, "shard")
			heldByOthers := held[(shard+1)%3].Add(held[(shard+2)%3])
			wantGPUs := max(0, used[shard].GPUs+float64(rapid.IntRange(-9, 9).Draw(t, "change")))
			if wanted := (Resources{GPUs: wantGPUs}); WithinQuota(limit, held[shard], wanted) {
				used[shard] = wanted
			} else if share, ok := QuotaShare(limit, heldByOthers, wanted); ok {
				held[shard], used[shard] = share, wanted
			} else if heldByOthers.GPUs+wantGPUs <= limit.GPUs {
				t.Fatalf("QuotaShare() refuses %v of the limit %v with %v held by other shards", wantGPUs, limit.GPUs, heldByOthers.GPUs)
			}
			if HoldsExcessQuota(limit, heldByOthers, held[shard], used[shard]) {
				share, ok := QuotaShare(limit, heldByOthers, used[shard])
				if !ok {
					t.Fatal("QuotaShare() is not ok for a shard that holds excess quota, want ok")
				}
				if held[shard] = share; HoldsExcessQuota(limit, heldByOthers, share, used[shard]) {
					t.Fatal("HoldsExcessQuota() = true after the excess was released, want false")
				}
			}
			sum := 0.0
			for i := range 3 {
				sum += held[i].GPUs
				if !WithinQuota(limit, held[i], used[i]) {
					t.Fatalf("shard %d uses %v, more than its share %v", i, used[i], held[i])
				}
			}
			if sum > limit.GPUs+epsilon {
				t.Fatalf("shards hold %v GPUs, want at most %v", sum, limit.GPUs)
			}
		}
	})
}

// Guards against a share that is no number, which can't be recorded, for a limit so small that its
// steps are zero, and against a share that does not cover the usage.
func TestQuotaShareCoversUsageOfAnyLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Resources{CPUs: drawAmount(t, "CPU limit"), GPUs: drawAmount(t, "GPU limit")}
		used := Resources{CPUs: drawAmount(t, "CPUs"), GPUs: drawAmount(t, "GPUs")}
		heldByOthers := Resources{CPUs: limit.CPUs / 4}
		share, ok := QuotaShare(limit, heldByOthers, used)
		if recorded := share.RoundedUp(); ok && !WithinQuota(limit, recorded, used.RoundedUp()) {
			t.Fatalf("share of the limit %v is %v, want it to cover the usage %v", limit, recorded, used)
		}
		if _, err := json.Marshal(share.RoundedUp()); err != nil {
			t.Fatalf("share of the limit %v for the usage %v can't be recorded: %v", limit, used, err)
		}
	})
}
