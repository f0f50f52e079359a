package scheduler

import (
	"maps"
	"slices"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// EndedGangAttempts returns the ended attempts of gangs' tasks on machines of shards that this
// controller leads, by task range.
func (s *Scheduler) EndedGangAttempts(now time.Time) map[schema.RangeID][]agent.EndedTask {
	ends := s.agents.EndedTasks(now)
	maps.DeleteFunc(ends, func(id schema.RangeID, _ []agent.EndedTask) bool {
		return !s.cache.Jobs[id.UID].IsGang()
	})
	return ends
}

// gangUpdate computes the next state of a gang.
type gangUpdate struct {
	scheduler *Scheduler
	editor    *schema.Editor
	now       time.Time
	job       *statecache.Job
	ends      []agent.EndedTask
	gang      job.Gang // the state to be written
	release   bool     // its claims are released; none of their tasks was ever started
}

// UpdateGang adds to a transaction the writes of a gang's records that follow from the ends of its
// tasks, the gang's phase and a cancellation. It reports whether there is anything to write.
func (s *Scheduler) UpdateGang(editor *schema.Editor, j *statecache.Job, ends []agent.EndedTask, now time.Time) bool {
	u := &gangUpdate{scheduler: s, editor: editor, now: now, job: j, ends: ends, gang: *j.Record.Gang}
	u.applyEnds()
	if u.gang.Done && !j.Record.Gang.Done {
		s.node.Log.Info("job done", "job", j.Record.Spec.UID)
		if u.archive() {
			return true
		}
		// The gang counts as done from now on, although its records can't be deleted yet.
	}
	u.applyPhase()
	if len(ends) == 0 && !u.release && u.gang == *j.Record.Gang {
		return false
	}
	if u.release {
		u.releaseClaims()
	}
	u.writeEnds()
	editor.Record(j).Gang = &u.gang
	return true
}

// launchedAt returns the time from which the workers may start the gang's tasks.
func (u *gangUpdate) launchedAt() time.Time {
	return u.job.Record.TimeAt(u.gang.LaunchedS)
}

// isGathering reports whether the workers may still wait for all tasks of the attempt to start: no
// task was reported running, and the launch was less than half of the gather timeout ago.
func (u *gangUpdate) isGathering() bool {
	s := u.scheduler
	if s.agents.Gangs().WasRunning(u.job.Record.Spec.UID, u.gang.Attempt) {
		return false
	}
	return u.now.Sub(u.launchedAt()) < s.node.Settings.GangGatherTimeout()/2
}

// applyEnds applies the ends of tasks to the gang's state.
func (u *gangUpdate) applyEnds() {
	gathering := u.isGathering()
	for _, ended := range u.ends {
		reason := ended.Attempt.Reason
		if reason == job.ExitDone && u.job.Record.Cancelled {
			reason = job.ExitLost // the cancellation has been confirmed to the user
		}
		u.gang.RecordTaskEnd(ended.Attempt.Attempt, reason, gathering)
	}
}

// archive replaces the records of a gang that is done by its final state, and reports whether it
// did. If the gang's tasks count against a quota, all of them must have ended first.
func (u *gangUpdate) archive() bool {
	record := u.job.Record
	allEnded := len(u.ends) == u.job.CountPlaced() || !u.scheduler.accounting.CountsAgainstQuota(u.job)
	if !record.Inline || !allEnded {
		return false
	}
	u.editor.Archive(u.job, job.FinalState{Phase: api.JobDone, Done: record.Spec.Tasks})
	return true
}

// applyPhase decides by the gang's recorded phase whether its claims are released, its tasks
// stopped or its attempt abandoned.
func (u *gangUpdate) applyPhase() {
	s, record := u.scheduler, u.job.Record
	ledLocally := s.leadership.Leads(record.Shard)
	switch record.Gang.Phase(u.job.CountPlaced()) {
	case job.GangIdle, job.GangStopping, job.GangEnding, job.GangDone: // nothing to decide; only ends are recorded
	case job.GangReserving:
		marked := s.gangs.consumeRelease(record.Spec.UID)
		u.release = ledLocally && (record.Cancelled || marked)
	case job.GangLaunched:
		if !record.Cancelled && s.agents.IsGangInterruptionDue(u.job) {
			u.gang.Stopping = true
		}
		// The other tasks wait for the replacement of one that was lost before they ran. If the
		// attempt is still incomplete after three quarters of the gather timeout, it is abandoned.
		incomplete := u.job.CountPlaced() < record.Spec.Tasks
		if ledLocally && incomplete && u.now.Sub(u.launchedAt()) > s.node.Settings.GangGatherTimeout()*3/4 {
			u.gang.Abandon()
		}
	}
}

// releaseClaims removes the placements of a gang that was never launched, as many as fit into the
// transaction; the next update removes the rest.
func (u *gangUpdate) releaseClaims() {
	for _, index := range slices.Sorted(maps.Keys(u.job.Ranges)) {
		if u.isFullFor(index) {
			break
		}
		clear(u.editor.TaskRange(u.job, index).Placements)
	}
	u.scheduler.node.Log.Info("gang claims released", "job", u.job.Record.Spec.UID, "attempt", u.gang.Attempt)
}

// writeEnds removes the placements of tasks that ended, as many as fit into the transaction.
func (u *gangUpdate) writeEnds() {
	for _, ended := range u.ends {
		if u.isFullFor(ended.Task.RangeIndex) {
			break
		}
		u.editor.TaskRange(u.job, ended.Task.RangeIndex).EndAttempt(ended.Task.Index, ended.Attempt.Attempt, false, false)
	}
}

// isFullFor reports whether the transaction has no space for a change of a task range.
func (u *gangUpdate) isFullFor(rangeIndex int) bool {
	writes := u.editor.RangeCost(u.job, rangeIndex)
	return writes > 0 && u.editor.IsFull(writes, 0, u.job)
}
