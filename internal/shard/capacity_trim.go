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

// Bytes of the recorded form around an amount and around a machine's name, rounded up.
const (
	amountBytes = 60
	nameBytes   = 4
	emptyBytes  = 2
)

// mostDemands is how many sizes of tasks a selection looks at, the most wanted ones.
const mostDemands = 8

// FitsIn reports whether the recorded form surely takes at most size bytes.
func (f FreeCapacity) FitsIn(size int) bool {
	bytes := emptyBytes
	for name := range f {
		bytes += len(name) + nameBytes
	}
	if bytes > size {
		return false
	}
	amounts := map[[3]float64]bool{}
	for _, amount := range f {
		amounts[amount] = true
	}
	return bytes+len(amounts)*amountBytes <= size
}

// TrimTo leaves out machines until the recorded form surely takes at most size bytes, and
// tells how many. What stays is what peers most likely take: as much room for the demand
// as the bytes can name, and then the machines with most accelerators and processors.
//
// Without a demand, or where that order alone has room for more of it, only the order
// counts.
func (f FreeCapacity) TrimTo(size int, demand []PeerDemand) (left int) {
	if f.FitsIn(size) {
		return 0
	}
	order := byCapacity(f)
	plain := machineSelection{capacity: f, size: size}
	plain.clear()
	plain.fill(order)
	best := &plain
	if len(demand) > 0 {
		wanted := newSelection(f, order, size, demand)
		if wanted.servedTasks() > plain.tasksServed(wanted.demand) {
			best = wanted
		}
	}
	left = len(f) - len(best.kept)
	maps.DeleteFunc(f, func(name string, _ [3]float64) bool { return !best.kept[name] })
	return left
}

// machineSelection is a choice of machines whose recorded form takes at most size bytes.
type machineSelection struct {
	capacity FreeCapacity
	size     int
	demand   []PeerDemand
	kept     map[string]bool
	amounts  map[[3]float64]bool
	bytes    int
}

// newSelection chooses machines for the demand, each size of task in proportion to how
// much of it is wanted, and fills up with the others in their order.
func newSelection(room FreeCapacity, order []machineCapacity, size int, demand []PeerDemand) *machineSelection {
	s := &machineSelection{capacity: room, size: size, demand: mostWanted(demand)}
	s.clear()
	queues := make([][]candidate, len(s.demand))
	for i, d := range s.demand {
		queues[i] = candidatesByFit(room, d.Need)
	}
	covered := make([]float64, len(s.demand))
	for {
		next := -1
		for i, d := range s.demand {
			if len(queues[i]) > 0 && covered[i] < d.Tasks && (next < 0 || covered[i]/d.Tasks < covered[next]/s.demand[next].Tasks) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		best := queues[next][0]
		queues[next] = queues[next][1:]
		if s.add(best.name) {
			covered[next] += best.slots
		}
	}
	s.fill(order)
	return s
}

// mostWanted returns the sizes of task that are wanted most.
func mostWanted(demand []PeerDemand) []PeerDemand {
	wanted := slices.DeleteFunc(slices.Clone(demand), func(d PeerDemand) bool { return d.Tasks <= 0 })
	slices.SortStableFunc(wanted, func(a, b PeerDemand) int { return cmp.Compare(b.Tasks, a.Tasks) })
	return wanted[:min(len(wanted), mostDemands)]
}

// candidate is a machine with room for so many tasks of a size.
type candidate struct {
	name  string
	slots float64
}

// candidatesByFit lists the machines that take a task, those that take most first.
func candidatesByFit(room FreeCapacity, need sched.Resources) []candidate {
	var out []candidate
	for name, v := range room {
		if n := countFits(Unvec(v), need); n > 0 {
			out = append(out, candidate{name, n})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.name, b.name))
	})
	return out
}

// countFits returns how many tasks fit into room.
func countFits(room, need sched.Resources) float64 {
	n := 0.0
	for room.Fits(need) && n < 1000 {
		room = room.Sub(need)
		n++
	}
	return n
}

func (s *machineSelection) clear() {
	most := min(len(s.capacity), s.size/nameBytes)
	s.kept, s.amounts, s.bytes = make(map[string]bool, most), map[[3]float64]bool{}, emptyBytes
}

// add keeps a machine if it still fits.
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

// machineCapacity is a machine with its room.
type machineCapacity struct {
	name string
	free [3]float64
}

// byCapacity lists the machines, those with most accelerators and processors first.
func byCapacity(room FreeCapacity) []machineCapacity {
	out := make([]machineCapacity, 0, len(room))
	for name, amount := range room {
		out = append(out, machineCapacity{name, amount})
	}
	slices.SortFunc(out, func(a, b machineCapacity) int {
		x, y := a.free, b.free
		return cmp.Or(cmp.Compare(y[1], x[1]), cmp.Compare(y[0], x[0]), cmp.Compare(b.name, a.name))
	})
	return out
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

func (s *machineSelection) servedTasks() float64 { return s.tasksServed(s.demand) }

// tasksServed returns how many tasks of a demand the kept machines take.
func (s *machineSelection) tasksServed(demand []PeerDemand) float64 {
	free := make([]sched.Resources, 0, len(s.kept))
	for _, name := range slices.Sorted(maps.Keys(s.kept)) {
		free = append(free, Unvec(s.capacity[name]))
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
