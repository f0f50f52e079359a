package sched

import (
	"cmp"
	"slices"
)

// GangTask is a gang task that needs a machine.
type GangTask struct {
	ZoneAllowed func(zone string) bool // zones allowed given the job's other tasks; nil: any
	OnAssigned  func(zone string)      // called with the zone of the assigned machine; may be nil
}

// CountFits returns how many tasks fit into the free capacity of the machines that the job may use,
// counting up to maxTasks.
func CountFits(hosts []*Host, request *TaskRequest, maxTasks int) int {
	count := 0
	for _, h := range hosts {
		if !request.Allows(h.MachineType, h.Zone, h.Spot) {
			continue
		}
		for free := h.Free; count < maxTasks && free.Fits(request.Need); count++ {
			free = free.Sub(request.Need)
		}
	}
	return count
}

// AssignGang returns a machine for each of the tasks, which start together, and nil for each task
// that does not fit. It subtracts the assigned resources from the machines' free capacity.
//
// The shards are in search order, the job's own shard first, so that few records change. Within a
// shard, machines that can start a task soonest come first, since the gang runs only once its last
// task has started. Ties go to machines that already have a task of this gang (fewer machines whose
// loss ends the gang, and one image fetch for all their tasks), then to the machine that would be left
// fullest, which keeps free capacity beside GPUs for the tasks that need them.
func AssignGang(shards [][]*Host, request *TaskRequest, tasks []GangTask) []*Host {
	assigned := make([]*Host, len(tasks))
	gangHosts := map[*Host]bool{}
	for i, task := range tasks {
		taskRequest := *request
		if task.ZoneAllowed != nil {
			taskRequest.ZoneAllowed = task.ZoneAllowed
		}
		for _, hosts := range shards {
			if h := bestGangHost(hosts, &taskRequest, gangHosts); h != nil {
				assigned[i] = h
				gangHosts[h] = true
				h.Free = h.Free.Sub(request.Need)
				if task.OnAssigned != nil {
					task.OnAssigned(h.Zone)
				}
				break
			}
		}
	}
	return assigned
}

// Unassign adds the resources that AssignGang subtracted back to the machines' free capacity.
func Unassign(hosts []*Host, request *TaskRequest) {
	for _, h := range hosts {
		if h != nil {
			h.Free = h.Free.Add(request.Need)
		}
	}
}

// bestGangHost returns the machine of one shard for a gang's next task, or nil if none fits.
func bestGangHost(hosts []*Host, request *TaskRequest, gangHosts map[*Host]bool) *Host {
	delay := func(h *Host) float64 {
		if gangHosts[h] { // another task of the gang already fetches the image there
			return h.StartDelayS
		}
		return startDelayOn(h, request)
	}
	var best *Host
	for _, h := range hosts {
		if !h.Free.Fits(request.Need) || !request.Allows(h.MachineType, h.Zone, h.Spot) {
			continue
		}
		if best == nil {
			best = h
			continue
		}
		if c := cmp.Or(
			cmp.Compare(delay(h), delay(best)),
			-CompareBool(gangHosts[h], gangHosts[best]),
			cmp.Compare(freeShareAfter(h, request.Need), freeShareAfter(best, request.Need)),
			cmp.Compare(h.Name, best.Name),
		); c < 0 {
			best = h
		}
	}
	return best
}

// startDelayOn estimates how many seconds a task takes to start on a machine.
func startDelayOn(h *Host, request *TaskRequest) float64 {
	if h.Images[request.Image] {
		return h.StartDelayS
	}
	return h.StartDelayS + request.ImageFetchS
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

// StartDelay estimates how many seconds pass until the last of the tasks starts on its assigned
// machine.
func StartDelay(hosts []*Host, request *TaskRequest) float64 {
	maxDelay := 0.0
	for _, h := range hosts {
		if h != nil {
			maxDelay = max(maxDelay, startDelayOn(h, request))
		}
	}
	return maxDelay
}

// CountUnassigned returns the number of tasks without a machine.
func CountUnassigned(hosts []*Host) int {
	n := 0
	for _, h := range hosts {
		if h == nil {
			n++
		}
	}
	return n
}

// CountShards returns the number of shards to which the machines belong.
func CountShards(hosts []*Host) int {
	var shards []string
	for _, h := range hosts {
		if h != nil && !slices.Contains(shards, h.Shard) {
			shards = append(shards, h.Shard)
		}
	}
	return len(shards)
}
