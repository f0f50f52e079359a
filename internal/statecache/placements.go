package statecache

import (
	"strconv"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
)

// PlacementIndex contains the placements of tasks, by machine.
type PlacementIndex struct {
	Placements map[string]map[string]*PlacedTask // by machine and PlacementKey

	loads map[string]*MachineLoad // cached loads by machine, valid until the machine's load changes
}

func newPlacementIndex() PlacementIndex {
	return PlacementIndex{Placements: map[string]map[string]*PlacedTask{}, loads: map[string]*MachineLoad{}}
}

// PlacedTask is a task with its placement on a machine.
type PlacedTask struct {
	UID        string
	RangeIndex int
	Index      int // within the task range
	Placement  *job.Placement
}

// TaskName returns the name by which workers identify the task (see api.TaskName).
func (p *PlacedTask) TaskName(j *Job) string {
	return api.TaskName(p.UID, p.RangeIndex*j.Record.RangeSize+p.Index)
}

// PlacementKey returns the key of a placement within this process. It is not the task's name, which
// can't be computed without the job's main record: it depends on the size of the job's task ranges.
func PlacementKey(uid string, rangeIndex, index int) string {
	return uid + "/" + strconv.Itoa(rangeIndex) + "/" + strconv.Itoa(index)
}

// addPlacement adds a placement of a task to the index.
func (x *PlacementIndex) addPlacement(task *PlacedTask) {
	host := task.Placement.Host
	if x.Placements[host] == nil {
		x.Placements[host] = map[string]*PlacedTask{}
	}
	delete(x.loads, host)
	x.Placements[host][PlacementKey(task.UID, task.RangeIndex, task.Index)] = task
}

// RemovePlacement removes a placement of a task from the index.
func (x *PlacementIndex) RemovePlacement(uid string, rangeIndex, index int, p *job.Placement) {
	delete(x.loads, p.Host)
	tasks := x.Placements[p.Host]
	delete(tasks, PlacementKey(uid, rangeIndex, index))
	if len(tasks) == 0 {
		delete(x.Placements, p.Host)
	}
}

// NumPriorities is the number of job priorities.
const NumPriorities = 4

// MachineLoad is the load of a machine. It is computed by internal/capacity, which has access to the
// reports of ended tasks, and cached here, where placements change.
type MachineLoad struct {
	Used                     sched.Resources                // resources of the unfinished tasks
	Stopping                 sched.Resources                // resources of the unfinished tasks that have to stop
	RunningByPriority        [NumPriorities]sched.Resources // resources of the other unfinished tasks
	ServiceTasks, OtherTasks int                            // number of unfinished tasks: of services, and of arrays and gangs
	LastPlacedAt             time.Time                      // when the most recent of the tasks was placed
}

// CachedLoad returns the cached load of a machine; nil if there is none.
func (x *PlacementIndex) CachedLoad(host string) *MachineLoad { return x.loads[host] }

// CacheLoad caches the load of a machine until its placements change.
func (x *PlacementIndex) CacheLoad(host string, load *MachineLoad) { x.loads[host] = load }

// InvalidateLoad removes the cached load of a machine. It must be called after a change that affects
// the load but is not made by Apply: the end of an attempt, or the removal of an agent.
func (x *PlacementIndex) InvalidateLoad(host string) { delete(x.loads, host) }

// InvalidateLoads removes the cached loads of all machines.
func (x *PlacementIndex) InvalidateLoads() { clear(x.loads) }

// MachinesWithCachedLoad returns the names of the machines with a cached load.
func (x *PlacementIndex) MachinesWithCachedLoad() []string {
	hosts := make([]string, 0, len(x.loads))
	for host := range x.loads {
		hosts = append(hosts, host)
	}
	return hosts
}
