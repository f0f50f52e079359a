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

// Calculator computes the load and the free capacity of machines. It has no state of its own:
// computed loads are cached in internal/statecache. The lock of internal/state guards it.
type Calculator struct {
	node       *node.Info
	cache      *statecache.Cache
	leadership *leadership.Table
	catalog    *catalog.Catalog
	agents     *agent.Registry
}

// CalculatorDeps are the dependencies that NewCalculator takes.
type CalculatorDeps struct {
	Node       *node.Info
	Cache      *statecache.Cache
	Leadership *leadership.Table
	Catalog    *catalog.Catalog
	Agents     *agent.Registry
}

// NewCalculator returns the capacity calculator for the machines in a cache.
func NewCalculator(d CalculatorDeps) *Calculator {
	return &Calculator{node: d.Node, cache: d.Cache, leadership: d.Leadership, catalog: d.Catalog, agents: d.Agents}
}

// LoadOf returns the load of a machine. A plan reads the loads of all machines, so a load is cached
// until something that it depends on changes (placements, the jobs' records, ended attempts); the
// code that makes such a change removes the cached load.
func (c *Calculator) LoadOf(host string) *statecache.MachineLoad {
	load := c.cache.CachedLoad(host)
	if load != nil {
		return load
	}
	load = &statecache.MachineLoad{}
	for id, task := range c.cache.Placements[host] {
		job := c.cache.Jobs[task.UID]
		if job != nil {
			if placedAt := job.PlacedAt(task); placedAt.After(load.LastPlacedAt) {
				load.LastPlacedAt = placedAt
			}
		}
		if c.agents.IsCompleted(host, id, task) {
			continue
		}
		if job == nil {
			load.OtherTasks++
			continue
		}
		need := statecache.ResourcesOf(&job.Record.Spec)
		load.Used = load.Used.Add(need)
		if job.Record.Spec.Kind == api.Service {
			load.ServiceTasks++
		} else {
			load.OtherTasks++
		}
		if job.MustStop(task.Placement) {
			load.Stopping = load.Stopping.Add(need)
		} else if priority := job.Record.Spec.Priority.Level(); priority < len(load.RunningByPriority) {
			load.RunningByPriority[priority] = load.RunningByPriority[priority].Add(need)
		}
	}
	c.cache.CacheLoad(host, load)
	return load
}

// UnfinishedTasks returns the number of unfinished tasks on a machine.
func (c *Calculator) UnfinishedTasks(host string) int {
	load := c.LoadOf(host)
	return load.ServiceTasks + load.OtherTasks
}

// StartDelay estimates the seconds until a machine's worker sends the heartbeat whose response can
// start a task. A raised token makes a worker send a heartbeat early, but another raise shortly
// afterwards does not. For a peer's machine, whose raises are unknown here, the time of the last
// placement on it is used instead.
func (c *Calculator) StartDelay(host string, load *statecache.MachineLoad, now time.Time) float64 {
	tokenChangedAt := load.LastPlacedAt
	if worker := c.agents.Agent(host); worker != nil {
		tokenChangedAt = worker.LastTokenChange()
	}
	if now.Sub(tokenChangedAt) < c.node.Settings.WorkerLease()/2 {
		return c.node.Settings.HeartbeatInterval().Seconds() / 2
	}
	return 0
}

// WithPreemptibleCapacity returns copies of the machines, in whose free capacity the resources of
// tasks of lower priority than the given one are included. These count as free for headroom,
// because the tasks can be preempted when the headroom is needed.
func (c *Calculator) WithPreemptibleCapacity(hosts []*sched.Host, priority int) []*sched.Host {
	copies := make([]sched.Host, len(hosts)) // one allocation for all
	pointers := make([]*sched.Host, len(hosts))
	for i, host := range hosts {
		copies[i] = *host
		load := c.LoadOf(host.Name)
		for lower := priority + 1; lower < len(load.RunningByPriority); lower++ {
			copies[i].Free = copies[i].Free.Add(load.RunningByPriority[lower])
		}
		pointers[i] = &copies[i]
	}
	return pointers
}

// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after which a
// machine gets no tasks.
const maxMissedHeartbeats = 3

// isSchedulable reports whether tasks may be placed on a machine of a shard that this controller
// leads.
func (c *Calculator) isSchedulable(host string, now time.Time) bool {
	worker := c.agents.Agent(host)
	if worker == nil || !worker.Fenced() || worker.Terminated || worker.LeaseExpired || worker.Cordoned || worker.Unresponsive() {
		return false
	}
	if worker.Heartbeat.EncodedBytes() > api.MaxTasksBytes {
		return false // it reports more than was reserved for its tasks
	}
	return worker.Heartbeat.SpotNoticeS == nil && !now.Before(worker.AvoidUntil) &&
		now.Sub(worker.LastSeen) < maxMissedHeartbeats*c.node.Settings.HeartbeatInterval()
}

// freeInShard returns the free capacity of the schedulable machines of a shard that this controller
// leads, computed from the committed placements without those whose tasks have ended. Machines
// without free capacity are omitted.
func (c *Calculator) freeInShard(shardName string, now time.Time) map[string]sched.Resources {
	free := map[string]sched.Resources{}
	for _, host := range c.cache.HostNames() {
		if c.cache.Machines[host].Shard != shardName {
			continue
		}
		if amount, _, ok := c.FreeOnMachine(host, now); ok {
			free[host] = amount
		}
	}
	return free
}

// minFree is the amount of a resource up to which a machine counts as full, because sums of decimal
// fractions are not exact.
const minFree = 1e-6

// FreeOnMachine returns the free capacity and the size of a machine of a shard that this controller
// leads. ok is false if the machine has no free capacity or no tasks may be placed on it.
func (c *Calculator) FreeOnMachine(host string, now time.Time) (free, size sched.Resources, ok bool) {
	if !c.isSchedulable(host, now) {
		return sched.Resources{}, sched.Resources{}, false
	}
	size, machineType := c.catalog.MachineCapacity(c.cache.Machines[host].MachineType)
	if machineType == nil {
		return sched.Resources{}, size, false
	}
	free = size.Sub(c.LoadOf(host).Used)
	return free, size, free.CPUs > minFree && free.MemGB > minFree
}

// FreeReportBytes returns the space that the tasks committed for a machine leave in its worker's
// heartbeats. It may be negative.
func (c *Calculator) FreeReportBytes(host string) float64 {
	return api.MaxTasksBytes - c.LoadOf(host).Used.ReportBytes
}

// ProvisioningHosts returns the machines that are still booting, with their whole capacity free:
// all of them, or only those that were rented for shards that this controller leads.
func (c *Calculator) ProvisioningHosts(now time.Time, all bool) []*sched.Host {
	var hosts []*sched.Host
	for host, machine := range c.cache.Machines {
		if !all && !c.leadership.Leads(machine.RentedFor) || len(c.cache.Placements[host]) > 0 {
			continue
		}
		size, machineType := c.catalog.MachineCapacity(machine.MachineType)
		record := c.cache.Capacities[machine.Shard].Record
		if machineType == nil || record == nil {
			continue
		}
		if _, offered := record.Free[host]; offered {
			continue
		}
		if worker := c.agents.Agent(host); worker != nil && worker.Fenced() {
			continue
		}
		if machine.Age(now).Seconds() > 2*machineType.BootS {
			continue // overdue: it may never start
		}
		hosts = append(hosts, &sched.Host{
			Name:        host,
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
