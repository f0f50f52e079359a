// Package sched makes the pure scheduling decisions: which machine a task is assigned to,
// which tasks are preempted, how a gang looks for room, what is rented, and how much of a
// team's quota a shard holds.
//
// Invariants:
//   - no decision does I/O; clocks and random numbers come from the caller, and the same input
//     gives the same decision;
//   - no task is assigned to a machine that lacks room for it or that its job does not allow;
//   - nothing is preempted for room that would not be enough;
//   - what the shards hold of a quota is never more than the limit.
package sched

import "slices"

// Host is a machine as a decision sees it.
type Host struct {
	Name, Shard, MachineType, Zone string
	Spot                           bool
	Capacity, Free                 Resources
	Stopping                       Resources       // of tasks that were told to stop
	Images                         map[string]bool // images that it likely has
	ServiceTasks, ArrayTasks       int             // tasks on it, by the kind of their jobs
	StartDelayS                    float64         // seconds until it can start a task, as far as is known
}

// TaskRequest is what one task of a job asks of a machine.
type TaskRequest struct {
	Need         Resources
	MachineTypes []string // nil: any
	Zone         string   // "": any
	AllowSpot    bool     // spot machines will do
	Image        string
	Service      bool                   // a service's replica
	ImageFetchS  float64                // seconds that fetching its image takes
	PreferImage  bool                   // fetching its image would make it miss its start objective
	RequireImage bool                   // only a machine that has its image will do
	ZoneAllowed  func(zone string) bool // the zones that the job's other tasks leave it; nil: any
}

// Allows reports whether the task may run on such a machine, room aside.
func (a *TaskRequest) Allows(machineType, zone string, spot bool) bool {
	return a.allowsKind(machineType, zone, spot) && (a.ZoneAllowed == nil || a.ZoneAllowed(zone))
}

// allowsKind is Allows without regard to the job's other tasks.
func (a *TaskRequest) allowsKind(machineType, zone string, spot bool) bool {
	return (a.MachineTypes == nil || slices.Contains(a.MachineTypes, machineType)) &&
		(a.Zone == "" || a.Zone == zone) && (a.AllowSpot || !spot)
}

// otherKindTasks returns the number of tasks of the other kind on a machine. Services' replicas
// stay and arrays' tasks end: kept apart, machines empty out and can be returned.
func otherKindTasks(h *Host, a *TaskRequest) int {
	if a.Service {
		return h.ArrayTasks
	}
	return h.ServiceTasks
}

// emptyShare returns how empty a machine would be after taking the task: the larger of the
// shares of its processors and its accelerators that would stay free.
func emptyShare(h *Host, need Resources) float64 {
	left := h.Free.Sub(need)
	share := 0.0
	if h.Capacity.CPUs > 0 {
		share = left.CPUs / h.Capacity.CPUs
	}
	if h.Capacity.GPUs > 0 {
		share = max(share, left.GPUs/h.Capacity.GPUs)
	}
	return share
}
