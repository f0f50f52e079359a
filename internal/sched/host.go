// Package sched makes the pure decisions: which machine a task goes to, whose
// room is taken back, what is rented. It does no I/O; clocks and random numbers
// come from outside.
package sched

import "slices"

// Resources is an amount of a machine.
type Resources struct{ CPUs, GPUs, MemGB float64 }

const eps = 1e-6 // amounts are decimal fractions, sums of them are not exact

// Fits reports whether n fits into r.
func (r Resources) Fits(n Resources) bool {
	return n.CPUs <= r.CPUs+eps && n.GPUs <= r.GPUs+eps && n.MemGB <= r.MemGB+eps
}

// Sub takes n from r.
func (r Resources) Sub(n Resources) Resources {
	return Resources{r.CPUs - n.CPUs, r.GPUs - n.GPUs, r.MemGB - n.MemGB}
}

// Add adds n to r.
func (r Resources) Add(n Resources) Resources {
	return Resources{r.CPUs + n.CPUs, r.GPUs + n.GPUs, r.MemGB + n.MemGB}
}

// Scale multiplies r.
func (r Resources) Scale(k float64) Resources { return Resources{r.CPUs * k, r.GPUs * k, r.MemGB * k} }

// ApproxEqual reports whether two amounts are the same but for rounding.
func (r Resources) ApproxEqual(o Resources) bool { return r.Fits(o) && o.Fits(r) }

// Host is a machine as a decision sees it.
type Host struct {
	Name, Shard, MachineType, Zone string
	Spot                           bool
	Cap, Free                      Resources
	Stopping                       Resources       // of tasks on their way out
	Images                         map[string]bool // images that it likely has
	Services, Arrays               int             // tasks on it, by their jobs' shape
	StartDelayS                    float64         // seconds until it can take a start, as far as is known
}

// TaskRequest is what one task of a job asks of a machine.
type TaskRequest struct {
	Need         Resources
	MachineTypes []string // nil: any
	Zone         string   // "": any
	Spot         bool     // spot machines will do
	Image        string
	Service      bool                   // a service's replica
	FetchS       float64                // seconds that fetching its image takes
	PreferImage  bool                   // fetching its image would miss its aim
	RequireImage bool                   // only a machine that has its image will do
	ZoneAllowed  func(zone string) bool // what the job's other tasks leave; nil: any
}

// Allows reports whether the machine is one the task may run on, room aside.
func (a *TaskRequest) Allows(machineType, zone string, spot bool) bool {
	return a.allowsKind(machineType, zone, spot) && (a.ZoneAllowed == nil || a.ZoneAllowed(zone))
}

// allowsKind is the same but for what the job's other tasks leave.
func (a *TaskRequest) allowsKind(machineType, zone string, spot bool) bool {
	return (a.MachineTypes == nil || slices.Contains(a.MachineTypes, machineType)) && (a.Zone == "" || a.Zone == zone) && (a.Spot || !spot)
}

// emptyShare measures how empty a machine would be after taking the task: the larger
// of the shares of its processors and its accelerators that stay free.
func emptyShare(h *Host, n Resources) float64 {
	f := h.Free.Sub(n)
	share := 0.0
	if h.Cap.CPUs > 0 {
		share = f.CPUs / h.Cap.CPUs
	}
	if h.Cap.GPUs > 0 {
		share = max(share, f.GPUs/h.Cap.GPUs)
	}
	return share
}

// otherKindTasks counts the tasks of the other shape on a machine. Replicas stay,
// arrays' tasks end: kept apart, machines empty out and can be returned.
func otherKindTasks(h *Host, a *TaskRequest) int {
	if a.Service {
		return h.Arrays
	}
	return h.Services
}

// Victim is a task that could be stopped for another.
type Victim struct {
	Task string
	Room Resources
	Cost float64 // work that stopping it loses
	Ref  int     // the caller's own number for it
}

// Preempt picks tasks on one machine whose end makes room for the task, losing
// least, and tells what is lost. It returns none when even all of them would not
// be enough: room that does not help is not taken from anybody.
func Preempt(free Resources, need Resources, victims []Victim) ([]Victim, float64) {
	slices.SortFunc(victims, func(a, b Victim) int {
		switch {
		case a.Cost < b.Cost:
			return -1
		case a.Cost > b.Cost:
			return 1
		case a.Task < b.Task:
			return -1
		}
		return 1
	})
	var take []Victim
	for _, v := range victims {
		if free.Fits(need) {
			break
		}
		free = free.Add(v.Room)
		take = append(take, v)
	}
	if !free.Fits(need) {
		return nil, 0
	}
	// A later, larger victim may have made an earlier one needless.
	cost := 0.0
	for i := 0; i < len(take); {
		if less := free.Sub(take[i].Room); less.Fits(need) {
			free = less
			take = slices.Delete(take, i, i+1)
			continue
		}
		cost += take[i].Cost
		i++
	}
	return take, cost
}
