package shard

import (
	"cmp"
	"maps"
	"slices"

	"violetturn/internal/sched"
)

// PeerDemand is how many tasks of one size other controllers are likely to look for.
type PeerDemand struct {
	Need  sched.Resources
	Tasks float64
}

// Bytes of the recorded form of a free capacity, rounded up.
const (
	amountBytes = 60 // of an amount and what surrounds its group
	nameBytes   = 4  // around a machine's name
	emptyBytes  = 2  // without machines
)

// mostDemands is how many sizes of tasks a selection looks at, the most wanted ones.
const mostDemands = 8

// mostSlots bounds how many tasks of a size are counted on one machine.
const mostSlots = 1000

// FitsIn reports whether the recorded form surely takes at most size bytes.
func (f FreeCapacity) FitsIn(size int) bool {
	bytes := emptyBytes
	for name := range f {
		bytes += len(name) + nameBytes
	}
	if bytes > size {
		return false
	}
	amounts := map[sched.Resources]bool{}
	for _, amount := range f {
		amounts[amount] = true
	}
	return bytes+len(amounts)*amountBytes <= size
}

// TrimTo removes machines until the recorded form surely takes at most size bytes, and
// returns how many it removed. What stays is what peers most likely take: as much room for
// the demand as the bytes can name, and then the machines with most accelerators and
// processors.
//
// Without a demand, or where that order alone has room for more of it, only the order
// counts.
func (f FreeCapacity) TrimTo(size int, demand []PeerDemand) (removed int) {
	if f.FitsIn(size) {
		return 0
	}
	order := byCapacity(f)
	plain := newSelection(f, size)
	plain.fill(order)
	best := plain
	if len(demand) > 0 {
		wanted := newDemandSelection(f, order, size, demand)
		if wanted.tasksServed(wanted.demand) > plain.tasksServed(wanted.demand) {
			best = wanted
		}
	}
	removed = len(f) - len(best.kept)
	maps.DeleteFunc(f, func(name string, _ sched.Resources) bool { return !best.kept[name] })
	return removed
}

// machineSelection is a choice of machines whose recorded form takes at most size bytes.
type machineSelection struct {
	capacity FreeCapacity
	size     int
	demand   []PeerDemand // the most wanted sizes of tasks
	kept     map[string]bool
	amounts  map[sched.Resources]bool // of the kept machines
	bytes    int
}

// newSelection returns a selection without machines.
func newSelection(capacity FreeCapacity, size int) *machineSelection {
	most := min(len(capacity), size/nameBytes)
	return &machineSelection{
		capacity: capacity, size: size, kept: make(map[string]bool, most), amounts: map[sched.Resources]bool{}, bytes: emptyBytes,
	}
}

// newDemandSelection chooses machines for the demand, each size of task in proportion to how
// much of it is wanted, and fills up with the others in their order.
func newDemandSelection(capacity FreeCapacity, order []machineCapacity, size int, demand []PeerDemand) *machineSelection {
	s := newSelection(capacity, size)
	s.demand = mostWanted(demand)
	queues := make([]demandQueue, len(s.demand))
	for i, d := range s.demand {
		queues[i] = demandQueue{tasks: d.Tasks, candidates: candidatesByFit(capacity, d.Need)}
	}
	for {
		next := leastCovered(queues)
		if next == nil {
			break
		}
		best := next.candidates[0]
		next.candidates = next.candidates[1:]
		if s.add(best.name) {
			next.covered += best.slots
		}
	}
	s.fill(order)
	return s
}

// demandQueue is a size of task with the machines that could be kept for it.
type demandQueue struct {
	tasks, covered float64     // wanted, and that the machines kept for it take
	candidates     []candidate // those that take most first
}

// leastCovered returns the queue with the lowest covered share of its tasks, nil if each has
// enough or no more candidates.
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

// mostWanted returns the sizes of task that are wanted most.
func mostWanted(demand []PeerDemand) []PeerDemand {
	wanted := slices.DeleteFunc(slices.Clone(demand), func(d PeerDemand) bool { return d.Tasks <= 0 })
	slices.SortStableFunc(wanted, func(a, b PeerDemand) int { return cmp.Compare(b.Tasks, a.Tasks) })
	return wanted[:min(len(wanted), mostDemands)]
}

// candidate is a machine with room for a number of tasks of a size.
type candidate struct {
	name  string
	slots float64
}

// candidatesByFit returns the machines that take a task, those that take most first.
func candidatesByFit(capacity FreeCapacity, need sched.Resources) []candidate {
	var fitting []candidate
	for name, room := range capacity {
		if slots := countFits(room, need); slots > 0 {
			fitting = append(fitting, candidate{name, slots})
		}
	}
	slices.SortFunc(fitting, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.name, b.name))
	})
	return fitting
}

// countFits returns how many tasks fit into room.
func countFits(room, need sched.Resources) float64 {
	n := 0.0
	for room.Fits(need) && n < mostSlots {
		room = room.Sub(need)
		n++
	}
	return n
}

// add keeps a machine if it still fits, and reports whether it does.
func (s *machineSelection) add(name string) bool {
	amount := s.capacity[name]
	cost := 0
	if !s.kept[name] {
		cost = len(name) + nameBytes
	}
	if !s.amounts[amount] {
		cost += amountBytes
	}
	if s.bytes+cost > s.size {
		return false
	}
	s.bytes += cost
	s.kept[name], s.amounts[amount] = true, true
	return true
}

// fill keeps as many of the others as fit, in their order. It stops at the first that does
// not fit, so that none with less room stays in the place of one with more.
func (s *machineSelection) fill(order []machineCapacity) {
	for _, m := range order {
		if !s.kept[m.name] && !s.add(m.name) {
			return
		}
	}
}

// tasksServed returns how many tasks of a demand the kept machines take.
func (s *machineSelection) tasksServed(demand []PeerDemand) float64 {
	free := make([]sched.Resources, 0, len(s.kept))
	for _, name := range slices.Sorted(maps.Keys(s.kept)) {
		free = append(free, s.capacity[name])
	}
	served := 0.0
	for _, d := range demand {
		for i, left := 0, d.Tasks; i < len(free) && left >= 1; i++ {
			for left >= 1 && free[i].Fits(d.Need) {
				free[i] = free[i].Sub(d.Need)
				left--
				served++
			}
		}
	}
	return served
}

// machineCapacity is a machine with its room.
type machineCapacity struct {
	name string
	free sched.Resources
}

// byCapacity returns the machines, those with most accelerators and processors first.
func byCapacity(capacity FreeCapacity) []machineCapacity {
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
