package zonestate

import (
	"slices"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
	"violetturn/internal/zonehealth"
)

// ProductionPriority is the priority of production work.
const ProductionPriority = 0

// View is what this node sees of zones.
type View struct {
	ObservedAt       time.Time                                    // when it last looked
	Observations     map[string]map[string]zonehealth.Observation // by zone and own shard
	AdmittedMachines map[string]bool                              // machines of returning zones where tasks start again in place
}

// zoneLimits returns the bounds between the states of zones.
func (zs *Zones) zoneLimits() *zonehealth.Limits {
	z := &zs.node.Features.ZoneRecovery
	leases := func(n float64) time.Duration { return time.Duration(n * float64(zs.node.Settings.WorkerLease())) }
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

// JudgeZone returns a zone's record as it is to be, and whether that is to be written.
func (zs *Zones) JudgeZone(zone string, now time.Time) (next zonehealth.Record, changed bool) {
	limits := zs.zoneLimits()
	var was zonehealth.Record
	if v := zs.cache.Zones[statecache.ZoneID(zone)].Record; v != nil {
		was = *v
	}
	owns, seen := false, was
	for p, observation := range zs.View.Observations[zone] {
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
func (zs *Zones) hasOutsideObserver(zone string, now time.Time) bool {
	if !zs.leadership.WorkerHeardSince(now.Add(-2 * zs.node.Settings.HeartbeatInterval())) {
		return false
	}
	for other, observations := range zs.View.Observations {
		up, lost := 0, 0
		for _, s := range observations {
			up, lost = up+s.Up, lost+s.Lost
		}
		all := zonehealth.Observation{Up: up, Lost: lost}
		if other != zone && up > 0 && all.LostShare() < zs.node.Features.ZoneRecovery.SuspectShare {
			return true
		}
	}
	for _, m := range zs.node.Settings.Members {
		if n := zs.cache.Nodes[m.HostName].Record; m.Zone != zone && n != nil && n.HearsWorkers {
			return true
		}
	}
	return false
}

// ObserveZones looks at the machines of own shards, by zone, and lists those that are up.
func (zs *Zones) ObserveZones(now time.Time) (out map[string]map[string]zonehealth.Observation, up map[string][]string) {
	out, up = map[string]map[string]zonehealth.Observation{}, map[string][]string{}
	for _, zone := range zs.node.Settings.Facts.Zones {
		out[zone] = map[string]zonehealth.Observation{}
		for _, p := range zs.leadership.KnownShards() {
			if zs.leadership.Leads(p) {
				out[zone][p] = zonehealth.Observation{Refused: zs.catalog.CloudRefuses(zone, now)}
			}
		}
	}
	waiting := map[string]map[string]map[zonehealth.Demand]int{}
	for host, m := range zs.cache.Machines {
		s, seen := zs.agents.ByHost[host], out[m.Zone]
		if seen == nil || s == nil || !zs.leadership.Leads(m.Shard) {
			continue
		}
		observation := seen[m.Shard]
		what := zs.agents.ObservedState(host, m, s, now)
		switch what {
		case agent.MachineUnclear:
			observation.Unclear++
		case agent.MachineUp:
			observation.Up++
			up[m.Zone] = append(up[m.Zone], host)
		case agent.MachineLost:
			observation.Lost++
		}
		// Until its end is committed a task is placed, and waits in no queue: room for it is
		// kept also while a new leader has not heard of its machine yet, and when the machine
		// is known to be gone.
		if what != agent.MachineUp {
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

// addWaiting counts the production tasks of a machine that is not heard.
func (zs *Zones) addWaiting(waiting map[string]map[string]map[zonehealth.Demand]int, host string, m *shard.Machine) {
	for _, pl := range zs.cache.Placements[host] {
		j := zs.cache.Jobs[pl.UID]
		if j == nil || j.MustStop(pl.Placement) {
			continue
		}
		if priority, _ := api.PriorityOf(j.Record.Spec.Priority); priority != ProductionPriority {
			continue
		}
		if waiting[m.Zone] == nil {
			waiting[m.Zone] = map[string]map[zonehealth.Demand]int{}
		}
		if waiting[m.Zone][m.Shard] == nil {
			waiting[m.Zone][m.Shard] = map[zonehealth.Demand]int{}
		}
		kind := demandOf(&j.Record.Spec)
		waiting[m.Zone][m.Shard][kind]++
	}
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
	return zonehealth.Demand{Need: shard.Vec(statecache.ResourcesOf(spec)), Spot: spec.Spot}
}
