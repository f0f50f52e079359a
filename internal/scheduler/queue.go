package scheduler

import (
	"cmp"
	"slices"
	"time"

	"violetturn/internal/config"
	"violetturn/internal/estimate"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// MaxStartDelay is the time within which PROTOCOL requires even the largest job to start.
const MaxStartDelay = 4 * time.Minute

// quotaTolerance is how far a sum may exceed a limit, because sums of decimal fractions are not
// exact.
const quotaTolerance = 1e-6

// queueEntry is a job with the properties that determine its position in the scheduling order.
type queueEntry struct {
	job             *statecache.Job
	uid             string
	priority        int // level; 0 is the highest priority
	withinGuarantee bool
	ledLocally      bool // this controller leads the job's shard and places its tasks
	starving        bool
	releasedClaims  bool // the job is a gang that has released its claims and restarted its search
	variables       config.JobVariables
	weight          float64
}

// compareEntries defines the scheduling order: by weight (by default the priority, then whether
// the job is within its team's guarantee), then jobs of shards that this controller leads, then
// starving jobs, then gangs that have released their claims, then slack, then age.
//
// Jobs of peers' shards come after this controller's jobs of the same weight, because the leaders of
// their shards place them. They are in the queue so that a plan holds back capacity for them from
// the jobs after them: otherwise a job of this controller could take the capacity of a peer's job,
// which would then preempt it to get the capacity back.
func compareEntries(a, b *queueEntry) int {
	return cmp.Or(
		-cmp.Compare(a.weight, b.weight),
		-sched.CompareBool(a.ledLocally, b.ledLocally),
		-sched.CompareBool(a.starving, b.starving),
		-sched.CompareBool(a.releasedClaims, b.releasedClaims),
		compareSlack(a.variables, b.variables),
		statecache.CompareAge(a.job, b.job),
	)
}

// compareSlack orders jobs by slack, the least first, but late jobs after all that can still meet
// their deadlines.
func compareSlack(a, b config.JobVariables) int {
	return cmp.Or(-sched.CompareBool(a.Slack >= 0, b.Slack >= 0), cmp.Compare(max(a.Slack, 0), max(b.Slack, 0)))
}

// queue lists the jobs that are not cancelled, in scheduling order.
func (s *Scheduler) queue(now time.Time) []*queueEntry {
	byTeam := map[string][]*statecache.Job{}
	for _, job := range s.cache.Jobs {
		if !job.Record.Cancelled {
			byTeam[job.Record.Spec.Team] = append(byTeam[job.Record.Spec.Team], job)
		}
	}
	var queue []*queueEntry
	for name, jobs := range byTeam {
		team, _ := s.node.Settings.Team(name)
		queue = s.appendTeamJobs(queue, team, jobs, now)
	}
	slices.SortFunc(queue, compareEntries)
	return queue
}

// appendTeamJobs adds the jobs of a team to the queue. The unfinished tasks of the jobs count against
// the team's guarantee, those of the oldest job first.
func (s *Scheduler) appendTeamJobs(queue []*queueEntry, team config.Team, jobs []*statecache.Job, now time.Time) []*queueEntry {
	slices.SortFunc(jobs, statecache.CompareAge)
	cpus, gpus := 0.0, 0.0
	for _, job := range jobs {
		spec := &job.Record.Spec
		unfinished := float64(spec.Tasks - job.Record.FinishedTasks())
		cpus += spec.CPUs * unfinished
		gpus += spec.GPUs * unfinished
		priority := spec.Priority.Level()
		withinGuarantee := fitsGuarantee(team, cpus, gpus)
		variables := s.policyVariables(job, priority, withinGuarantee, now)
		queue = append(queue, &queueEntry{
			job:             job,
			uid:             spec.UID,
			priority:        priority,
			withinGuarantee: withinGuarantee,
			ledLocally:      s.leadership.Leads(job.Record.Shard),
			variables:       variables,
			weight:          s.node.Policy.Weight(variables),
			starving:        s.isStarving(job, variables.Age),
			releasedClaims:  s.HasReleasedClaims(spec.UID),
		})
	}
	return queue
}

// fitsGuarantee reports whether these amounts are within a team's guarantee.
func fitsGuarantee(team config.Team, cpus, gpus float64) bool {
	if team.GuaranteedCPUs == 0 && team.GuaranteedGPUs == 0 {
		return false
	}
	return (team.GuaranteedCPUs == 0 || cpus <= team.GuaranteedCPUs+quotaTolerance) &&
		(team.GuaranteedGPUs == 0 || gpus <= team.GuaranteedGPUs+quotaTolerance)
}

// policyVariables returns the variables of a job that the policy's expressions can use.
func (s *Scheduler) policyVariables(job *statecache.Job, priority int, guaranteed bool, now time.Time) config.JobVariables {
	spec := &job.Record.Spec
	variables := config.JobVariables{
		Class:      spec.Class,
		Team:       spec.Team,
		Kind:       spec.Kind.String(),
		Priority:   priority,
		Guaranteed: guaranteed,
		Tasks:      spec.Tasks,
		GPUs:       spec.GPUs,
		CPUs:       spec.CPUs,
		Age:        float64(now.UnixMilli()-job.Record.AcceptedMS) / 1000,
		Slack:      estimate.UnlimitedSeconds,
	}
	if deadline := s.estimates.DeadlineSeconds(spec); deadline < estimate.UnlimitedSeconds {
		variables.Slack = deadline - variables.Age - s.estimates.EstimatedRuntime(spec)
	}
	return variables
}

// isStarving reports whether a job has not started although its deadline, or half of MaxStartDelay,
// has passed. A starving job is scheduled before others of its weight. Late jobs otherwise come last,
// and a large one would never start under a stream of small jobs that can still meet their deadlines.
func (s *Scheduler) isStarving(job *statecache.Job, ageSeconds float64) bool {
	maxWaitSeconds := min(s.estimates.DeadlineSeconds(&job.Record.Spec), (MaxStartDelay / 2).Seconds())
	if ageSeconds < maxWaitSeconds || len(job.Record.FinishedRanges) > 0 {
		return false
	}
	if job.IsGang() { // claims and earlier attempts do not count as a start
		gang := job.Record.Gang
		return gang == nil || !gang.Launched || gang.Ended
	}
	for _, taskRange := range job.Ranges {
		if taskRange.Record.LastAttempt > 0 {
			return false
		}
	}
	return true
}
