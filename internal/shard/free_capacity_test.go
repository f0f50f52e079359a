package shard

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"violetturn/internal/sched"
)

// An encoded free capacity decodes to the same value. After trimming, the encoding of hundreds of
// machines is within the size limit, and no removed machine has more free GPUs than one that is
// kept.
func TestFreeCapacityRoundTripsAndFitsAfterTrim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := FreeCapacity{}
		for i := range rapid.IntRange(0, 400).Draw(t, "machines") {
			capacity[fmt.Sprintf("i-%06d", i)] = sched.Resources{
				CPUs:  rapid.Float64Range(0, 96).Draw(t, "cpus"),
				GPUs:  float64(rapid.IntRange(0, 2).Draw(t, "gpus")),
				MemGB: float64(rapid.IntRange(0, 3).Draw(t, "mem")),
			}
		}
		raw, err := json.Marshal(capacity)
		if err != nil {
			t.Fatalf("encoding the free capacity: %v", err)
		}
		var decoded FreeCapacity
		if err = json.Unmarshal(raw, &decoded); err != nil || cmp.Diff(capacity, decoded) != "" {
			t.Fatalf("decoded %v, error %v, want %v", decoded, err, capacity)
		}
		size := rapid.IntRange(100, 16<<10).Draw(t, "size")
		removed := decoded.TrimTo(size, nil)
		if raw, err = json.Marshal(decoded); err != nil || len(raw) > size {
			t.Fatalf("encoding after TrimTo has %d bytes, want at most %d; error %v", len(raw), size, err)
		}
		if removed != len(capacity)-len(decoded) {
			t.Fatalf("TrimTo() = %d machines removed, want %d", removed, len(capacity)-len(decoded))
		}
		maxRemovedGPUs := 0.0
		for machine, free := range capacity {
			if _, remains := decoded[machine]; !remains {
				maxRemovedGPUs = max(maxRemovedGPUs, free.GPUs)
			}
		}
		for machine, free := range decoded {
			if free.GPUs < maxRemovedGPUs {
				t.Fatalf("machine %s is kept with %v free GPUs, want at least %v as on a removed one", machine, free.GPUs, maxRemovedGPUs)
			}
		}
	})
}
