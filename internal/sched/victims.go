package sched

import (
	"cmp"
	"slices"
)

// Victim is a task that could be preempted for another task.
type Victim struct {
	Task           string    // key of the task's placement; it orders victims of equal cost
	FreedResources Resources // resources that stopping it frees
	Cost           float64   // work lost by stopping it
	Index          int       // index by which the caller identifies the task
}

// SelectVictims returns the tasks on one machine to stop so that a task with the given need fits
// there, and the work lost. Tasks that lose less work are selected first. It returns none if the
// task fits already, or would not fit even with all victims stopped. It sorts victims.
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
	return removeUnneeded(free, need, selected)
}

// removeUnneeded removes victims that are no longer needed because a larger one was selected after
// them. It returns the others and their total cost.
func removeUnneeded(free, need Resources, selected []Victim) ([]Victim, float64) {
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
