package controller

import (
	"cmp"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/sched"
)

// queueEntry is a job with tasks to place.
type queueEntry struct {
	job             *liveJob
	uid             string
	priority        int
	withinGuarantee bool
	led             bool
	starving        bool
	released        bool // a gang that has begun its search for room again
	variables       config.JobVariables
	weight          float64
}

// policyVariables tells expressions of a job.
func (sch *schedulerState) policyVariables(j *liveJob, priority int, guarantee bool, now time.Time) config.JobVariables {
	r := &j.record.Spec
	w := config.JobVariables{
		Class:      r.Class,
		Team:       r.Team,
		Kind:       r.Kind,
		Priority:   priority,
		Guaranteed: guarantee,
		Tasks:      r.Tasks,
		GPUs:       r.GPUs,
		CPUs:       r.CPUs,
		Age:        float64(now.UnixMilli()-j.record.AcceptedMS) / 1000,
		Slack:      unlimitedSeconds,
	}
	if in := sch.estimates.deadlineSeconds(r); in < unlimitedSeconds {
		w.Slack = in - w.Age - sch.estimates.estimatedRuntime(r)
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
func compareEntries(a, b *queueEntry) int {
	return cmp.Or(-cmp.Compare(a.weight, b.weight), -sched.CompareBool(a.led, b.led), -sched.CompareBool(a.starving, b.starving),
		-sched.CompareBool(a.released, b.released), compareSlack(a.variables, b.variables), compareAge(a.job, b.job))
}

// queue lists the living jobs in the order in which they are served.
func (sch *schedulerState) queue(now time.Time) []*queueEntry {
	var q []*queueEntry
	byTeam := map[string][]*liveJob{}
	for _, j := range sch.cache.jobs {
		if !j.record.Cancelled {
			byTeam[j.record.Spec.Team] = append(byTeam[j.record.Spec.Team], j)
		}
	}
	for name, jobs := range byTeam {
		team, _ := sch.node.settings.Team(name)
		slices.SortFunc(jobs, compareAge)
		cpus, gpus := 0.0, 0.0
		for _, j := range jobs {
			r := &j.record.Spec
			left := float64(r.Tasks - j.record.FinishedTasks())
			cpus += r.CPUs * left
			gpus += r.GPUs * left
			priority, _ := api.PriorityOf(r.Priority)
			within := fitsGuarantee(team, cpus, gpus)
			w := sch.policyVariables(j, priority, within, now)
			q = append(
				q,
				&queueEntry{
					job:             j,
					uid:             r.UID,
					priority:        priority,
					withinGuarantee: within,
					led:             sch.leadership.of(j.record.Shard) != nil,
					variables:       w,
					weight:          sch.node.policy.Weight(w),
					starving:        sch.starving(j, w.Age),
					released:        sch.hasReleasedClaims(r.UID),
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

// maxStartDelay is within what time even the largest job has to begin (PROTOCOL).
const maxStartDelay = 4 * time.Minute

// starving reports whether a job has not begun although its own aim, or half of
// what PROTOCOL grants the largest jobs, has passed. Such a job goes first within
// its weight: what is late otherwise goes last, and under a stream of small jobs
// that can still be in time a large one would never begin.
func (sch *schedulerState) starving(j *liveJob, age float64) bool {
	if age < min(sch.estimates.deadlineSeconds(&j.record.Spec), (maxStartDelay/2).Seconds()) || len(j.record.FinishedRanges) > 0 {
		return false
	}
	if isGang(j) { // what it holds or did before is no beginning
		return j.record.Gang == nil || !j.record.Gang.Launched || j.record.Gang.Ended
	}
	for _, ch := range j.ranges {
		if ch.record.LastAttempt > 0 {
			return false
		}
	}
	return true
}

func compareAge(a, b *liveJob) int {
	return cmp.Or(cmp.Compare(a.record.AcceptedMS, b.record.AcceptedMS), cmp.Compare(a.record.Spec.UID, b.record.Spec.UID))
}

// maxPendingTasks is how many tasks of one job are looked at at once: what some sixteen thousand
// machines of two accelerators take. A job may have more (api.MaxTasks); they follow when
// some of these are placed.
const maxPendingTasks = 1 << 15

// pendingTasks returns the job's tasks that are neither done nor placed, at most mostPending.
// Plans ask for those of all jobs, so they are kept until the job changes. Who
// changes the list copies it.
func (j *liveJob) pendingTasks() []taskIndex {
	most := maxPendingTasks
	if j.pending != nil {
		return j.pending
	}
	j.pending = []taskIndex{}
	m := j.record
	if m.Frozen {
		return j.pending
	}
	if isGang(j) {
		if most = m.Spec.Tasks; !m.Gang.AcceptsPlacements() && (m.Gang.Done || j.countPlaced() > 0) {
			return j.pending // all of the attempt has to be over first
		}
	}
	for n := range m.RangeCount() {
		if m.RangeFinished(n) {
			continue
		}
		ch := j.ranges[n].record
		for i, done := range ch.DoneFlags(m.RangeLen(n)) {
			if done || ch.PlacementOf(i) != nil {
				continue
			}
			if j.pending = append(j.pending, taskIndex{n, i}); len(j.pending) == most {
				return j.pending
			}
		}
	}
	return j.pending
}

// isBackingOff reports whether a job whose tasks failed waits before the next try:
// ever longer, so that a job that fails everywhere hurts nobody.
func (sch *schedulerState) isBackingOff(q *queueEntry, now time.Time) bool {
	e := 0
	for _, ch := range q.job.ranges {
		e += ch.record.Errors
	}
	if g := q.job.record.Gang; g != nil {
		e += max(g.ErrorStreak, g.FailureStreak-1) // one attempt may fail by chance, and the next goes at once
	}
	if e == 0 {
		delete(sch.errorsSeen, q.uid)
		delete(sch.retryAt, q.uid)
		return false
	}
	if e > sch.errorsSeen[q.uid] {
		sch.retryAt[q.uid] = now.Add(min(sch.node.settings.HeartbeatInterval()<<min(e-1, 10), sch.node.settings.WorkerLease()))
	}
	sch.errorsSeen[q.uid] = e
	return now.Before(sch.retryAt[q.uid])
}
