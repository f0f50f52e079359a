package sched

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Nobody is stopped for room that is not enough, and nobody needlessly.
func TestPreempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free, need := drawResources(t, "free", 4), drawResources(t, "need", 8)
		var v []Victim
		all := free
		for i := range rapid.IntRange(0, 5).Draw(t, "victims") {
			v = append(
				v,
				Victim{Task: fmt.Sprint(i), FreedResources: drawResources(t, "room", 6), Cost: float64(rapid.IntRange(0, 9).Draw(t, "cost"))},
			)
			all = all.Add(v[i].FreedResources)
		}
		take, _ := SelectVictims(free, need, slices.Clone(v))
		if free.Fits(need) && len(take) > 0 {
			t.Fatal("stopped for room that was free")
		}
		got := free
		for _, x := range take {
			got = got.Add(x.FreedResources)
		}
		if len(take) > 0 && !got.Fits(need) {
			t.Fatal("stopped for nothing")
		}
		if !free.Fits(need) && all.Fits(need) && len(take) == 0 {
			t.Fatal("room that could be made was not")
		}
		for _, x := range take {
			if got.Sub(x.FreedResources).Fits(need) {
				t.Fatal("stopped needlessly")
			}
		}
	})
}
