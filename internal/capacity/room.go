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

// LoadOf returns what is placed on a machine. A plan asks for that of all machines,
// so it is worked out only when something has changed there: whoever changes what
// it rests on (places, the jobs' records, Releases) drops it.
func (mr *Room) LoadOf(host string) *statecache.MachineLoad {
	l := mr.cache.Load(host)
	if l != nil {
		return l
	}
	l = &statecache.MachineLoad{}
	for id, pl := range mr.cache.Placements[host] {
		j := mr.cache.Jobs[pl.UID]
		if j != nil {
			l.LastPlacedMS = max(l.LastPlacedMS, j.Record.AcceptedMS+pl.Placement.PlacedS*1000)
		}
		if mr.agents.IsCompleted(host, id, pl) {
			continue
		}
		if j == nil {
			l.Arrays++
			continue
		}
		n := statecache.ResourcesOf(&j.Record.Spec)
		l.Used = l.Used.Add(n)
		if j.Record.Spec.Kind == api.Service {
			l.Services++
		} else {
			l.Arrays++
		}
		if j.MustStop(pl.Placement) {
			l.Stopping = l.Stopping.Add(n)
		} else if priority, _ := api.PriorityOf(j.Record.Spec.Priority); priority < len(l.RunningByPriority) {
			l.RunningByPriority[priority] = l.RunningByPriority[priority].Add(n)
		}
	}
	mr.cache.KeepLoad(host, l)
	return l
}

// UnfinishedTasks counts the tasks on a machine that are not over.
func (mr *Room) UnfinishedTasks(host string) int {
	l := mr.LoadOf(host)
	return l.Services + l.Arrays
}

// StartDelay estimates how long a start on a machine waits for the worker's next heartbeat:
// one whose token was raised a moment ago can't be made to report by another raise. On a
// peer's machine that is so if a task was placed there.
func (mr *Room) StartDelay(host string, l *statecache.MachineLoad, now time.Time) float64 {
	raised := time.UnixMilli(l.LastPlacedMS)
	if s := mr.agents.ByHost[host]; s != nil {
		raised = s.LastTokenChange()
	}
	if now.Sub(raised) < mr.node.Settings.WorkerLease()/2 {
		return mr.node.Settings.HeartbeatInterval().Seconds() / 2
	}
	return 0
}

// WithPreemptibleRoom returns copies of the machines with the room of tasks of a lower rank
// added to what is free: that need not be kept, it can be taken when needed.
func (mr *Room) WithPreemptibleRoom(hosts []*sched.Host, priority int) []*sched.Host {
	room := make([]sched.Host, len(hosts))
	out := make([]*sched.Host, len(hosts))
	for i, h := range hosts {
		room[i] = *h
		l := mr.LoadOf(h.Name)
		for r := priority + 1; r < len(l.RunningByPriority); r++ {
			room[i].Free = room[i].Free.Add(l.RunningByPriority[r])
		}
		out[i] = &room[i]
	}
	return out
}

// isSchedulable reports whether a machine of an own shard can take tasks.
func (mr *Room) isSchedulable(host string, now time.Time) bool {
	s := mr.agents.ByHost[host]
	return s != nil && s.Fenced() && !s.Terminated && !s.LeaseExpired && !s.Cordoned && !s.Unresponsive() && s.Heartbeat.SpotNoticeS == nil &&
		!now.Before(s.AvoidUntil) &&
		now.Sub(s.LastSeen) < 3*mr.node.Settings.HeartbeatInterval()
}

// FreeInShard computes the free room of the usable machines of an own shard from the
// committed placements, less those that are over. A machine without any is left
// out.
func (mr *Room) FreeInShard(p string, now time.Time) map[string]sched.Resources {
	free := map[string]sched.Resources{}
	for _, host := range mr.cache.MachineNames() {
		if mr.cache.Machines[host].Shard != p {
			continue
		}
		if r, _, ok := mr.FreeOnMachine(host, now); ok {
			free[host] = r
		}
	}
	return free
}

// FreeOnMachine returns the free room of a machine of an own shard, and the size of the machine;
// false if it has none or can't take tasks.
func (mr *Room) FreeOnMachine(host string, now time.Time) (free, size sched.Resources, ok bool) {
	if !mr.isSchedulable(host, now) {
		return sched.Resources{}, sched.Resources{}, false
	}
	size, f := mr.catalog.MachineCapacity(mr.cache.Machines[host].MachineType)
	if f == nil {
		return sched.Resources{}, size, false
	}
	free = size.Sub(mr.LoadOf(host).Used)
	return free, size, free.CPUs > 1e-6 && free.MemGB > 1e-6
}

// ProvisioningHosts lists the machines that have not come up yet: those rented for this
// node's shards, or all.
func (mr *Room) ProvisioningHosts(now time.Time, all bool) []*sched.Host {
	var out []*sched.Host
	for host, m := range mr.cache.Machines {
		if !all && !mr.leadership.Leads(m.RentedFor) || len(mr.cache.Placements[host]) > 0 {
			continue
		}
		cp, f := mr.catalog.MachineCapacity(m.MachineType)
		rec := mr.cache.Capacities[m.Shard].Record
		if f == nil || rec == nil {
			continue
		}
		if _, up := rec.Free[host]; up {
			continue
		}
		if s := mr.agents.ByHost[host]; s != nil && s.Fenced() {
			continue
		}
		if float64(now.UnixMilli()-m.RegisteredMS)/1000 > 2*f.BootS {
			continue // late: it may never come
		}
		out = append(
			out,
			&sched.Host{Name: host, Shard: m.Shard, MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot, Cap: cp, Free: cp},
		)
	}
	return out
}

// Room is what is placed on machines and what room they have left.
type Room struct {
	node       *node.Info
	cache      *statecache.Cache
	leadership *leadership.Table
	catalog    *catalog.Catalog
	agents     *agent.Registry
}

// RoomDeps is what a machineRoom rests on.
type RoomDeps struct {
	Node       *node.Info
	Cache      *statecache.Cache
	Leadership *leadership.Table
	Catalog    *catalog.Catalog
	Agents     *agent.Registry
}

func NewRoom(d RoomDeps) *Room {
	return &Room{node: d.Node, cache: d.Cache, leadership: d.Leadership, catalog: d.Catalog, agents: d.Agents}
}
