package statecache

import (
	"strconv"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
)

// PlacementIndex is what is placed on machines.
type PlacementIndex struct {
	Placements map[string]map[string]*PlacedTask // by machine and PlacementKey

	loads map[string]*MachineLoad // by machine, while nothing changes there
}

func newPlacementIndex() PlacementIndex {
	return PlacementIndex{Placements: map[string]map[string]*PlacedTask{}, loads: map[string]*MachineLoad{}}
}

// PlacedTask is one placement, as its machine has it.
type PlacedTask struct {
	UID        string
	RangeIndex int
	Index      int // within the task range
	Placement  *job.Placement
}

// TaskName returns the task's name on the wire.
func (p *PlacedTask) TaskName(j *Job) string {
	return api.TaskName(p.UID, p.RangeIndex*j.Record.RangeSize+p.Index)
}

// PlacementKey names a placement within this process. The task's own name needs the size of
// the job's task ranges, which a task range without its job's record does not tell.
func PlacementKey(uid string, rangeIndex, index int) string {
	return uid + "/" + strconv.Itoa(rangeIndex) + "/" + strconv.Itoa(index)
}

// addPlacement notes a placement of a task.
func (x *PlacementIndex) addPlacement(task *PlacedTask) {
	host := task.Placement.Host
	if x.Placements[host] == nil {
		x.Placements[host] = map[string]*PlacedTask{}
	}
	delete(x.loads, host)
	x.Placements[host][PlacementKey(task.UID, task.RangeIndex, task.Index)] = task
}

// RemovePlacement notes that a task's placement is over.
func (x *PlacementIndex) RemovePlacement(uid string, rangeIndex, index int, p *job.Placement) {
	delete(x.loads, p.Host)
	tasks := x.Placements[p.Host]
	delete(tasks, PlacementKey(uid, rangeIndex, index))
	if len(tasks) == 0 {
		delete(x.Placements, p.Host)
	}
}

// NumPriorities is how many priorities jobs have.
const NumPriorities = 4

// MachineLoad is what is placed on a machine. It is worked out by internal/capacity, which
// knows which tasks have ended, and kept here, where placements change.
type MachineLoad struct {
	Used              sched.Resources                // of the tasks that are not over
	Stopping          sched.Resources                // of those of them that are stopping
	RunningByPriority [NumPriorities]sched.Resources // of the others
	Services, Arrays  int                            // tasks that are not over, by their jobs' kind
	LastPlacedMS      int64                          // when the last of the tasks was placed, in milliseconds of the time of day
}

// CachedLoad returns what was last kept for a machine; nil if something has changed there since.
func (x *PlacementIndex) CachedLoad(host string) *MachineLoad { return x.loads[host] }

// CacheLoad keeps the load of a machine until something changes there.
func (x *PlacementIndex) CacheLoad(host string, load *MachineLoad) { x.loads[host] = load }

// InvalidateLoad drops what was kept for a machine. Who changes what a load rests on, other
// than by Apply, calls it: an attempt that has ended, an agent that is dropped.
func (x *PlacementIndex) InvalidateLoad(host string) { delete(x.loads, host) }

// InvalidateLoads drops what was kept for all machines.
func (x *PlacementIndex) InvalidateLoads() { clear(x.loads) }

// MachinesWithCachedLoad returns the machines whose loads are kept.
func (x *PlacementIndex) MachinesWithCachedLoad() []string {
	hosts := make([]string, 0, len(x.loads))
	for host := range x.loads {
		hosts = append(hosts, host)
	}
	return hosts
}
