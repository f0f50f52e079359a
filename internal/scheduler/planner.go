package scheduler

import (
	"slices"
	"time"

	"violetturn/internal/capacity"
	"violetturn/internal/recovery"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// Plan is what this controller would do, computed from the state at one moment.
type Plan struct {
	Placements     []capacity.Placement
	GangClaims     []*GangClaim             // claims for all unplaced tasks of a gang each
	GangVictims    []*statecache.PlacedTask // tasks to stop for gangs
	UnmetDemand    []sched.UnmetDemand      // tasks without capacity, for which machines are to be rented
	AllUnmetDemand []sched.UnmetDemand      // the same, and the unplaced tasks of peers' jobs
	ReservedHosts  map[string]bool          // machines reserved for gangs that do not have all their capacity yet
	RemainingHosts []*sched.Host            // all machines, with the capacity left after the plan
}

// waitingJob is a job with tasks to place. Tasks are removed from its list as they are placed.
type waitingJob struct {
	entry          *queueEntry
	request        sched.TaskRequest
	tasks          []statecache.TaskIndex
	zoneConstraint *zoneConstraint

	deferred []statecache.TaskIndex // unplaced tasks for which this plan does not try to reclaim capacity

	preemptOptions      []*preemptOption // machines where it could preempt tasks
	preemptOptionsKnown bool             // whether preemptOptions has been computed
}

// placementOf returns the placement of a task of the job on a machine.
func (w *waitingJob) placementOf(task statecache.TaskIndex, host *sched.Host) capacity.Placement {
	return capacity.Placement{UID: w.entry.uid, RangeIndex: task.RangeIndex, Index: task.Index, Host: host}
}

// coldStart is a placement on a machine that does not have the image, so that the start misses its
// objective.
type coldStart struct {
	job   *waitingJob
	index int // in the plan's placements
}

// planner computes a plan in stages: it selects the waiting jobs, places tasks on free capacity,
// and reclaims capacity for the rest: that of tasks that are stopping, and that of tasks that may
// be preempted. Machines are to be rented for tasks that are unplaced after that. A planner is
// used for one plan.
type planner struct {
	scheduler *Scheduler
	now       time.Time
	plan      *Plan

	// Set by selectJobs.
	hosts     []*sched.Host // machines that can take tasks
	queue     []*queueEntry
	smallest  sched.Resources     // least amount of each resource that any waiting task requests
	admission *recovery.Admission // limits placement in zones that are down or recovering
	jobs      []*waitingJob       // in scheduling order

	placement placementStage

	// Output of the placement stage for the reclaim stage.
	coldStarts   []coldStart
	unplaced     []*waitingJob
	gangSearches map[*waitingJob]*gangSearch // of gangs that lack capacity

	reclaim reclaimStage
}

// Plan places tasks on free capacity, selects tasks to preempt for those that do not fit, and
// lists the demand that is still unmet.
func (s *Scheduler) Plan(now time.Time) *Plan {
	start := time.Now()
	defer func() { s.planningTime += time.Since(start) }()
	p := &planner{
		scheduler:    s,
		now:          now,
		plan:         &Plan{ReservedHosts: map[string]bool{}},
		gangSearches: map[*waitingJob]*gangSearch{},
	}
	if !s.catalog.IsLoaded() || !s.leadership.MayAct(now) {
		return p.plan
	}
	p.selectJobs()
	p.placeJobs()
	addStoppingCapacity(p.hosts)
	p.plan.RemainingHosts = p.hosts
	if len(p.unplaced) > 0 || len(p.coldStarts) > 0 {
		p.reclaimCapacity()
	}
	return p.plan
}

// selectJobs lists the jobs with tasks to place, in scheduling order.
func (p *planner) selectJobs() {
	s := p.scheduler
	p.hosts = s.SchedulableHosts(p.now)
	p.admission = s.zones.Admission(p.now)
	p.queue = s.queue(p.now)
	p.smallest = smallestRequest(p.queue)
	p.placement = p.newPlacementStage()
	for _, entry := range p.queue {
		isBackingOff := entry.ledLocally && s.isBackingOff(entry, p.now)
		if isBackingOff || s.schema.TasksBlocked(entry.job) || len(entry.job.PendingTasks()) == 0 {
			continue
		}
		p.jobs = append(p.jobs, &waitingJob{
			entry:          entry,
			request:        p.requestOf(entry.job),
			zoneConstraint: s.zoneConstraintOf(entry.job, p.admission),
			tasks:          slices.Clone(entry.job.PendingTasks()),
		})
	}
}

// fetchMargin is the factor applied to the estimated time to fetch an image: fetches may be a
// third slower than the catalog says.
const fetchMargin = 1.5

// requestOf returns what a task of a job requests of a machine.
func (p *planner) requestOf(job *statecache.Job) sched.TaskRequest {
	s := p.scheduler
	spec := &job.Record.Spec
	request := statecache.TaskRequestOf(spec)
	request.ImageFetchS = s.catalog.FetchSeconds(spec)
	slack := s.estimates.WaitingSlack(spec.Class, spec, fetchMargin*request.ImageFetchS)
	request.PreferImage = slack < s.node.Settings.HeartbeatInterval().Seconds()
	return request
}
