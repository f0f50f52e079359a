package scheduler

import (
	"maps"
	"slices"

	"violetturn/internal/capacity"
	"violetturn/internal/sched"
)

// roomOutlook is how a gang can get its room in a zone, the best first. Only the zone that is
// chosen is rented and preempted in, so one that just happens to have most room free, but
// can have no more, must not be.
type roomOutlook int

const (
	roomAvailable    roomOutlook = iota
	roomComing                   // with what is being left, and machines that boot
	roomByPreemption             // with what lower priorities have
	roomByRental                 // with machines that can be rented
	roomNowhere                  // not as things stand
)

// gangAssignment is which machines a gang's tasks would go to in a zone.
type gangAssignment struct {
	hosts   []*sched.Host // by task; nil: none was found
	zone    string        // of a gang whose tasks go together; "": any
	outlook roomOutlook
}

// startsSooner reports whether the gang would start sooner with this assignment than with the
// other one: the better outlook, then fewer tasks without room, then the start that waits least
// for images and workers, then fewer shards.
func (a *gangAssignment) startsSooner(other *gangAssignment, request *sched.TaskRequest) bool {
	if other.hosts == nil {
		return true
	}
	if a.outlook != other.outlook {
		return a.outlook < other.outlook
	}
	if own, theirs := sched.CountUnassigned(a.hosts), sched.CountUnassigned(other.hosts); own != theirs {
		return own < theirs
	}
	if own, theirs := sched.StartDelay(a.hosts, request), sched.StartDelay(other.hosts, request); own != theirs {
		return own < theirs
	}
	return sched.CountShards(a.hosts) < sched.CountShards(other.hosts)
}

// gangSearch looks in one plan for machines for all of a gang's tasks that have none: all or
// nothing.
type gangSearch struct {
	planner  *planner
	job      *waitingJob
	byShard  [][]*sched.Host // machines with room: of the gang's own shard, then of its peers'
	flat     []*sched.Host   // the same in one list
	best     gangAssignment
	expected bool // in some zone the room that is free or coming is enough
	reserved bool // the machines found are kept from others though they may not be all
}

// searchGangRoom looks for room for all of a gang's tasks that have none, in the zone where they
// start soonest. What is found for a gang that can't be complete is kept from others
// only when the room that is coming completes it.
func (p *planner) searchGangRoom(job *waitingJob) *gangSearch {
	byShard := p.hostsInOrder(job.entry.job.Record.Shard)
	search := &gangSearch{planner: p, job: job, byShard: byShard, flat: slices.Concat(byShard...)}
	zones := p.candidateZones(job)
	for _, zone := range zones {
		search.searchZone(zone, len(zones) > 1)
	}
	search.reserve()
	return search
}

// hostsInOrder returns the machines with room by shard: the own shard's first, then the peers'
// in random order, so that controllers that look at the same time seldom claim the same.
func (p *planner) hostsInOrder(own string) [][]*sched.Host {
	hosts := p.placing.hostsByShard
	var peers []string
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		if name != own {
			peers = append(peers, name)
		}
	}
	p.scheduler.node.Random.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	ordered := [][]*sched.Host{hosts[own]}
	for _, name := range peers {
		ordered = append(ordered, hosts[name])
	}
	return ordered
}

