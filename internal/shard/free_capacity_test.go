package shard

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"violetturn/internal/sched"
)

// A shard's free room reads back the same, and after trimming its recorded form
// fits: a record of hundreds of machines must not pass the limit of a value, and
// what is removed has no more room than what stays.
func TestFreeCapacityRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := FreeCapacity{}
		for i := range rapid.IntRange(0, 400).Draw(t, "machines") {
			f[fmt.Sprintf("i-%06d", i)] = sched.Resources{
				CPUs:  rapid.Float64Range(0, 96).Draw(t, "cpus"),
				GPUs:  float64(rapid.IntRange(0, 2).Draw(t, "gpus")),
				MemGB: float64(rapid.IntRange(0, 3).Draw(t, "mem")),
			}
		}
		raw, err := json.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		var g FreeCapacity
		if err = json.Unmarshal(raw, &g); err != nil || cmp.Diff(f, g) != "" {
			t.Fatalf("reads back differently: %v", err)
		}
		size := rapid.IntRange(100, 16<<10).Draw(t, "size")
		n := g.TrimTo(size, nil)
		if raw, err = json.Marshal(g); err != nil || len(raw) > size {
			t.Fatalf("%d bytes of %d, %v", len(raw), size, err)
		}
		if n != len(f)-len(g) {
			t.Fatalf("returns %d removed, not %d", n, len(f)-len(g))
		}
		most := 0.0
		for h, v := range f {
			if _, in := g[h]; !in {
				most = max(most, v.GPUs)
			}
		}
		for h, v := range g {
			if v.GPUs < most {
				t.Fatalf("%s stays with %v accelerators, one with %v is removed", h, v.GPUs, most)
			}
		}
	})
}
