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

// EndedGangAttempts returns the ends of gangs' tasks on machines of own shards.
func (s *Scheduler) EndedGangAttempts(now time.Time) map[schema.RangeID][]agent.EndedTask {
	ends := s.agents.EndedTasks(now)
	maps.DeleteFunc(ends, func(id schema.RangeID, _ []agent.EndedTask) bool {
		return !s.cache.Jobs[id.UID].IsGang()
	})
	return ends
}

// gangUpdate works out what becomes of a gang.
type gangUpdate struct {
	scheduler *Scheduler
	editor    *schema.Editor
	now       time.Time
	job       *statecache.Job
	ends      []agent.EndedTask
	gang      job.Gang // as it will be
	release   bool     // its claims are released: nothing of them was ever started
}

// UpdateGang adds to a transaction what is to become of a gang whose tasks ended like this. It
// reports whether there is anything to write.
func (s *Scheduler) UpdateGang(editor *schema.Editor, j *statecache.Job, ends []agent.EndedTask, now time.Time) bool {
	u := &gangUpdate{scheduler: s, editor: editor, now: now, job: j, ends: ends, gang: *j.Record.Gang}
	u.noteEnds()
	if u.gang.Done && !j.Record.Gang.Done {
		s.node.Log.Info("job done", "job", j.Record.Spec.UID)
		if u.archive() {
			return true
		}
		// From now on it counts as done, though not all of its records can be dropped yet.
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

// launchedAt returns when the gang's workers were let start it.
func (u *gangUpdate) launchedAt() time.Time {
	return time.UnixMilli(u.job.Record.AcceptedMS).Add(time.Duration(u.gang.LaunchedS) * time.Second)
}

// isGathering reports whether the workers may still wait for all tasks of the attempt: none
// was seen running, and it was launched a short time ago.
func (u *gangUpdate) isGathering() bool {
	s := u.scheduler
	if s.agents.Gangs().WasRunning(u.job.Record.Spec.UID, u.gang.Attempt) {
		return false
	}
	return u.now.Sub(u.launchedAt()) < s.node.Settings.GangGatherTimeout()/2
}

// noteEnds works the ends of tasks into the gang's state.
func (u *gangUpdate) noteEnds() {
	gathering := u.isGathering()
	for _, ended := range u.ends {
		reason := ended.Attempt.Reason
		if reason == job.ExitDone && u.job.Record.Cancelled {
			reason = job.ExitLost // its user was told that it is cancelled
		}
		u.gang.RecordTaskEnd(ended.Attempt.Attempt, reason, gathering)
	}
}

// archive replaces the records of a gang that is done by its final state, and reports whether it
// could: all its tasks have to be heard of if they count against a quota.
func (u *gangUpdate) archive() bool {
	record := u.job.Record
	heardAll := len(u.ends) == u.job.CountPlaced() || !u.scheduler.accounts.CountsAgainstQuota(u.job)
	if !record.Inline || !heardAll {
		return false
	}
	u.editor.Archive(u.job, job.FinalState{Phase: api.JobDone, Done: record.Spec.Tasks})
	return true
}

// applyPhase decides by the gang's recorded phase whether its claims are released, or its tasks
// stopped.
func (u *gangUpdate) applyPhase() {
	s, record := u.scheduler, u.job.Record
	led := s.leadership.Leads(record.Shard)
	switch record.Gang.Phase(u.job.CountPlaced()) {
	case job.GangIdle, job.GangStopping, job.GangEnding, job.GangDone: // nothing but ends
	case job.GangReserving:
		marked := s.gangs.consumeRelease(record.Spec.UID)
		u.release = led && (record.Cancelled || marked)
	case job.GangLaunched:
		if !record.Cancelled && s.agents.IsGangInterruptionDue(u.job) {
			u.gang.Stopping = true
		}
		// The others wait for a task that was lost before they ran, but not for ever.
		incomplete := u.job.CountPlaced() < record.Spec.Tasks
		if led && incomplete && u.now.Sub(u.launchedAt()) > s.node.Settings.GangGatherTimeout()*3/4 {
			u.gang.Abandon()
		}
	}
}

// releaseClaims removes the placements of a gang that was never launched, as many as the
// transaction takes; the rest follows in the next round.
func (u *gangUpdate) releaseClaims() {
	for _, index := range slices.Sorted(maps.Keys(u.job.Ranges)) {
		if u.isFullFor(index) {
			break
		}
		clear(u.editor.TaskRange(u.job, index).Placements)
	}
	u.scheduler.node.Log.Info("gang claims released", "job", u.job.Record.Spec.UID, "attempt", u.gang.Attempt)
}

// writeEnds removes the placements of tasks that ended, as many as the transaction takes.
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
	changes := u.editor.RangeCost(u.job, rangeIndex)
	return changes > 0 && u.editor.IsFull(changes, 0)
}
