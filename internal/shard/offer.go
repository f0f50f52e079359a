package shard

import (
	"cmp"
	"maps"
	"slices"

	"violetturn/internal/sched"
)

// Demand is how many tasks of one size other controllers are likely to look for.
type Demand struct {
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

// Fits tells whether the recorded form surely takes at most size bytes.
func (f Free) Fits(size int) bool {
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

// Trim leaves out machines until the recorded form surely takes at most size bytes, and
// tells how many. What stays is what peers most likely take: as much room for the demand
// as the bytes can name, and then the machines with most accelerators and processors.
//
// Without a demand, or where that order alone has room for more of it, only the order
// counts.
func (f Free) Trim(size int, demand []Demand) (left int) {
	if f.Fits(size) {
		return 0
	}
	order := inOrder(f)
	plain := selection{room: f, size: size}
	plain.clear()
	plain.fill(order)
	best := &plain
	if len(demand) > 0 {
		wanted := newSelection(f, order, size, demand)
		if wanted.served() > plain.servedOf(wanted.demand) {
			best = wanted
		}
	}
	left = len(f) - len(best.kept)
	maps.DeleteFunc(f, func(name string, _ [3]float64) bool { return !best.kept[name] })
	return left
}

// selection is a choice of machines whose recorded form takes at most size bytes.
type selection struct {
	room    Free
	size    int
	demand  []Demand
	kept    map[string]bool
	amounts map[[3]float64]bool
	bytes   int
}

// newSelection chooses machines for the demand, each size of task in proportion to how
// much of it is wanted, and fills up with the others in their order.
func newSelection(room Free, order []machineRoom, size int, demand []Demand) *selection {
	s := &selection{room: room, size: size, demand: heaviest(demand)}
	s.clear()
	queues := make([][]candidate, len(s.demand))
	for i, d := range s.demand {
		queues[i] = candidatesFor(room, d.Need)
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

// heaviest gives the sizes of task that are wanted most.
func heaviest(demand []Demand) []Demand {
	wanted := slices.DeleteFunc(slices.Clone(demand), func(d Demand) bool { return d.Tasks <= 0 })
	slices.SortStableFunc(wanted, func(a, b Demand) int { return cmp.Compare(b.Tasks, a.Tasks) })
	return wanted[:min(len(wanted), mostDemands)]
}

// candidate is a machine with room for so many tasks of a size.
type candidate struct {
	name  string
	slots float64
}

// candidatesFor lists the machines that take a task, those that take most first.
func candidatesFor(room Free, need sched.Resources) []candidate {
	var out []candidate
	for name, v := range room {
		if n := slots(Unvec(v), need); n > 0 {
			out = append(out, candidate{name, n})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.name, b.name))
	})
	return out
}

// slots tells how many tasks fit into room.
func slots(room, need sched.Resources) float64 {
	n := 0.0
	for room.Fits(need) && n < 1000 {
		room = room.Sub(need)
		n++
	}
	return n
}

func (s *selection) clear() {
	most := min(len(s.room), s.size/nameBytes)
	s.kept, s.amounts, s.bytes = make(map[string]bool, most), map[[3]float64]bool{}, emptyBytes
}

// add keeps a machine if it still fits.
func (s *selection) add(name string) bool {
	amount := s.room[name]
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

// machineRoom is a machine with its room.
type machineRoom struct {
	name   string
	amount [3]float64
}

// inOrder lists the machines, those with most accelerators and processors first.
func inOrder(room Free) []machineRoom {
	out := make([]machineRoom, 0, len(room))
	for name, amount := range room {
		out = append(out, machineRoom{name, amount})
	}
	slices.SortFunc(out, func(a, b machineRoom) int {
		x, y := a.amount, b.amount
		return cmp.Or(cmp.Compare(y[1], x[1]), cmp.Compare(y[0], x[0]), cmp.Compare(b.name, a.name))
	})
	return out
}

// fill keeps as many of the others as fit, in their order. It stops at the first that does
// not fit, so that none with less room stays in the place of one with more.
func (s *selection) fill(order []machineRoom) {
	for _, m := range order {
		if !s.kept[m.name] && !s.add(m.name) {
			return
		}
	}
}

func (s *selection) served() float64 { return s.servedOf(s.demand) }

// servedOf tells how many tasks of a demand the kept machines take.
func (s *selection) servedOf(demand []Demand) float64 {
	free := make([]sched.Resources, 0, len(s.kept))
	for _, name := range slices.Sorted(maps.Keys(s.kept)) {
		free = append(free, Unvec(s.room[name]))
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
