package scheduler

import (
	"cmp"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/estimate"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// QueueEntry is a job with tasks to place.
type QueueEntry struct {
	Job             *statecache.Job
	UID             string
	Priority        int
	WithinGuarantee bool
	led             bool
	starving        bool
	released        bool // a gang that has begun its search for room again
	variables       config.JobVariables
	weight          float64
}

// policyVariables tells expressions of a job.
func (sch *Scheduler) policyVariables(j *statecache.Job, priority int, guarantee bool, now time.Time) config.JobVariables {
	r := &j.Record.Spec
	w := config.JobVariables{
		Class:      r.Class,
		Team:       r.Team,
		Kind:       r.Kind,
		Priority:   priority,
		Guaranteed: guarantee,
		Tasks:      r.Tasks,
		GPUs:       r.GPUs,
		CPUs:       r.CPUs,
		Age:        float64(now.UnixMilli()-j.Record.AcceptedMS) / 1000,
		Slack:      estimate.UnlimitedSeconds,
	}
	if in := sch.estimates.DeadlineSeconds(r); in < estimate.UnlimitedSeconds {
		w.Slack = in - w.Age - sch.estimates.EstimatedRuntime(r)
	}
	return w
}

// compareSlack puts first what has least slack, but what is late anyhow after all
// that can still be in time.
func compareSlack(a, b config.JobVariables) int {
	return cmp.Or(-sched.CompareBool(a.Slack >= 0, b.Slack >= 0), cmp.Compare(max(a.Slack, 0), max(b.Slack, 0)))
}

// compareEntries is the order in which jobs are served: by weight (by default rank, then what
// is within a team's guarantee), then own ones, then what starves or was released, then
// slack, then age. Own ones come first since those of peers are placed by them, and what
// they will take is only kept from what comes after them: without that a peer's job would
// first see its room taken and then stop the taker to get it back.
func compareEntries(a, b *QueueEntry) int {
	return cmp.Or(-cmp.Compare(a.weight, b.weight), -sched.CompareBool(a.led, b.led), -sched.CompareBool(a.starving, b.starving),
		-sched.CompareBool(a.released, b.released), compareSlack(a.variables, b.variables), statecache.CompareAge(a.Job, b.Job))
}

// queue lists the living jobs in the order in which they are served.
func (sch *Scheduler) queue(now time.Time) []*QueueEntry {
	var q []*QueueEntry
	byTeam := map[string][]*statecache.Job{}
	for _, j := range sch.cache.Jobs {
		if !j.Record.Cancelled {
			byTeam[j.Record.Spec.Team] = append(byTeam[j.Record.Spec.Team], j)
		}
	}
	for name, jobs := range byTeam {
		team, _ := sch.node.Settings.Team(name)
		slices.SortFunc(jobs, statecache.CompareAge)
		cpus, gpus := 0.0, 0.0
		for _, j := range jobs {
			r := &j.Record.Spec
			left := float64(r.Tasks - j.Record.FinishedTasks())
			cpus += r.CPUs * left
			gpus += r.GPUs * left
			priority, _ := api.PriorityOf(r.Priority)
			within := fitsGuarantee(team, cpus, gpus)
			w := sch.policyVariables(j, priority, within, now)
			q = append(
				q,
				&QueueEntry{
					Job:             j,
					UID:             r.UID,
					Priority:        priority,
					WithinGuarantee: within,
					led:             sch.leadership.Leads(j.Record.Shard),
					variables:       w,
					weight:          sch.node.Policy.Weight(w),
					starving:        sch.starving(j, w.Age),
					released:        sch.HasReleasedClaims(r.UID),
				},
			)
		}
	}
	slices.SortFunc(q, compareEntries)
	return q
}

// fitsGuarantee reports whether a team's jobs fit its guarantee together.
func fitsGuarantee(team config.Team, cpus, gpus float64) bool {
	const eps = 1e-6 // sums of decimal fractions are not exact
	if team.CPUs == 0 && team.GPUs == 0 {
		return false
	}
	return (team.CPUs == 0 || cpus <= team.CPUs+eps) && (team.GPUs == 0 || gpus <= team.GPUs+eps)
}

// MaxStartDelay is within what time even the largest job has to begin (PROTOCOL).
const MaxStartDelay = 4 * time.Minute

// starving reports whether a job has not begun although its own aim, or half of
// what PROTOCOL grants the largest jobs, has passed. Such a job goes first within
// its weight: what is late otherwise goes last, and under a stream of small jobs
// that can still be in time a large one would never begin.
func (sch *Scheduler) starving(j *statecache.Job, age float64) bool {
	if age < min(sch.estimates.DeadlineSeconds(&j.Record.Spec), (MaxStartDelay/2).Seconds()) || len(j.Record.FinishedRanges) > 0 {
		return false
	}
	if j.IsGang() { // what it holds or did before is no beginning
		return j.Record.Gang == nil || !j.Record.Gang.Launched || j.Record.Gang.Ended
	}
	for _, ch := range j.Ranges {
		if ch.Record.LastAttempt > 0 {
			return false
		}
	}
	return true
}

// IsBackingOff reports whether a job whose tasks failed waits before the next try:
// ever longer, so that a job that fails everywhere hurts nobody.
func (sch *Scheduler) IsBackingOff(q *QueueEntry, now time.Time) bool {
	e := 0
	for _, ch := range q.Job.Ranges {
		e += ch.Record.Errors
	}
	if g := q.Job.Record.Gang; g != nil {
		e += max(g.ErrorStreak, g.FailureStreak-1) // one attempt may fail by chance, and the next goes at once
	}
	if e == 0 {
		delete(sch.ErrorsSeen, q.UID)
		delete(sch.RetryAt, q.UID)
		return false
	}
	if e > sch.ErrorsSeen[q.UID] {
		sch.RetryAt[q.UID] = now.Add(min(sch.node.Settings.HeartbeatInterval()<<min(e-1, 10), sch.node.Settings.WorkerLease()))
	}
	sch.ErrorsSeen[q.UID] = e
	return now.Before(sch.RetryAt[q.UID])
}
