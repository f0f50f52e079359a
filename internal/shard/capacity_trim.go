package shard

import (
	"cmp"
	"maps"
	"slices"

	"violetturn/internal/sched"
)

// PeerDemand is the number of tasks of one size that peers are likely to place on
// machines of this shard.
type PeerDemand struct {
	Need  sched.Resources
	Tasks float64
}

// Upper bounds in bytes of parts of an encoded FreeCapacity.
const (
	groupOverheadBytes = 60 // a group of machines without their names: the resources and the syntax around them
	nameOverheadBytes  = 4  // the syntax around a machine's name
	emptyRecordBytes   = 2  // a record without machines
)

// maxDemands is the number of task sizes that a selection considers, those with the most tasks.
const maxDemands = 8

// maxTasksPerMachine is the highest number of tasks of a size that is counted for one machine.
const maxTasksPerMachine = 1000

// FitsIn reports whether the encoding certainly has at most maxBytes bytes. It uses upper bounds, so
// it may report false for an encoding that just fits.
func (f FreeCapacity) FitsIn(maxBytes int) bool {
	bytes := emptyRecordBytes
	for name := range f {
		bytes += len(name) + nameOverheadBytes
	}
	if bytes > maxBytes {
		return false
	}
	amounts := map[sched.Resources]bool{}
	for _, amount := range f {
		amounts[amount] = true
	}
	return bytes+len(amounts)*groupOverheadBytes <= maxBytes
}

// TrimTo removes machines until the encoding certainly has at most maxBytes bytes, and returns the
// number of machines removed. It keeps the machines that peers are most likely to use: first
// machines that fit the demand, then those with the most GPUs and CPUs.
//
// Without a demand, or if the machines with the most GPUs and CPUs alone fit at least as many tasks
// of it, TrimTo keeps just those.
func (f FreeCapacity) TrimTo(maxBytes int, demand []PeerDemand) (removed int) {
	if f.FitsIn(maxBytes) {
		return 0
	}
	order := sortedByCapacity(f)
	byCapacity := newSelection(f, maxBytes)
	byCapacity.fill(order)
	best := byCapacity
	if len(demand) > 0 {
		byDemand := newDemandSelection(f, order, maxBytes, demand)
		if byDemand.tasksServed(byDemand.demand) > byCapacity.tasksServed(byDemand.demand) {
			best = byDemand
		}
	}
	removed = len(f) - len(best.selected)
	maps.DeleteFunc(f, func(name string, _ sched.Resources) bool { return !best.selected[name] })
	return removed
}

// machineSelection is a set of machines whose encoded free capacity has at most maxBytes bytes.
type machineSelection struct {
	capacity FreeCapacity
	maxBytes int
	demand   []PeerDemand // the task sizes with the most tasks
	selected map[string]bool
	amounts  map[sched.Resources]bool // the distinct free capacities of the selected machines
	bytes    int
}

// newSelection returns a selection without machines.
func newSelection(capacity FreeCapacity, maxBytes int) *machineSelection {
	maxMachines := min(len(capacity), maxBytes/nameOverheadBytes)
	return &machineSelection{
		capacity: capacity, maxBytes: maxBytes, selected: make(map[string]bool, maxMachines),
		amounts: map[sched.Resources]bool{}, bytes: emptyRecordBytes,
	}
}

// newDemandSelection selects machines for the demand, for each task size in proportion to its
// number of tasks, and then adds other machines in the given order.
func newDemandSelection(capacity FreeCapacity, order []machineCapacity, maxBytes int, demand []PeerDemand) *machineSelection {
	s := newSelection(capacity, maxBytes)
	s.demand = highestDemands(demand)
	queues := make([]demandQueue, len(s.demand))
	for i, d := range s.demand {
		queues[i] = demandQueue{tasks: d.Tasks, candidates: candidatesByFit(capacity, d.Need)}
	}
	for {
		next := leastCovered(queues)
		if next == nil {
			break
		}
		machine := next.candidates[0]
		next.candidates = next.candidates[1:]
		if s.add(machine.name) {
			next.covered += machine.tasks
		}
	}
	s.fill(order)
	return s
}

