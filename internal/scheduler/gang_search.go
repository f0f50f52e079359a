package scheduler

import (
	"maps"
	"slices"

	"violetturn/internal/capacity"
	"violetturn/internal/sched"
)

// capacitySource is how a gang can get its capacity in a zone; lower values are better. Machines
// are rented and tasks preempted only in the chosen zone, so a zone that can't provide all the
// capacity must not be chosen just because it has the most free capacity.
type capacitySource int

const (
	capacityFree         capacitySource = iota
	capacityExpected                    // sufficient once stopping tasks have stopped and provisioning machines have booted
	capacityByPreemption                // sufficient if tasks of lower priorities are preempted
	capacityByRental                    // machines can be rented, or there is no other zone
	capacityUnavailable                 // none of these at present
)

// gangAssignment is a tentative placement of a gang: the machines of a zone for its tasks.
type gangAssignment struct {
	hosts  []*sched.Host // by task; nil: the task does not fit
	zone   string        // zone of all machines; "" if the search was not limited to one
	source capacitySource
}

// startsSooner reports whether the gang would start sooner with this assignment than with the
// other one. It compares the capacity source, then the number of tasks without a machine, then the
// delay of the start by images and workers, then the number of shards.
func (a *gangAssignment) startsSooner(other *gangAssignment, request *sched.TaskRequest) bool {
	if other.hosts == nil {
		return true
	}
	if a.source != other.source {
		return a.source < other.source
	}
	if count, otherCount := sched.CountUnassigned(a.hosts), sched.CountUnassigned(other.hosts); count != otherCount {
		return count < otherCount
	}
	if delay, otherDelay := sched.StartDelay(a.hosts, request), sched.StartDelay(other.hosts, request); delay != otherDelay {
		return delay < otherDelay
	}
	return sched.CountShards(a.hosts) < sched.CountShards(other.hosts)
}

// gangSearch finds, within one plan, machines for all unplaced tasks of a gang, all or nothing.
type gangSearch struct {
	planner          *planner
	job              *waitingJob
	hostsByShard     [][]*sched.Host // machines with free capacity: of the job's shard, then of the others
	allHosts         []*sched.Host   // the same machines in one list
	best             gangAssignment
	expectedSuffices bool // in some zone the free and expected capacity suffices
	reserved         bool // the capacity found is held back from other jobs
}

// searchGangCapacity finds machines for all unplaced tasks of a gang, in the zone where they start
// soonest. If not all of them fit, the capacity found is held back from other jobs only if the
// expected capacity suffices for the rest.
func (p *planner) searchGangCapacity(job *waitingJob) *gangSearch {
	byShard := p.hostsInSearchOrder(job.entry.job.Record.Shard)
	search := &gangSearch{planner: p, job: job, hostsByShard: byShard, allHosts: slices.Concat(byShard...)}
	zones := p.candidateZones(job)
	for _, zone := range zones {
		search.searchZone(zone, len(zones) > 1)
	}
	search.reserve()
	return search
}

// hostsInSearchOrder returns the machines with free capacity by shard: those of the job's shard
// first, then the other shards in random order, so that controllers that search at the same time
// seldom claim the same machines.
func (p *planner) hostsInSearchOrder(ownShard string) [][]*sched.Host {
	available := p.placementStage.hostsByShard
	var peers []string
	for _, name := range slices.Sorted(maps.Keys(available)) {
		if name != ownShard {
			peers = append(peers, name)
		}
	}
	p.scheduler.node.Random.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	hostsByShard := [][]*sched.Host{available[ownShard]}
	for _, name := range peers {
		hostsByShard = append(hostsByShard, available[name])
	}
	return hostsByShard
}

// candidateZones lists the zones to search for a gang whose tasks all go to one zone, this
// controller's first. For a gang that is bound to a zone already, or whose tasks may go to several,
// the only entry is "".
func (p *planner) candidateZones(job *waitingJob) []string {
	spec := &job.entry.job.Record.Spec
	if !spec.SingleZone || job.zoneConstraint.boundZone != "" || spec.Zone != "" {
		return []string{""}
	}
	settings := p.scheduler.node.Settings
	zones := []string{settings.Zone}
	for _, zone := range settings.Facts.Zones {
		if zone != settings.Zone {
			zones = append(zones, zone)
		}
	}
	return zones
}

