package sched

import (
	"cmp"
	"slices"
)

// Victim is a task that could be preempted for another.
type Victim struct {
	Task           string
	FreedResources Resources // that its end frees
	Cost           float64   // work that stopping it loses
	Index          int       // the caller's own number for it
}

// SelectVictims returns the tasks on one machine to stop so that a task finds room there, losing
// the least work, and the work that is lost. It returns none when even all of them would not
// be enough: room that does not help is not taken. It sorts victims.
func SelectVictims(free, need Resources, victims []Victim) ([]Victim, float64) {
	slices.SortFunc(victims, func(a, b Victim) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Task, b.Task))
	})
	var taken []Victim
	for _, v := range victims {
		if free.Fits(need) {
			break
		}
		free = free.Add(v.FreedResources)
		taken = append(taken, v)
	}
	if !free.Fits(need) {
		return nil, 0
	}
	return withoutNeedless(free, need, taken)
}

// withoutNeedless leaves out victims that a later, larger one has made needless, and returns
// the others and their cost.
func withoutNeedless(free, need Resources, taken []Victim) ([]Victim, float64) {
	cost := 0.0
	for i := 0; i < len(taken); {
		if less := free.Sub(taken[i].FreedResources); less.Fits(need) {
			free = less
			taken = slices.Delete(taken, i, i+1)
			continue
		}
		cost += taken[i].Cost
		i++
	}
	return taken, cost
}
