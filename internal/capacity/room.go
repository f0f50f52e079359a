package capacity

import (
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/catalog"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// Calculator is what is placed on machines and what room they have left. It keeps nothing itself: what
// is worked out stands in the cache of internal/statecache. The lock of internal/state guards it.
type Calculator struct {
	node       *node.Info
	cache      *statecache.Cache
	leadership *leadership.Table
	catalog    *catalog.Catalog
	agents     *agent.Registry
}

// CalculatorDeps is what a room reads.
type CalculatorDeps struct {
	Node       *node.Info
	Cache      *statecache.Cache
	Leadership *leadership.Table
	Catalog    *catalog.Catalog
	Agents     *agent.Registry
}

// NewCalculator returns the room of the machines in a cache.
func NewCalculator(d CalculatorDeps) *Calculator {
	return &Calculator{node: d.Node, cache: d.Cache, leadership: d.Leadership, catalog: d.Catalog, agents: d.Agents}
}

// LoadOf returns what is placed on a machine. A plan asks for that of all machines,
// so it is worked out only when something has changed there: whoever changes what
// it rests on (placements, the jobs' records, ended attempts) drops it.
func (r *Calculator) LoadOf(host string) *statecache.MachineLoad {
	load := r.cache.CachedLoad(host)
	if load != nil {
		return load
	}
	load = &statecache.MachineLoad{}
	for id, task := range r.cache.Placements[host] {
		job := r.cache.Jobs[task.UID]
		if job != nil {
			load.LastPlacedMS = max(load.LastPlacedMS, job.Record.AcceptedMS+task.Placement.PlacedS*1000)
		}
		if r.agents.IsCompleted(host, id, task) {
			continue
		}
		if job == nil {
			load.Arrays++
			continue
		}
		need := statecache.ResourcesOf(&job.Record.Spec)
		load.Used = load.Used.Add(need)
		if job.Record.Spec.Kind == api.Service {
			load.Services++
		} else {
			load.Arrays++
		}
		if job.MustStop(task.Placement) {
			load.Stopping = load.Stopping.Add(need)
		} else if priority := job.Record.Spec.Priority.Level(); priority < len(load.RunningByPriority) {
			load.RunningByPriority[priority] = load.RunningByPriority[priority].Add(need)
		}
	}
	r.cache.CacheLoad(host, load)
	return load
}

// UnfinishedTasks counts the tasks on a machine that have not ended.
func (r *Calculator) UnfinishedTasks(host string) int {
	load := r.LoadOf(host)
	return load.Services + load.Arrays
}

// StartDelay estimates how many seconds a start on a machine waits for the worker's next
// heartbeat: one whose token was raised a moment ago can't be made to send one by another raise.
// On a peer's machine that is so if a task was placed there.
func (r *Calculator) StartDelay(host string, load *statecache.MachineLoad, now time.Time) float64 {
	raised := time.UnixMilli(load.LastPlacedMS)
	if worker := r.agents.Agent(host); worker != nil {
		raised = worker.LastTokenChange()
	}
	if now.Sub(raised) < r.node.Settings.WorkerLease()/2 {
		return r.node.Settings.HeartbeatInterval().Seconds() / 2
	}
	return 0
}

// WithPreemptibleCapacity returns copies of the machines with the room of tasks of a lower priority
// added to what is free: that need not be kept, it can be taken when needed.
func (r *Calculator) WithPreemptibleCapacity(hosts []*sched.Host, priority int) []*sched.Host {
	copies := make([]sched.Host, len(hosts)) // one allocation for all
	out := make([]*sched.Host, len(hosts))
	for i, host := range hosts {
		copies[i] = *host
		load := r.LoadOf(host.Name)
		for lower := priority + 1; lower < len(load.RunningByPriority); lower++ {
			copies[i].Free = copies[i].Free.Add(load.RunningByPriority[lower])
		}
		out[i] = &copies[i]
	}
	return out
}

// maxMissedHeartbeats is after how many heartbeat intervals without one a machine gets no tasks.
const maxMissedHeartbeats = 3

// isSchedulable reports whether a machine of an own shard can take tasks.
func (r *Calculator) isSchedulable(host string, now time.Time) bool {
	worker := r.agents.Agent(host)
	if worker == nil || !worker.Fenced() || worker.Terminated || worker.LeaseExpired || worker.Cordoned || worker.Unresponsive() {
		return false
	}
	return worker.Heartbeat.SpotNoticeS == nil && !now.Before(worker.AvoidUntil) &&
		now.Sub(worker.LastSeen) < maxMissedHeartbeats*r.node.Settings.HeartbeatInterval()
}

// freeInShard computes the free room of the usable machines of an own shard from the
// committed placements, less those that have ended. A machine without any is left out.
func (r *Calculator) freeInShard(shardName string, now time.Time) map[string]sched.Resources {
	free := map[string]sched.Resources{}
	for _, host := range r.cache.MachineNames() {
		if r.cache.Machines[host].Shard != shardName {
			continue
		}
		if room, _, ok := r.FreeOnMachine(host, now); ok {
			free[host] = room
		}
	}
	return free
}

// minFree is the least of a resource that counts as free: sums of decimal fractions are not exact.
const minFree = 1e-6

// FreeOnMachine returns the free room of a machine of an own shard, and the size of the machine;
// false if it has none or can't take tasks.
func (r *Calculator) FreeOnMachine(host string, now time.Time) (free, size sched.Resources, ok bool) {
	if !r.isSchedulable(host, now) {
		return sched.Resources{}, sched.Resources{}, false
	}
	size, machineType := r.catalog.MachineCapacity(r.cache.Machines[host].MachineType)
	if machineType == nil {
		return sched.Resources{}, size, false
	}
	free = size.Sub(r.LoadOf(host).Used)
	return free, size, free.CPUs > minFree && free.MemGB > minFree
}

// ProvisioningHosts lists the machines that have not come up yet: those rented for this
// controller's shards, or all.
func (r *Calculator) ProvisioningHosts(now time.Time, all bool) []*sched.Host {
	var hosts []*sched.Host
	for name, machine := range r.cache.Machines {
		if !all && !r.leadership.Leads(machine.RentedFor) || len(r.cache.Placements[name]) > 0 {
			continue
		}
		size, machineType := r.catalog.MachineCapacity(machine.MachineType)
		record := r.cache.Capacities[machine.Shard].Record
		if machineType == nil || record == nil {
			continue
		}
		if _, up := record.Free[name]; up {
			continue
		}
		if worker := r.agents.Agent(name); worker != nil && worker.Fenced() {
			continue
		}
		if float64(now.UnixMilli()-machine.RegisteredMS)/1000 > 2*machineType.BootS {
			continue // late: it may never come
		}
		hosts = append(hosts, &sched.Host{
			Name:        name,
			Shard:       machine.Shard,
			MachineType: machine.MachineType,
			Zone:        machine.Zone,
			Spot:        machine.Spot,
			Capacity:    size,
			Free:        size,
		})
	}
	return hosts
}
