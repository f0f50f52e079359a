package scheduler

import (
	"slices"
	"time"

	"violetturn/internal/capacity"
	"violetturn/internal/recovery"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// Plan lists the scheduling decisions that follow from the state at one moment. It changes nothing
// itself: the placements, claims and preemptions take effect when they are committed.
type Plan struct {
	Placements     []capacity.Placement
	GangClaims     []*GangClaim             // one for each gang whose unplaced tasks all fit
	GangVictims    []*statecache.PlacedTask // tasks to be preempted for gangs
	UnmetDemand    []sched.UnmetDemand      // tasks of this controller's jobs without capacity, for which machines are to be rented
	AllUnmetDemand []sched.UnmetDemand      // UnmetDemand and the unplaced tasks of jobs in shards that peers lead
	ReservedHosts  map[string]bool          // machines reserved for gangs that do not have all their capacity yet
	RemainingHosts []*sched.Host            // all machines on which tasks can be placed, with the capacity left after the plan
}

// waitingJob is a job with tasks to place.
type waitingJob struct {
	entry          *queueEntry
	request        sched.TaskRequest
	tasks          []statecache.TaskIndex // tasks that are not placed yet
	zoneConstraint *zoneConstraint

	deferred []statecache.TaskIndex // unplaced tasks for which this plan does not try to reclaim capacity

	preemptOptions         []*preemptOption // machines where the job could preempt tasks; see planner.preemptOptions
	preemptOptionsComputed bool             // preemptOptions is valid
}

// placementOf returns a placement of one of the job's tasks on a machine.
func (w *waitingJob) placementOf(task statecache.TaskIndex, host *sched.Host) capacity.Placement {
	return capacity.Placement{UID: w.entry.uid, RangeIndex: task.RangeIndex, Index: task.Index, Host: host}
}

// coldStart is a placement on a machine that does not have the image, so that the task misses its
// start objective.
type coldStart struct {
	job            *waitingJob
	placementIndex int // in Plan.Placements
}

// planner computes one plan in stages. It selects the waiting jobs and places their tasks on free
// capacity. For tasks that do not fit, it reclaims the capacity of stopping tasks, or of tasks that
// may be preempted. The tasks that remain become unmet demand, for which machines are rented.
type planner struct {
	scheduler *Scheduler
	now       time.Time
	plan      *Plan

	// Set by selectJobs.
	hosts           []*sched.Host       // machines on which tasks can be placed, by name
	queue           []*queueEntry       // all jobs that are not cancelled, in scheduling order
	smallestRequest sched.Resources     // least amount of each resource that any unplaced task requests
	admission       *recovery.Admission // limits placement in zones that are down or recovering
	jobs            []*waitingJob       // jobs of the queue with tasks to place, in scheduling order

	placementStage placementStage

	// Output of the placement stage for the reclaim stage.
	coldStarts   []coldStart
	unplaced     []*waitingJob               // jobs with tasks that did not fit on free capacity
	gangSearches map[*waitingJob]*gangSearch // searches of the gangs that did not fit on free capacity

	reclaimStage reclaimStage
}

// Plan computes which tasks to place on free capacity, which tasks to preempt for those that do not
// fit, and the demand that is still unmet. The plan is empty if this controller may not act now or
// the machine types are unknown.
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
	p.smallestRequest = smallestRequest(p.queue)
	p.placementStage = p.newPlacementStage()
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

// fetchMargin is the factor applied to the estimated time to fetch an image, because the actual fetch
// rate may be a third lower than the catalog states.
const fetchMargin = 1.5

// requestOf returns the requirements of a job's tasks on a machine. The tasks prefer machines that
// have the image if a heartbeat interval and an image fetch would make the job miss its deadline or
// an objective.
func (p *planner) requestOf(job *statecache.Job) sched.TaskRequest {
	s := p.scheduler
	spec := &job.Record.Spec
	request := statecache.TaskRequestOf(spec)
	request.ImageFetchS = s.catalog.FetchSeconds(spec)
	slack := s.estimates.WaitingSlack(spec.Class, spec, fetchMargin*request.ImageFetchS)
	request.PreferImage = slack < s.node.Settings.HeartbeatInterval().Seconds()
	return request
}
