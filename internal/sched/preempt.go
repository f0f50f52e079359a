package sched

import (
	"cmp"
	"slices"
)

// Victim is a task that could be preempted for another task.
type Victim struct {
	Task           string
	FreedResources Resources // resources that stopping it frees
	Cost           float64   // work that is lost by stopping it
	Index          int       // index by which the caller identifies it
}

// SelectVictims returns the tasks on one machine to stop so that a task fits there, choosing those that lose
// the least work, and the amount of work lost. It returns none if stopping all of them would not free
// enough: capacity that does not make the task fit is not freed. It sorts victims.
func SelectVictims(free, need Resources, victims []Victim) ([]Victim, float64) {
	slices.SortFunc(victims, func(a, b Victim) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Task, b.Task))
	})
	var selected []Victim
	for _, v := range victims {
		if free.Fits(need) {
			break
		}
		free = free.Add(v.FreedResources)
		selected = append(selected, v)
	}
	if !free.Fits(need) {
		return nil, 0
	}
	return dropUnneeded(free, need, selected)
}

// dropUnneeded removes victims that are no longer needed because a larger one was selected after
// them. It returns the others and their total cost.
func dropUnneeded(free, need Resources, selected []Victim) ([]Victim, float64) {
	cost := 0.0
	for i := 0; i < len(selected); {
		if reduced := free.Sub(selected[i].FreedResources); reduced.Fits(need) {
			free = reduced
			selected = slices.Delete(selected, i, i+1)
			continue
		}
		cost += selected[i].Cost
		i++
	}
	return selected, cost
}