// demandQueue holds the demand for one task size and the machines that could be selected for it.
type demandQueue struct {
	tasks, covered float64     // number of tasks in demand, and that fit on the machines selected for them
	candidates     []candidate // in descending order of tasks that fit
}

// leastCovered returns the queue with the lowest covered share of its tasks, nil if every queue is
// fully covered or has no more candidates.
func leastCovered(queues []demandQueue) *demandQueue {
	var least *demandQueue
	for i := range queues {
		q := &queues[i]
		if len(q.candidates) == 0 || q.covered >= q.tasks {
			continue
		}
		if least == nil || q.covered/q.tasks < least.covered/least.tasks {
			least = q
		}
	}
	return least
}

// highestDemands returns the task sizes with the most tasks, at most maxDemands, in descending order.
func highestDemands(demand []PeerDemand) []PeerDemand {
	positive := slices.DeleteFunc(slices.Clone(demand), func(d PeerDemand) bool { return d.Tasks <= 0 })
	slices.SortStableFunc(positive, func(a, b PeerDemand) int { return cmp.Compare(b.Tasks, a.Tasks) })
	return positive[:min(len(positive), maxDemands)]
}

// candidate is a machine with the number of tasks of one size that fit on it.
type candidate struct {
	name  string
	tasks float64
}

// candidatesByFit returns the machines that a task fits on, in descending order of tasks that fit.
func candidatesByFit(capacity FreeCapacity, need sched.Resources) []candidate {
	var fitting []candidate
	for name, free := range capacity {
		if tasks := countFits(free, need); tasks > 0 {
			fitting = append(fitting, candidate{name, tasks})
		}
	}
	slices.SortFunc(fitting, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.tasks, a.tasks), cmp.Compare(a.name, b.name))
	})
	return fitting
}

// countFits returns how many tasks fit into the free capacity, at most maxTasksPerMachine.
func countFits(free, need sched.Resources) float64 {
	n := 0.0
	for free.Fits(need) && n < maxTasksPerMachine {
		free = free.Sub(need)
		n++
	}
	return n
}

// add selects a machine if the encoding still fits into maxBytes bytes, and reports whether it does.
func (s *machineSelection) add(name string) bool {
	amount := s.capacity[name]
	cost := 0
	if !s.selected[name] {
		cost = len(name) + nameOverheadBytes
	}
	if !s.amounts[amount] {
		cost += groupOverheadBytes
	}
	if s.bytes+cost > s.maxBytes {
		return false
	}
	s.bytes += cost
	s.selected[name], s.amounts[amount] = true, true
	return true
}

// fill selects further machines in the given order. It stops at the first that does not fit, so
// that no machine with less free capacity is kept instead of one with more.
func (s *machineSelection) fill(order []machineCapacity) {
	for _, m := range order {
		if !s.selected[m.name] && !s.add(m.name) {
			return
		}
	}
}

// tasksServed returns how many tasks of a demand fit on the selected machines.
func (s *machineSelection) tasksServed(demand []PeerDemand) float64 {
	free := make([]sched.Resources, 0, len(s.selected))
	for _, name := range slices.Sorted(maps.Keys(s.selected)) {
		free = append(free, s.capacity[name])
	}
	served := 0.0
	for _, d := range demand {
		for i, remaining := 0, d.Tasks; i < len(free) && remaining >= 1; i++ {
			for remaining >= 1 && free[i].Fits(d.Need) {
				free[i] = free[i].Sub(d.Need)
				remaining--
				served++
			}
		}
	}
	return served
}

// machineCapacity is a machine with its free capacity.
type machineCapacity struct {
	name string
	free sched.Resources
}

// sortedByCapacity returns the machines in descending order of free GPUs, and of free CPUs if those
// are equal.
func sortedByCapacity(capacity FreeCapacity) []machineCapacity {
	order := make([]machineCapacity, 0, len(capacity))
	for name, amount := range capacity {
		order = append(order, machineCapacity{name, amount})
	}
	slices.SortFunc(order, func(a, b machineCapacity) int {
		x, y := a.free, b.free
		return cmp.Or(cmp.Compare(y.GPUs, x.GPUs), cmp.Compare(y.CPUs, x.CPUs), cmp.Compare(b.name, a.name))
	})
	return order
}
