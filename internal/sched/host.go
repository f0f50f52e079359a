// Package sched makes the scheduling decisions as pure functions: which machine a task is placed
// on, which tasks are preempted, how a gang retries its search for capacity, which machines are
// rented, and how much of a team's quota a shard holds.
//
// Invariants:
//   - no decision does I/O; times and random sources come from the caller, and the same input
//     gives the same decision;
//   - a task is only placed on a machine that has enough free capacity and that its job allows;
//   - tasks are preempted only if that frees enough capacity;
//   - the shares of a quota that the shards hold never exceed the limit in total.
package sched

import "slices"

// Host is the view of a machine on which decisions are made.
type Host struct {
	Name, Shard, MachineType, Zone string
	Spot                           bool
	Capacity, Free                 Resources
	Stopping                       Resources       // resources of tasks that were sent a stop command
	Images                         map[string]bool // images that the machine probably has
	ServiceTasks, OtherTasks       int             // number of its tasks: of services, and of arrays and gangs
	StartDelayS                    float64         // estimated seconds until it can start a task
}

// TaskRequest is what one task of a job requires of a machine.
type TaskRequest struct {
	Need         Resources
	MachineTypes []string // nil: any
	Zone         string   // "": any
	AllowSpot    bool     // spot machines are allowed
	Image        string
	Service      bool                   // the task is a replica of a service
	ImageFetchS  float64                // seconds that fetching its image takes
	PreferImage  bool                   // fetching the image would make the task miss its start objective
	RequireImage bool                   // only machines that have the image are allowed
	ZoneAllowed  func(zone string) bool // zones allowed given the job's other tasks; nil: any
}

// Allows reports whether the task may run on such a machine. It does not check free capacity.
func (r *TaskRequest) Allows(machineType, zone string, spot bool) bool {
	return r.allowsMachine(machineType, zone, spot) && (r.ZoneAllowed == nil || r.ZoneAllowed(zone))
}

// allowsMachine is Allows without the check of ZoneAllowed.
func (r *TaskRequest) allowsMachine(machineType, zone string, spot bool) bool {
	return (r.MachineTypes == nil || slices.Contains(r.MachineTypes, machineType)) &&
		(r.Zone == "" || r.Zone == zone) && (r.AllowSpot || !spot)
}

// otherKindTasks returns the number of a machine's tasks that are of the other job kind. Replicas of
// services run on and other tasks end, so if the two are kept on separate machines, those with other
// tasks become empty and can be returned.
func otherKindTasks(h *Host, request *TaskRequest) int {
	if request.Service {
		return h.OtherTasks
	}
	return h.ServiceTasks
}

// freeShareAfter returns how empty a machine would be with the task on it: the larger of the shares
// of its CPUs and its GPUs that would stay free.
func freeShareAfter(h *Host, need Resources) float64 {
	remaining := h.Free.Sub(need)
	share := 0.0
	if h.Capacity.CPUs > 0 {
		share = remaining.CPUs / h.Capacity.CPUs
	}
	if h.Capacity.GPUs > 0 {
		share = max(share, remaining.GPUs/h.Capacity.GPUs)
	}
	return share
}
