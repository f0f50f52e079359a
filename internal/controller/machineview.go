package controller

import (
	"math"
	"net/url"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
)

// machineCapacity returns a machine type's size.
func (c *machineCatalog) machineCapacity(machineType string) (sched.Resources, *cloud.MachineType) {
	for i := range c.machineTypes {
		f := &c.machineTypes[i]
		if f.Name == machineType {
			return sched.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemGB: f.MemGB}, f
		}
	}
	return sched.Resources{}, nil
}

// isSchedulable reports whether a machine of an own shard can take tasks.
func (mr *machineRoom) isSchedulable(host string, now time.Time) bool {
	s := mr.agents.byHost[host]
	return s != nil && s.Fenced && !s.Terminated && !s.LeaseExpired && !s.Cordoned && !s.Unresponsive && s.Heartbeat.SpotNoticeS == nil &&
		!now.Before(s.AvoidUntil) &&
		now.Sub(s.LastSeen) < 3*mr.node.settings.HeartbeatInterval()
}

// fetchSeconds is how long fetching a job's image takes at least.
func (c *machineCatalog) fetchSeconds(r *api.Job) float64 {
	best := 0.0
	for _, f := range c.machineTypes {
		best = max(best, f.FetchGBPerS)
	}
	if best <= 0 {
		return 0
	}
	return r.ImageGB / best
}

// freeInShard computes the free room of the usable machines of an own shard from the
// committed placements, less those that are over. A machine without any is left
// out.
func (mr *machineRoom) freeInShard(p string, now time.Time) map[string]sched.Resources {
	free := map[string]sched.Resources{}
	for _, host := range mr.cache.machineNames() {
		if mr.cache.machines[host].Shard != p {
			continue
		}
		if r, _, ok := mr.freeOnMachine(host, now); ok {
			free[host] = r
		}
	}
	return free
}

// freeOnMachine returns the free room of a machine of an own shard, and the size of the machine;
// false if it has none or can't take tasks.
func (mr *machineRoom) freeOnMachine(host string, now time.Time) (free, size sched.Resources, ok bool) {
	if !mr.isSchedulable(host, now) {
		return sched.Resources{}, sched.Resources{}, false
	}
	size, f := mr.catalog.machineCapacity(mr.cache.machines[host].MachineType)
	if f == nil {
		return sched.Resources{}, size, false
	}
	free = size.Sub(mr.loadOf(host).used)
	return free, size, free.CPUs > 1e-6 && free.MemGB > 1e-6
}

// schedulableHosts lists the machines with their free room: of own shards as computed, of
// peers' as their records say.
func (sch *schedulerState) schedulableHosts(now time.Time) []*sched.Host {
	type view struct {
		own  bool
		free shard.FreeCapacity // of a peer's shard
	}
	shards := map[string]view{}
	for _, p := range sch.node.shards {
		own, rec := sch.cache.leaders[p].record, sch.cache.capacities[p].record
		if own == nil || rec == nil {
			continue
		}
		if sch.leadership.of(p) != nil {
			shards[p] = view{own: true}
		} else if own.Node != sch.node.settings.HostName {
			shards[p] = view{free: rec.Free}
		}
	}
	names := sch.cache.machineNames()
	room := make([]sched.Host, 0, len(names))
	out := make([]*sched.Host, 0, len(names))
	for _, h := range names {
		m := sch.cache.machines[h]
		v, ok := shards[m.Shard]
		if !ok {
			continue
		}
		var free, size sched.Resources
		if v.own {
			free, size, ok = sch.room.freeOnMachine(h, now)
		} else {
			var vec [3]float64
			vec, ok = v.free[h]
			free = shard.Unvec(vec)
			size, _ = sch.catalog.machineCapacity(m.MachineType)
		}
		if !ok {
			continue
		}
		l := sch.room.loadOf(h)
		room = append(
			room,
			sched.Host{
				StartDelayS: sch.room.startDelay(h, l, now), Name: h, Shard: m.Shard, MachineType: m.MachineType, Zone: m.Zone,
				Spot: m.Spot, Cap: size, Free: free, Stopping: l.stopping, Images: sch.cache.images[h],
				Services: l.services, Arrays: l.arrays,
			},
		)
		out = append(out, &room[len(room)-1])
	}
	return out
}