// searchZone searches a zone ("": all zones that the gang may use), and keeps the assignment found if
// the gang starts sooner with it than with the best so far. If no capacity is free, or the expected
// capacity is too small, the assignment has no machines. hasAlternatives reports whether other zones
// are searched too.
func (g *gangSearch) searchZone(zone string, hasAlternatives bool) {
	request := g.job.request
	if zone != "" {
		request.Zone = zone
	}
	size := len(g.job.tasks)
	free := sched.CountFits(g.allHosts, &request, size)
	expected := g.countExpected(&request, free)
	if expected >= size {
		g.expectedSuffices = true
	}
	source := capacityByRental
	switch {
	case free >= size:
		source = capacityFree
	case expected >= size:
		source = capacityExpected
	case hasAlternatives:
		source = g.sourceWhenShort(&request)
	}
	if free == 0 || expected < size {
		g.consider(&gangAssignment{hosts: make([]*sched.Host, size), zone: zone, source: source})
		return
	}
	// Try shard by shard, and all shards as one. The latter may need more capacity records but fewer
	// image fetches: a fetch takes longer than the change of another capacity record, and the last
	// task determines when all start.
	for _, hostGroups := range [][][]*sched.Host{g.hostsByShard, {g.allHosts}} {
		hosts := g.assign(hostGroups, &request)
		g.consider(&gangAssignment{hosts: hosts, zone: zone, source: source})
		if sched.CountUnassigned(hosts) == 0 && sched.StartDelay(hosts, &request) == 0 {
			break // no assignment starts sooner
		}
	}
}

// countExpected counts the gang's tasks that fit on the free capacity, on provisioning machines, and
// on the capacity of stopping tasks.
func (g *gangSearch) countExpected(request *sched.TaskRequest, free int) int {
	size := len(g.job.tasks)
	expected := free + sched.CountFits(g.planner.placementStage.provisioning, request, size-free)
	for _, host := range g.allHosts {
		if expected < size && request.Allows(host.MachineType, host.Zone, host.Spot) {
			stopping := *host
			stopping.Free = g.planner.scheduler.capacityCalculator.LoadOf(host.Name).Stopping
			expected += sched.CountFits([]*sched.Host{&stopping}, request, size-expected)
		}
	}
	return expected
}

// sourceWhenShort returns how a gang can get its capacity in a zone where the expected capacity is
// too small.
func (g *gangSearch) sourceWhenShort(request *sched.TaskRequest) capacitySource {
	s := g.planner.scheduler
	size := len(g.job.tasks)
	if sched.CountFits(s.capacityCalculator.WithPreemptibleCapacity(g.planner.hosts, g.job.entry.priority), request, size) >= size {
		return capacityByPreemption
	}
	for _, offer := range s.catalog.AvailableOffers(g.planner.now) {
		if request.Allows(offer.MachineType, offer.Zone, offer.Spot) {
			return capacityByRental
		}
	}
	return capacityUnavailable
}

// assign tries to assign all tasks, one group of machines after the other, and leaves the
// machines' free capacity unchanged.
func (g *gangSearch) assign(groups [][]*sched.Host, request *sched.TaskRequest) []*sched.Host {
	constraint := g.planner.scheduler.zoneConstraintOf(g.job.entry.job, g.job.zoneConstraint.admission.CopyAdmission())
	var tasks []sched.GangTask
	for _, task := range g.job.tasks {
		tasks = append(tasks, sched.GangTask{
			ZoneAllowed: func(zone string) bool { return constraint.allows(task.RangeIndex, zone) },
			OnAssigned:  func(zone string) { constraint.addTask(task.RangeIndex, zone) },
		})
	}
	hosts := sched.AssignGang(groups, request, tasks)
	sched.Unassign(hosts, request)
	return hosts
}

// consider keeps an assignment if the gang starts sooner with it than with the best so far.
func (g *gangSearch) consider(assignment *gangAssignment) {
	if assignment.startsSooner(&g.best, &g.job.request) {
		g.best = *assignment
	}
}

// isComplete reports whether all tasks have a machine.
func (g *gangSearch) isComplete() bool { return sched.CountUnassigned(g.best.hosts) == 0 }

// reserve holds back the capacity found from other jobs, if every task has a machine or the expected
// capacity suffices for the rest. It binds a gang that needs one zone and is incomplete to the zone
// of the best assignment, so that the missing capacity is reclaimed and rented there.
func (g *gangSearch) reserve() {
	complete := g.isComplete()
	g.reserved = complete || g.expectedSuffices
	if g.reserved {
		for i, host := range g.best.hosts {
			if host != nil {
				host.Free = host.Free.Sub(g.job.request.Need)
				g.job.zoneConstraint.addTask(g.job.tasks[i].RangeIndex, host.Zone)
			}
		}
	}
	if g.job.entry.job.Record.Spec.SingleZone && g.job.zoneConstraint.boundZone == "" && !complete {
		g.job.zoneConstraint.boundZone = g.best.zone
	}
}

// claim returns the placements of a complete search.
func (g *gangSearch) claim() *GangClaim {
	claim := &GangClaim{UID: g.job.entry.uid, Placements: make([]capacity.Placement, 0, len(g.best.hosts))}
	for i, host := range g.best.hosts {
		claim.Placements = append(claim.Placements, g.job.placementOf(g.job.tasks[i], host))
	}
	return claim
}
