package scheduler

import (
	"slices"
	"time"

	"violetturn/internal/capacity"
	"violetturn/internal/recovery"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// Plan is what this controller would do now, seen from one moment of the state.
type Plan struct {
	Placements     []capacity.Placement
	Gangs          []*GangClaim             // room for whole gangs
	GangVictims    []*statecache.PlacedTask // tasks that have to leave for gangs
	UnmetDemand    []sched.UnmetDemand      // what lacks room and is to be rented for
	AllUnmetDemand []sched.UnmetDemand      // what found no room at once, peers' jobs included
	ReservedHosts  map[string]bool          // machines with room that waits for the rest of a gang's
	RemainingHosts []*sched.Host            // all machines with the room that is left after all that
}

// waitingJob is a job with tasks to place. Its list of tasks shrinks as they find room.
type waitingJob struct {
	entry   *queueEntry
	request sched.TaskRequest
	tasks   []statecache.TaskIndex
	zones   *zoneConstraint

	deferred []statecache.TaskIndex // of those that found no room, those that room is not looked for in this plan

	options  []*preemptOption // machines where it could take others' room
	searched bool             // whether options were looked for
}

// placementOf returns the placement of a task of the job on a machine.
func (w *waitingJob) placementOf(task statecache.TaskIndex, host *sched.Host) capacity.Placement {
	return capacity.Placement{UID: w.entry.uid, RangeIndex: task.RangeIndex, Index: task.Index, Host: host}
}

// coldStart is a placement on a machine without the image that misses its start objective.
type coldStart struct {
	job   *waitingJob
	index int // in the plan's placements
}

// planner works out a plan in stages: it selects the waiting jobs, places what there is
// room for, and looks for room for the rest among what is being left and what may be
// preempted. What then still lacks room is to be rented for. It lives for one plan.
type planner struct {
	scheduler *Scheduler
	now       time.Time
	plan      *Plan

	// From the selection.
	hosts     []*sched.Host // the machines that can take tasks
	queue     []*queueEntry
	smallest  sched.Resources     // the smallest amounts that any waiting task asks for
	admission *recovery.Admission // to zones that are down or recovering
	jobs      []*waitingJob       // in the order in which they are served

	placing placingStage

	// What the first stage leaves to the second.
	coldStarts   []coldStart
	unplaced     []*waitingJob
	gangSearches map[*waitingJob]*gangSearch // of gangs that lack room

	seeking seekingStage
}

// Plan places what can be placed, chooses what to stop for what can't, and says
// what then still lacks room.
func (s *Scheduler) Plan(now time.Time) *Plan {
	began := time.Now()
	defer func() { s.planningTime += time.Since(began) }()
	p := &planner{
		scheduler:    s,
		now:          now,
		plan:         &Plan{ReservedHosts: map[string]bool{}},
		gangSearches: map[*waitingJob]*gangSearch{},
	}
	if !s.catalog.IsKnown() || !s.leadership.MayAct(now) {
		return p.plan
	}
	p.selectJobs()
	p.placeJobs()
	releaseStopping(p.hosts)
	p.plan.RemainingHosts = p.hosts
	if len(p.unplaced) > 0 || len(p.coldStarts) > 0 {
		p.seekRoom()
	}
	return p.plan
}

// selectJobs lists the jobs with tasks to place, in the order in which they are served.
func (p *planner) selectJobs() {
	s := p.scheduler
	p.hosts = s.SchedulableHosts(p.now)
	p.admission = s.zones.Admission(p.now)
	p.queue = s.queue(p.now)
	p.smallest = smallestRequest(p.queue)
	p.placing = p.newPlacingStage()
	for _, entry := range p.queue {
		waits := entry.led && s.isBackingOff(entry, p.now)
		if waits || s.schema.TasksBlocked(entry.job) || len(entry.job.PendingTasks()) == 0 {
			continue
		}
		p.jobs = append(p.jobs, &waitingJob{
			entry:   entry,
			request: p.requestOf(entry.job),
			zones:   s.zoneConstraintOf(entry.job, p.admission),
			tasks:   slices.Clone(entry.job.PendingTasks()),
		})
	}
}

// fetchMargin is the factor on the time that fetching an image should take: fetches may be a
// third slower than the catalog says.
const fetchMargin = 1.5

// requestOf returns what a task of a job asks of a machine.
func (p *planner) requestOf(job *statecache.Job) sched.TaskRequest {
	s := p.scheduler
	spec := &job.Record.Spec
	request := statecache.TaskRequestOf(spec)
	request.ImageFetchS = s.catalog.FetchSeconds(spec)
	slack := s.estimates.WaitingSlack(spec.Class, spec, fetchMargin*request.ImageFetchS)
	request.PreferImage = slack < s.node.Settings.HeartbeatInterval().Seconds()
	return request
}