// teamUse is what a team's tasks hold in all, by the shards' capacity records.
func (acc *capacityAccounts) teamUse(name string) sched.Resources {
	var r sched.Resources
	for _, p := range acc.cache.capacities {
		r = r.Add(shard.Unvec(p.record.QuotaUse[name]))
	}
	return r
}

func quotaID(name string) string { return url.PathEscape(name) }

// smallestRequest returns the smallest amounts that any waiting task asks for: a machine
// with less has no room for anybody.
func smallestRequest(queue []*queueEntry) sched.Resources {
	inf := math.Inf(1)
	m := sched.Resources{CPUs: inf, GPUs: inf, MemGB: inf}
	for _, q := range queue {
		if len(q.job.pendingTasks()) > 0 {
			n := resourcesOf(&q.job.record.Spec)
			m = sched.Resources{CPUs: min(m.CPUs, n.CPUs), GPUs: min(m.GPUs, n.GPUs), MemGB: min(m.MemGB, n.MemGB)}
		}
	}
	return m
}

// hostsWithRoom returns the machines that have as much room, by shard.
func hostsWithRoom(hosts []*sched.Host, n sched.Resources) map[string][]*sched.Host {
	out := map[string][]*sched.Host{}
	for _, h := range hosts {
		if h.Free.Fits(n) {
			out[h.Shard] = append(out[h.Shard], h)
		}
	}
	return out
}

// removeHost takes a machine from a list, which it changes.
func removeHost(l []*sched.Host, h *sched.Host) []*sched.Host {
	if i := slices.Index(l, h); i >= 0 {
		return slices.Delete(l, i, i+1)
	}
	return l
}

// releaseStopping adds to what is free on machines the room that tasks on their way out
// will leave.
func releaseStopping(hosts []*sched.Host) {
	for _, h := range hosts {
		if h.Stopping != (sched.Resources{}) {
			h.Free = h.Free.Add(h.Stopping)
		}
	}
}

// lastPlan is the newest plan that a decision made, and when.
type lastPlan struct {
	plan *plan
	at   time.Time
}

// rememberPlan keeps a plan for the next round of rentals.
func (sch *schedulerState) rememberPlan(p *plan, at time.Time) { sch.lastPlan = lastPlan{p, at} }

// reusePlan returns a plan that was made since the last round of rentals, or else makes
// one: a plan is the dearest thing that a controller works out, and what a decision
// found to lack room lacks it for rentals too. Each plan is given once, for who rents
// fills its machines.
func (sch *schedulerState) reusePlan(now time.Time) *plan {
	recent := sch.lastPlan
	sch.lastPlan = lastPlan{}
	if recent.plan != nil && now.Sub(recent.at) <= sch.node.settings.AutoscaleInterval() {
		return recent.plan
	}
	return sch.plan(now)
}

// rejectionReason returns why a job can never run, "" if it can.
func (c *machineCatalog) rejectionReason(r *api.Job) string {
	team, ok := c.node.settings.Team(r.Team)
	if !ok {
		return "unknown team"
	}
	k := 1.0
	if r.Kind != api.Array {
		k = float64(r.Tasks)
	}
	if team.CPUsMax > 0 && r.CPUs*k > team.CPUsMax+1e-6 || team.GPUsMax > 0 && r.GPUs*k > team.GPUsMax+1e-6 {
		return "more than the team's limit"
	}
	ask := taskRequestOf(r)
	zones := map[string]bool{}
	for _, f := range c.machineTypes {
		cp := sched.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemGB: f.MemGB}
		for _, s := range f.Zones {
			if cp.Fits(ask.Need) && ask.Allows(f.Name, s, false) {
				zones[s] = true
			}
		}
	}
	switch {
	case len(zones) == 0:
		return "fits no allowed machine type"
	case r.Spread && r.Tasks > 1 && (len(zones) == 1 || r.Together):
		return "can't be scattered"
	}
	return ""
}
