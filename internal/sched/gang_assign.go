package sched

import (
	"cmp"
	"slices"
)

// GangTask is a task of a gang that needs a machine.
type GangTask struct {
	ZoneAllowed func(zone string) bool // the zones that the job's other tasks leave it; nil: any
	Assigned    func(zone string)      // is called with the zone that the task was assigned to; may be nil
}

// CountFits returns how many tasks, at most most, fit into the room of machines that the job
// may use.
func CountFits(hosts []*Host, a *TaskRequest, most int) int {
	n := 0
	for _, h := range hosts {
		if !a.Allows(h.MachineType, h.Zone, h.Spot) {
			continue
		}
		for free := h.Free; n < most && free.Fits(a.Need); n++ {
			free = free.Sub(a.Need)
		}
	}
	return n
}

// AssignGang returns a machine for each of the tasks, which start together, nil for one that
// finds none. It subtracts what it assigns from the machines' room.
//
// The shards are in the order in which they are asked, the own one first, so that few records
// change. In a shard, machines that can start a task soon come first (the last one decides
// when all run), then those that already have one of the tasks (fewer machines that the gang
// can be lost with, and one fetch for all), then the fullest fit, which leaves room beside
// accelerators to those who need them.
func AssignGang(shards [][]*Host, a *TaskRequest, tasks []GangTask) []*Host {
	assigned := make([]*Host, len(tasks))
	taken := map[*Host]bool{}
	for i, task := range tasks {
		request := *a
		if task.ZoneAllowed != nil {
			request.ZoneAllowed = task.ZoneAllowed
		}
		for _, hosts := range shards {
			if h := soonest(hosts, &request, taken); h != nil {
				assigned[i] = h
				taken[h] = true
				h.Free = h.Free.Sub(a.Need)
				if task.Assigned != nil {
					task.Assigned(h.Zone)
				}
				break
			}
		}
	}
	return assigned
}

// Unassign adds back to the machines' room what AssignGang subtracted.
func Unassign(hosts []*Host, a *TaskRequest) {
	for _, h := range hosts {
		if h != nil {
			h.Free = h.Free.Add(a.Need)
		}
	}
}

// soonest returns the machine of one shard for the next task of a gang, nil if none fits.
func soonest(hosts []*Host, a *TaskRequest, taken map[*Host]bool) *Host {
	delay := func(h *Host) float64 {
		if taken[h] { // another of the tasks fetches the image there
			return h.StartDelayS
		}
		return startDelayOn(h, a)
	}
	var best *Host
	for _, h := range hosts {
		if !h.Free.Fits(a.Need) || !a.Allows(h.MachineType, h.Zone, h.Spot) {
			continue
		}
		if best == nil {
			best = h
			continue
		}
		if c := cmp.Or(
			cmp.Compare(delay(h), delay(best)),
			-CompareBool(taken[h], taken[best]),
			cmp.Compare(emptyShare(h, a.Need), emptyShare(best, a.Need)),
			cmp.Compare(h.Name, best.Name),
		); c < 0 {
			best = h
		}
	}
	return best
}

// startDelayOn returns the seconds that a task takes to start on a machine, as far as is known.
func startDelayOn(h *Host, a *TaskRequest) float64 {
	if h.Images[a.Image] {
		return h.StartDelayS
	}
	return h.StartDelayS + a.ImageFetchS
}

// CompareBool orders false before true.
func CompareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// StartDelay returns the seconds that the last of some tasks takes to start on the machines
// that they are assigned to, as far as is known.
func StartDelay(hosts []*Host, a *TaskRequest) float64 {
	longest := 0.0
	for _, h := range hosts {
		if h != nil {
			longest = max(longest, startDelayOn(h, a))
		}
	}
	return longest
}

// CountUnassigned returns the number of tasks that found no machine.
func CountUnassigned(hosts []*Host) int {
	n := 0
	for _, h := range hosts {
		if h == nil {
			n++
		}
	}
	return n
}

// CountShards returns the number of shards that the machines belong to.
func CountShards(hosts []*Host) int {
	var shards []string
	for _, h := range hosts {
		if h != nil && !slices.Contains(shards, h.Shard) {
			shards = append(shards, h.Shard)
		}
	}
	return len(shards)
}