// candidateZones lists the zones that a gang whose tasks go together may choose from, this
// controller's first. A gang that is bound to a zone, or that may go anywhere, has one choice.
func (p *planner) candidateZones(job *waitingJob) []string {
	spec := &job.entry.job.Record.Spec
	if !spec.Together || job.zones.zone != "" || spec.Zone != "" {
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

// searchZone looks for room in a zone ("": in all), and keeps what it finds if the gang starts
// sooner there than in those before. A gang that is far too large is not looked at closely.
func (g *gangSearch) searchZone(zone string, isChoice bool) {
	request := g.job.request
	if zone != "" {
		request.Zone = zone
	}
	size := len(g.job.tasks)
	free := sched.CountFits(g.flat, &request, size)
	expected := g.countExpected(&request, free)
	if expected >= size {
		g.expected = true
	}
	outlook := roomByRental
	switch {
	case free >= size:
		outlook = roomAvailable
	case expected >= size:
		outlook = roomComing
	case isChoice:
		outlook = g.outlookWithout(&request)
	}
	if free == 0 || expected < size {
		g.offer(&gangAssignment{hosts: make([]*sched.Host, size), zone: zone, outlook: outlook})
		return
	}
	// Shard after shard, or all as one: a fetch takes longer than another shard's capacity record
	// to be changed, and the last task decides when all start.
	for _, groups := range [][][]*sched.Host{g.byShard, {g.flat}} {
		hosts := g.assign(groups, &request)
		g.offer(&gangAssignment{hosts: hosts, zone: zone, outlook: outlook})
		if sched.CountUnassigned(hosts) == 0 && sched.StartDelay(hosts, &request) == 0 {
			break // as soon as can be
		}
	}
}

// countExpected counts the tasks that the room takes which is free, on machines that boot, or
// about to be left.
func (g *gangSearch) countExpected(request *sched.TaskRequest, free int) int {
	size := len(g.job.tasks)
	expected := free + sched.CountFits(g.planner.placing.provisioning, request, size-free)
	for _, host := range g.flat {
		if expected < size && request.Allows(host.MachineType, host.Zone, host.Spot) {
			left := *host
			left.Free = g.planner.scheduler.room.LoadOf(host.Name).Stopping
			expected += sched.CountFits([]*sched.Host{&left}, request, size-expected)
		}
	}
	return expected
}

// outlookWithout returns how a gang that lacks room in a zone, even with what is coming, can get
// it.
func (g *gangSearch) outlookWithout(request *sched.TaskRequest) roomOutlook {
	s := g.planner.scheduler
	size := len(g.job.tasks)
	if sched.CountFits(s.room.WithPreemptibleRoom(g.planner.hosts, g.job.entry.priority), request, size) >= size {
		return roomByPreemption
	}
	for _, offer := range s.catalog.AvailableOffers(g.planner.now) {
		if request.Allows(offer.MachineType, offer.Zone, offer.Spot) {
			return roomByRental
		}
	}
	return roomNowhere
}

// assign tries to assign all tasks, one group of machines after the other, and leaves the machines
// as they were.
func (g *gangSearch) assign(groups [][]*sched.Host, request *sched.TaskRequest) []*sched.Host {
	constraint := g.planner.scheduler.zoneConstraintOf(g.job.entry.job, g.job.zones.admission.CopyAdmission())
	var tasks []sched.GangTask
	for _, task := range g.job.tasks {
		tasks = append(tasks, sched.GangTask{
			ZoneAllowed: func(zone string) bool { return constraint.allows(task.RangeIndex, zone) },
			Assigned:    func(zone string) { constraint.add(task.RangeIndex, zone) },
		})
	}
	hosts := sched.AssignGang(groups, request, tasks)
	sched.Unassign(hosts, request)
	return hosts
}

// offer keeps an assignment if the gang starts sooner with it than with the best so far.
func (g *gangSearch) offer(assignment *gangAssignment) {
	if assignment.startsSooner(&g.best, &g.job.request) {
		g.best = *assignment
	}
}

// isComplete reports whether all tasks found a machine.
func (g *gangSearch) isComplete() bool { return sched.CountUnassigned(g.best.hosts) == 0 }

// reserve keeps the machines found from others, and has what is missing looked for, and rented,
// in their zone.
func (g *gangSearch) reserve() {
	complete := g.isComplete()
	g.reserved = complete || g.expected
	if g.reserved {
		for i, host := range g.best.hosts {
			if host != nil {
				host.Free = host.Free.Sub(g.job.request.Need)
				g.job.zones.add(g.job.tasks[i].RangeIndex, host.Zone)
			}
		}
	}
	if g.job.entry.job.Record.Spec.Together && g.job.zones.zone == "" && !complete {
		g.job.zones.zone = g.best.zone
	}
}

// claim returns the placements of a search that found all.
func (g *gangSearch) claim() *GangClaim {
	claim := &GangClaim{UID: g.job.entry.uid, Placements: make([]capacity.Placement, 0, len(g.best.hosts))}
	for i, host := range g.best.hosts {
		claim.Placements = append(claim.Placements, g.job.placementOf(g.job.tasks[i], host))
	}
	return claim
}
