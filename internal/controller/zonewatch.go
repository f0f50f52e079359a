package controller

import (
	"context"
	"maps"
	"net/url"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/features"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/store"
	"violetturn/internal/zonehealth"
)

// productionPriority is the priority of production work.
const productionPriority = 0

// zoneView is what this node sees of zones.
type zoneView struct {
	observedAt       time.Time                                    // when it last looked
	observations     map[string]map[string]zonehealth.Observation // by zone and own shard
	admittedMachines map[string]bool                              // machines of returning zones where tasks start again in place
}

// featureEnabled reports whether a feature is on: here, and at every configured controller, living
// or not, as its mark says. One that shows itself without it, because it was started without
// or is of a version that doesn't know it, has it off everywhere.
func (s *schemaState) featureEnabled(name string) bool {
	if !slices.Contains(s.node.features.Names(), name) {
		return false
	}
	for _, x := range s.node.shards {
		mark, node := s.cache.capabilities[x].record, s.cache.nodes[x].record
		if mark == nil || !slices.Contains(mark.Features, name) || node != nil && !slices.Contains(node.Features, name) {
			return false
		}
	}
	return s.upgraded()
}

// zoneLimits returns the bounds between the states of zones.
func (zs *zoneState) zoneLimits() *zonehealth.Limits {
	z := &zs.node.features.ZoneRecovery
	leases := func(n float64) time.Duration { return time.Duration(n * float64(zs.node.settings.WorkerLease())) }
	return &zonehealth.Limits{
		SuspectShare: z.SuspectShare,
		DownShare:    z.DownShare,
		Confirm:      leases(z.Confirm),
		FirstShare:   z.FirstShare,
		LeastShare:   z.LeastShare,
		DoubleEvery:  leases(z.DoubleEvery),
		Longest:      leases(z.Longest),
	}
}

// updateZones looks at the zones once in a heartbeat interval and commits what has changed. It
// changes nothing but zones' records, each on the version that it judged by and on this
// node's leadership of a shard: one that wakes late, or was replaced, is refused.
func (c *Controller) updateZones(ctx context.Context) bool {
	now := c.node.now()
	state := c.guard.Lock()
	if now.Sub(state.zones.view.observedAt) < c.node.settings.HeartbeatInterval() || !state.schema.featureEnabled(features.ZoneRecoveryName) {
		c.guard.Unlock()
		return false
	}
	observations, up := state.zones.observeZones(now)
	state.zones.view = zoneView{observedAt: now, observations: observations}
	state.zones.view.admittedMachines = state.zones.admittedMachines(up, now)
	t := newTransaction()
	changed := map[string]zonehealth.Record{}
	for _, zone := range slices.Sorted(maps.Keys(state.zones.view.observations)) {
		if next, ok := state.zones.judgeZone(zone, now); ok && t.changes() < state.schema.transactionLimits().TxnOps {
			id := url.PathEscape(zone)
			t.require(zonePrefix+id, state.cache.zones[id].version)
			t.put(zonePrefix+id, next)
			changed[zone] = next
		}
	}
	for p := range state.leadership.byShard {
		state.leadership.require(t, p)
	}
	c.guard.Unlock()
	if len(changed) == 0 {
		return false
	}
	if done, _, _ := c.commit(ctx, "zones", t, store.PriorityDecision); done {
		c.logZoneChanges(changed)
		c.wake.notify()
	}
	return false
}

func (c *Controller) logZoneChanges(changed map[string]zonehealth.Record) {
	for _, zone := range slices.Sorted(maps.Keys(changed)) {
		r := changed[zone]
		sum := r.Sum()
		c.node.log.Info(
			"zone", "zone", zone, "state", r.State, "transitions", r.Transitions, "up", sum.Up, "lost", sum.Lost,
			"unknown", sum.Unclear, "waiting", r.Waiting(), "slow_start_share", r.SlowStartShare,
		)
	}
}

// judgeZone returns a zone's record as it is to be, and whether that is to be written.
func (zs *zoneState) judgeZone(zone string, now time.Time) (next zonehealth.Record, changed bool) {
	limits := zs.zoneLimits()
	var was zonehealth.Record
	if v := zs.cache.zones[url.PathEscape(zone)].record; v != nil {
		was = *v
	}
	owns, seen := false, was
	for p, observation := range zs.view.observations[zone] {
		owns = true
		old, told := was.Observations[p]
		if !was.Restricts() && was.State != zonehealth.Suspect && observation.LostShare() < limits.SuspectShare/2 {
			observation = zonehealth.Observation{} // all is well: that needs no record
		}
		if told != !observation.Empty() || !observation.Equal(old) {
			seen, changed = seen.WithObservation(p, observation), true
		}
	}
	if !owns {
		return was, false
	}
	next = seen.Judge(now, zs.hasOutsideObserver(zone, now), limits)
	return next, changed || next.State != was.State
}

// hasOutsideObserver reports whether this node can say that a zone is down, not itself cut off: it hears
// workers now, and it or a peer at home in another zone hears some of another zone.
func (zs *zoneState) hasOutsideObserver(zone string, now time.Time) bool {
	if zs.leadership.contact.unreachable || now.Sub(zs.leadership.contact.lastHeard) > 2*zs.node.settings.HeartbeatInterval() {
		return false
	}
	for other, observations := range zs.view.observations {
		up, lost := 0, 0
		for _, s := range observations {
			up, lost = up+s.Up, lost+s.Lost
		}
		all := zonehealth.Observation{Up: up, Lost: lost}
		if other != zone && up > 0 && all.LostShare() < zs.node.features.ZoneRecovery.SuspectShare {
			return true
		}
	}
	for _, m := range zs.node.settings.Members {
		if n := zs.cache.nodes[m.HostName].record; m.Zone != zone && n != nil && n.HearsWorkers {
			return true
		}
	}
	return false
}

