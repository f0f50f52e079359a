package sched

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// No victim is selected if even stopping all would free too little, and none that is not needed.
func TestSelectVictimsSelectsOnlyNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free, need := drawResources(t, "free", 4), drawResources(t, "need", 8)
		var victims []Victim
		freeWithAllStopped := free
		for i := range rapid.IntRange(0, 5).Draw(t, "victims") {
			victims = append(
				victims,
				Victim{
					Task: fmt.Sprint(i), FreedResources: drawResources(t, "freed", 6),
					Cost: float64(rapid.IntRange(0, 9).Draw(t, "cost")),
				},
			)
			freeWithAllStopped = freeWithAllStopped.Add(victims[i].FreedResources)
		}
		selected, _ := SelectVictims(free, need, slices.Clone(victims))
		if free.Fits(need) && len(selected) > 0 {
			t.Fatalf("selected victims %v, want none: %v fits into the free capacity %v", selected, need, free)
		}
		freed := free
		for _, victim := range selected {
			freed = freed.Add(victim.FreedResources)
		}
		if len(selected) > 0 && !freed.Fits(need) {
			t.Fatalf("stopping the selected victims %v leaves %v free, too little for %v", selected, freed, need)
		}
		if !free.Fits(need) && freeWithAllStopped.Fits(need) && len(selected) == 0 {
			t.Fatalf("no victim selected, although stopping all of them leaves %v free, enough for %v", freeWithAllStopped, need)
		}
		for _, victim := range selected {
			if freed.Sub(victim.FreedResources).Fits(need) {
				t.Fatalf("selected victim %v, which is not needed", victim)
			}
		}
	})
}
