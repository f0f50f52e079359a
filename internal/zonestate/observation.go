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

// Observations is what this controller sees of zones, by zone and own shard.
type Observations map[string]map[string]zonehealth.Observation

// ObservationResult is what a look at all machines of own shards shows.
type ObservationResult struct {
	Observations Observations
	HealthyHosts map[string][]string // machines that are up, by zone
}

// Observe looks at the machines of own shards. It changes nothing.
func (z *Zones) Observe(now time.Time) ObservationResult {
	observed := ObservationResult{Observations: z.emptyObservations(now), HealthyHosts: map[string][]string{}}
	waiting := waitingTasks{}
	for host, machine := range z.cache.Machines {
		worker, ofZone := z.agents.Agent(host), observed.Observations[machine.Zone]
		if ofZone == nil || worker == nil || !z.leadership.Leads(machine.Shard) {
			continue
		}
		observation := ofZone[machine.Shard]
		state := z.agents.ObservedState(host, machine, worker, now)
		switch state {
		case agent.MachineIgnored:
		case agent.MachineUnclear:
			observation.Unclear++
		case agent.MachineHealthy:
			observation.Healthy++
			observed.HealthyHosts[machine.Zone] = append(observed.HealthyHosts[machine.Zone], host)
		case agent.MachineLost:
			observation.Lost++
		}
		ofZone[machine.Shard] = observation
		// Until its end is committed a task is placed, and waits in no queue: room for it is
		// kept also while a new leader has not heard of its machine yet, and when the machine
		// is known to be lost.
		if state != agent.MachineHealthy {
			z.addWaiting(waiting, host, machine)
		}
	}
	for of, tasks := range waiting {
		observation := observed.Observations[of.zone][of.shard]
		observation.WaitingProduction = sortedDemand(tasks)
		observed.Observations[of.zone][of.shard] = observation
	}
	return observed
}

// emptyObservations returns the zones and own shards before any machine is looked at.
func (z *Zones) emptyObservations(now time.Time) Observations {
	observations := Observations{}
	for _, zone := range z.node.Settings.Facts.Zones {
		observations[zone] = map[string]zonehealth.Observation{}
		for _, name := range z.leadership.Shards() {
			if z.leadership.Leads(name) {
				observations[zone][name] = zonehealth.Observation{RentalsRefused: z.catalog.AllOffersRefused(zone, now)}
			}
		}
	}
	return observations
}

// zoneShard is a zone and an own shard.
type zoneShard struct{ zone, shard string }

// waitingTasks counts production tasks of machines that are not heard from, by size.
type waitingTasks map[zoneShard]map[zonehealth.Demand]int

// addWaiting counts the production tasks of a machine that is not heard from.
func (z *Zones) addWaiting(waiting waitingTasks, host string, machine *shard.Machine) {
	of := zoneShard{zone: machine.Zone, shard: machine.Shard}
	for _, task := range z.cache.Placements[host] {
		job := z.cache.Jobs[task.UID]
		if job == nil || job.MustStop(task.Placement) || !isProduction(&job.Record.Spec) {
			continue
		}
		if waiting[of] == nil {
			waiting[of] = map[zonehealth.Demand]int{}
		}
		waiting[of][demandOf(&job.Record.Spec)]++
	}
}

// maxDemandSizes bounds the sizes of tasks in a zone's record: there are few.
const maxDemandSizes = 8

// sortedDemand lists tasks by size, those of most first.
func sortedDemand(tasks map[zonehealth.Demand]int) []zonehealth.Demand {
	demands := make([]zonehealth.Demand, 0, len(tasks))
	for demand, count := range tasks {
		demand.Tasks = count
		demands = append(demands, demand)
	}
	slices.SortFunc(demands, func(a, b zonehealth.Demand) int {
		if a.Tasks != b.Tasks {
			return b.Tasks - a.Tasks
		}
		return a.Need.Compare(b.Need)
	})
	return demands[:min(len(demands), maxDemandSizes)]
}

// demandOf returns the size of a job's tasks as zones' records keep it.
func demandOf(spec *api.Job) zonehealth.Demand {
	return zonehealth.Demand{Need: statecache.ResourcesOf(spec).Rounded(), Spot: spec.AllowSpot}
}

// Evaluate returns a zone's record as it is to be, and whether that is to be written.
func (z *Zones) Evaluate(zone string, now time.Time) (next zonehealth.Record, changed bool) {
	limits := z.limits()
	var before zonehealth.Record
	if record := z.cache.Zones[statecache.ZoneID(zone)].Record; record != nil {
		before = *record
	}
	if len(z.observations[zone]) == 0 {
		return before, false
	}
	seen := before
	for shardName, observation := range z.observations[zone] {
		recorded, isRecorded := before.Observations[shardName]
		if !before.RestrictsPlacement() && before.State != zonehealth.Suspect && observation.LostShare() < limits.SuspectShare/2 {
			observation = zonehealth.Observation{} // all is well: that needs no record
		}
		if isRecorded != !observation.IsEmpty() || !observation.Equal(recorded) {
			seen, changed = seen.WithObservation(shardName, observation), true
		}
	}
	next = seen.Evaluate(now, z.hasOutsideObserver(zone, now), limits)
	return next, changed || next.State != before.State
}

// hasOutsideObserver reports whether this controller can say that a zone is down, not itself cut
// off: it hears workers now, and it or a peer at home in another zone hears some of another zone.
func (z *Zones) hasOutsideObserver(zone string, now time.Time) bool {
	if !z.leadership.Contact().HasContactSince(now.Add(-2 * z.node.Settings.HeartbeatInterval())) {
		return false
	}
	for other, byShard := range z.observations {
		if other != zone && z.isUp(byShard) {
			return true
		}
	}
	for _, member := range z.node.Settings.Members {
		if record := z.cache.Nodes[member.HostName].Record; member.Zone != zone && record != nil && record.HasWorkerContact {
			return true
		}
	}
	return false
}

// isUp reports whether a zone's machines are up but for few.
func (z *Zones) isUp(byShard map[string]zonehealth.Observation) bool {
	var all zonehealth.Observation
	for _, observation := range byShard {
		all.Healthy += observation.Healthy
		all.Lost += observation.Lost
	}
	return all.Healthy > 0 && all.LostShare() < z.node.Features.ZoneRecovery.SuspectShare
}