// observeZones looks at the machines of own shards, by zone, and lists those that are up.
func (zs *zoneState) observeZones(now time.Time) (out map[string]map[string]zonehealth.Observation, up map[string][]string) {
	out, up = map[string]map[string]zonehealth.Observation{}, map[string][]string{}
	for _, zone := range zs.node.settings.Facts.Zones {
		out[zone] = map[string]zonehealth.Observation{}
		for p := range zs.leadership.byShard {
			if zs.leadership.of(p) != nil {
				out[zone][p] = zonehealth.Observation{Refused: zs.catalog.cloudRefuses(zone, now)}
			}
		}
	}
	waiting := map[string]map[string]map[zonehealth.Demand]int{}
	for host, m := range zs.cache.machines {
		s, seen := zs.agents.byHost[host], out[m.Zone]
		if seen == nil || s == nil || zs.leadership.of(m.Shard) == nil {
			continue
		}
		observation := seen[m.Shard]
		what := zs.agents.observedState(host, m, s, now)
		switch what {
		case machineUnclear:
			observation.Unclear++
		case machineUp:
			observation.Up++
			up[m.Zone] = append(up[m.Zone], host)
		case machineLost:
			observation.Lost++
		}
		// Until its end is committed a task is placed, and waits in no queue: room for it is
		// kept also while a new leader has not heard of its machine yet, and when the machine
		// is known to be gone.
		if what != machineUp {
			zs.addWaiting(waiting, host, m)
		}
		seen[m.Shard] = observation
	}
	for zone, shards := range waiting {
		for p, tasks := range shards {
			observation := out[zone][p]
			observation.Waiting = sortedDemand(tasks)
			out[zone][p] = observation
		}
	}
	return out, up
}

// machineState is what a leader sees of a machine.
type machineState int

const (
	machineIgnored machineState = iota // it boots, or is going back
	machineUnclear                     // not heard of yet under this owner
	machineUp
	machineLost
)

// observedState returns what a leader sees of a machine.
func (reg *agentRegistry) observedState(host string, m *shard.Machine, s *shard.Agent, now time.Time) machineState {
	patience := 2 * reg.node.settings.HeartbeatInterval() // who reports at all has done so
	switch {
	case s.Terminated, s.Cordoned && now.Sub(s.LastSeen) > patience:
		return machineIgnored
	case s.Fenced && s.Unresponsive:
		return machineLost
	case s.Fenced && now.Sub(s.LastSeen) <= patience:
		return machineUp
	case s.Fenced:
		return machineLost
	}
	// Never heard under this term. One that has tasks was up before.
	_, machineType := reg.catalog.machineCapacity(m.MachineType)
	age := float64(now.UnixMilli()-m.RegisteredMS) / 1000
	boots := len(reg.cache.placements[host]) == 0 && (machineType == nil || age <= 2*machineType.BootS || reg.provisioning[host])
	switch {
	case boots:
		return machineIgnored
	case now.Sub(s.CreatedAt) <= patience:
		return machineUnclear
	}
	return machineLost
}

// addWaiting counts the production tasks of a machine that is not heard.
func (zs *zoneState) addWaiting(waiting map[string]map[string]map[zonehealth.Demand]int, host string, m *shard.Machine) {
	for _, pl := range zs.cache.placements[host] {
		j := zs.cache.jobs[pl.uid]
		if j == nil || j.mustStop(pl.placement) {
			continue
		}
		if priority, _ := api.PriorityOf(j.record.Spec.Priority); priority != productionPriority {
			continue
		}
		if waiting[m.Zone] == nil {
			waiting[m.Zone] = map[string]map[zonehealth.Demand]int{}
		}
		if waiting[m.Zone][m.Shard] == nil {
			waiting[m.Zone][m.Shard] = map[zonehealth.Demand]int{}
		}
		kind := demandOf(&j.record.Spec)
		waiting[m.Zone][m.Shard][kind]++
	}
}

// cloudRefuses reports whether the cloud refuses all that it could rent in a zone.
func (c *machineCatalog) cloudRefuses(zone string, now time.Time) bool {
	offered := false
	for _, o := range c.availableOffers(now) {
		offered = offered || o.Zone == zone
	}
	return len(c.machineTypes) > 0 && !offered
}

// maxDemandSizes bounds the sizes of tasks in a zone's record: there are few.
const maxDemandSizes = 8

// sortedDemand lists tasks by size, those of most first.
func sortedDemand(tasks map[zonehealth.Demand]int) []zonehealth.Demand {
	out := make([]zonehealth.Demand, 0, len(tasks))
	for kind, n := range tasks {
		kind.Tasks = n
		out = append(out, kind)
	}
	slices.SortFunc(out, func(a, b zonehealth.Demand) int {
		if a.Tasks != b.Tasks {
			return b.Tasks - a.Tasks
		}
		return slices.Compare(a.Need[:], b.Need[:])
	})
	return out[:min(len(out), maxDemandSizes)]
}

func demandOf(spec *api.Job) zonehealth.Demand {
	return zonehealth.Demand{Need: shard.Vec(resourcesOf(spec)), Spot: spec.Spot}
}

// zoneName returns the zone of a record's key.
func zoneName(id string) string {
	name, err := url.PathUnescape(id)
	if err != nil {
		return id
	}
	return name
}

// machineSizes returns the sizes of all machine types.
func (c *machineCatalog) machineSizes() []sched.Resources {
	out := make([]sched.Resources, 0, len(c.machineTypes))
	for i := range c.machineTypes {
		f := &c.machineTypes[i]
		out = append(out, sched.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemGB: f.MemGB})
	}
	return out
}
