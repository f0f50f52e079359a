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

// Observations holds this controller's observations, by zone and by shard that it leads.
type Observations map[string]map[string]zonehealth.Observation

// ObservationResult is the result of a scan of the machines in the shards that this controller leads.
type ObservationResult struct {
	Observations Observations
	HealthyHosts map[string][]string // names of healthy machines, by zone
}

// Observe scans the machines of the shards that this controller leads. It changes no state.
func (z *Zones) Observe(now time.Time) ObservationResult {
	result := ObservationResult{Observations: z.emptyObservations(now), HealthyHosts: map[string][]string{}}
	waitingCounts := waitingTaskCounts{}
	for host, machine := range z.cache.Machines {
		worker, byShard := z.agents.Agent(host), result.Observations[machine.Zone]
		if byShard == nil || worker == nil || !z.leadership.Leads(machine.Shard) {
			continue
		}
		observation := byShard[machine.Shard]
		state := z.agents.ObservedState(host, machine, worker, now)
		switch state {
		case agent.MachineIgnored:
		case agent.MachineUnclear:
			observation.Unclear++
		case agent.MachineHealthy:
			observation.Healthy++
			result.HealthyHosts[machine.Zone] = append(result.HealthyHosts[machine.Zone], host)
		case agent.MachineLost:
			observation.Lost++
		}
		byShard[machine.Shard] = observation
		// Until the end of a task is committed, the task counts as placed and is in no queue. Its
		// demand is recorded, so that capacity is reserved for it, both if its machine is lost and if
		// a new leader has not received a heartbeat from the machine yet.
		if state != agent.MachineHealthy {
			z.countWaitingTasks(waitingCounts, host, machine)
		}
	}
	for key, counts := range waitingCounts {
		observation := result.Observations[key.zone][key.shard]
		observation.WaitingProduction = sortedDemand(counts)
		result.Observations[key.zone][key.shard] = observation
	}
	return result
}

// emptyObservations returns observations without machines for all zones and led shards.
func (z *Zones) emptyObservations(now time.Time) Observations {
	observations := Observations{}
	for _, zone := range z.node.Settings.Facts.Zones {
		observations[zone] = map[string]zonehealth.Observation{}
		for _, name := range z.leadership.HeldShards() {
			if z.leadership.Leads(name) {
				observations[zone][name] = zonehealth.Observation{RentalsRefused: z.catalog.AllOffersRefused(zone, now)}
			}
		}
	}
	return observations
}

// zoneShard identifies a shard that this controller leads, within a zone.
type zoneShard struct{ zone, shard string }

// waitingTaskCounts counts the production tasks on machines that are not healthy, by size.
type waitingTaskCounts map[zoneShard]map[zonehealth.Demand]int

// countWaitingTasks adds to counts the production tasks of a machine that is not healthy.
func (z *Zones) countWaitingTasks(counts waitingTaskCounts, host string, machine *shard.Machine) {
	key := zoneShard{zone: machine.Zone, shard: machine.Shard}
	for _, task := range z.cache.Placements[host] {
		job := z.cache.Jobs[task.UID]
		if job == nil || job.MustStop(task.Placement) || !isProduction(&job.Record.Spec) {
			continue
		}
		if counts[key] == nil {
			counts[key] = map[zonehealth.Demand]int{}
		}
		counts[key][demandOf(&job.Record.Spec)]++
	}
}

// maxDemandSizes limits the number of task sizes per shard in a zone's record. Few sizes occur.
const maxDemandSizes = 8

// sortedDemand lists the task sizes, the most frequent first.
func sortedDemand(counts map[zonehealth.Demand]int) []zonehealth.Demand {
	demands := make([]zonehealth.Demand, 0, len(counts))
	for demand, count := range counts {
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

// demandOf returns the size of a job's tasks as zone records contain it.
func demandOf(spec *api.Job) zonehealth.Demand {
	return zonehealth.Demand{Need: statecache.ResourcesOf(spec).Rounded(), Spot: spec.AllowSpot}
}

// Evaluate returns a zone's new record and whether it must be written.
func (z *Zones) Evaluate(zone string, now time.Time) (next zonehealth.Record, changed bool) {
	limits := z.limits()
	var current zonehealth.Record
	if record := z.cache.Zones[statecache.ZoneID(zone)].Record; record != nil {
		current = *record
	}
	if len(z.observations[zone]) == 0 {
		return current, false
	}
	updated := current
	for shardName, observation := range z.observations[zone] {
		recorded, isRecorded := current.Observations[shardName]
		if !current.RestrictsPlacement() && current.State != zonehealth.Suspect && observation.LostShare() < limits.SuspectShare/2 {
			observation = zonehealth.Observation{} // the observations of a healthy zone are not recorded
		}
		if isRecorded != !observation.IsEmpty() || !observation.Equal(recorded) {
			updated, changed = updated.WithObservation(shardName, observation), true
		}
	}
	next = updated.Evaluate(now, z.hasOutsideObserver(zone, now), limits)
	return next, changed || next.State != current.State
}

// hasOutsideObserver reports whether this controller may declare a zone down because it is not
// partitioned itself: it has just received heartbeats from workers, and either most machines of
// another zone are healthy in its shards or a controller located in another zone receives heartbeats.
func (z *Zones) hasOutsideObserver(zone string, now time.Time) bool {
	if !z.leadership.Contact().HasContactSince(now.Add(-2 * z.node.Settings.HeartbeatInterval())) {
		return false
	}
	for other, byShard := range z.observations {
		if other != zone && z.isMostlyHealthy(byShard) {
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

// isMostlyHealthy reports whether all but a few machines of a zone are healthy.
func (z *Zones) isMostlyHealthy(byShard map[string]zonehealth.Observation) bool {
	var total zonehealth.Observation
	for _, observation := range byShard {
		total.Healthy += observation.Healthy
		total.Lost += observation.Lost
	}
	return total.Healthy > 0 && total.LostShare() < z.node.Features.ZoneRecovery.SuspectShare
}
