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

// MaxStartDelay is within what time even the largest job has to begin (PROTOCOL).
const MaxStartDelay = 4 * time.Minute

// quotaTolerance is by how much a sum may pass a limit: sums of decimal fractions are not exact.
const quotaTolerance = 1e-6

// queueEntry is a job in the order in which jobs are served.
type queueEntry struct {
	job             *statecache.Job
	uid             string
	priority        int
	withinGuarantee bool
	led             bool // its shard is led by this controller, which places it
	starving        bool
	released        bool // a gang that has released its claims and begun its search again
	variables       config.JobVariables
	weight          float64
}

// compareEntries is the order in which jobs are served: by weight (by default priority, then
// what is within a team's guarantee), then jobs of own shards, then what starves or has released
// its claims, then slack, then age. Jobs of own shards come first since those of peers are placed
// by them, and what they will take is only kept from what comes after them: without that a peer's
// job would first see its room taken and then stop the taker to get it back.
func compareEntries(a, b *queueEntry) int {
	return cmp.Or(
		-cmp.Compare(a.weight, b.weight),
		-sched.CompareBool(a.led, b.led),
		-sched.CompareBool(a.starving, b.starving),
		-sched.CompareBool(a.released, b.released),
		compareSlack(a.variables, b.variables),
		statecache.CompareAge(a.job, b.job),
	)
}

// compareSlack puts first what has least slack, but what is late anyhow after all
// that can still be in time.
func compareSlack(a, b config.JobVariables) int {
	return cmp.Or(-sched.CompareBool(a.Slack >= 0, b.Slack >= 0), cmp.Compare(max(a.Slack, 0), max(b.Slack, 0)))
}

// queue lists the jobs that are not cancelled in the order in which they are served.
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
		queue = s.appendTeam(queue, team, jobs, now)
	}
	slices.SortFunc(queue, compareEntries)
	return queue
}

// appendTeam adds the jobs of a team to the queue. The oldest of them are within its guarantee,
// as far as that goes for what they have left.
func (s *Scheduler) appendTeam(queue []*queueEntry, team config.Team, jobs []*statecache.Job, now time.Time) []*queueEntry {
	slices.SortFunc(jobs, statecache.CompareAge)
	cpus, gpus := 0.0, 0.0
	for _, job := range jobs {
		spec := &job.Record.Spec
		left := float64(spec.Tasks - job.Record.FinishedTasks())
		cpus += spec.CPUs * left
		gpus += spec.GPUs * left
		priority := spec.Priority.Level()
		within := fitsGuarantee(team, cpus, gpus)
		variables := s.policyVariables(job, priority, within, now)
		queue = append(queue, &queueEntry{
			job:             job,
			uid:             spec.UID,
			priority:        priority,
			withinGuarantee: within,
			led:             s.leadership.Leads(job.Record.Shard),
			variables:       variables,
			weight:          s.node.Policy.Weight(variables),
			starving:        s.isStarving(job, variables.Age),
			released:        s.HasReleasedClaims(spec.UID),
		})
	}
	return queue
}

// fitsGuarantee reports whether a team's jobs fit its guarantee together.
func fitsGuarantee(team config.Team, cpus, gpus float64) bool {
	if team.CPUs == 0 && team.GPUs == 0 {
		return false
	}
	return (team.CPUs == 0 || cpus <= team.CPUs+quotaTolerance) && (team.GPUs == 0 || gpus <= team.GPUs+quotaTolerance)
}

// policyVariables returns what the policy's expressions may ask of a job.
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

// isStarving reports whether a job has not begun although its own objective, or half of
// what PROTOCOL grants the largest jobs, has passed. Such a job goes first within
// its weight: what is late otherwise goes last, and under a stream of small jobs
// that can still be in time a large one would never begin.
func (s *Scheduler) isStarving(job *statecache.Job, ageSeconds float64) bool {
	patience := min(s.estimates.DeadlineSeconds(&job.Record.Spec), (MaxStartDelay / 2).Seconds())
	if ageSeconds < patience || len(job.Record.FinishedRanges) > 0 {
		return false
	}
	if job.IsGang() { // what it has claimed or did before is no beginning
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
