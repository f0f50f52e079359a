package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/store"
)

// gangState is what this node remembers of a gang besides its record: how its search
// for room goes, and whether its tasks were seen running.
type gangState struct {
	retry    *sched.GangRetry
	lookedAt time.Time // when room was last looked for out of turn
}

func (sch *schedulerState) gangStateOf(uid string) *gangState {
	g := sch.gangStates[uid]
	if g == nil {
		g = &gangState{retry: sched.NewGangRetry()}
		sch.gangStates[uid] = g
	}
	return g
}

// hasReleasedClaims reports whether a gang has begun its search for room again: it goes before
// newer ones.
func (sch *schedulerState) hasReleasedClaims(uid string) bool {
	g := sch.gangStates[uid]
	return g != nil && g.retry.Released
}

func isGang(j *liveJob) bool { return j.record.Spec.Kind == api.Gang }

// countPlaced counts the tasks that have a place.
func (j *liveJob) countPlaced() int {
	n := 0
	for _, ch := range j.ranges {
		n += len(ch.record.Placements)
	}
	return n
}

// gangPhase returns how a gang's attempt stands.
func (j *liveJob) gangPhase() job.GangPhase { return j.record.Gang.Phase(j.countPlaced()) }

// isCancelled reports whether the job was cancelled, as its record shows or a peer says.
func (j *liveJob) isCancelled() bool { return j.record.Cancelled || j.cancelledByPeer }

// mustStop reports whether a placed task is to leave its machine.
func (j *liveJob) mustStop(p *job.Placement) bool {
	return p.Stopping || j.isCancelled() || isGang(j) && j.record.Gang.MustStop(p.Attempt)
}

// mayLaunch reports whether a placed task may be launched: of a gang only once all its
// room is held.
func (j *liveJob) mayLaunch(p *job.Placement) bool {
	return !j.mustStop(p) && (!isGang(j) || j.record.Gang.MayLaunch(p.Attempt))
}

// updateGangs commits what became of gangs: ends of their tasks, which decide about all
// of them, orderly stops, claims that are given up.
func (c *Controller) updateGangs(ctx context.Context) bool {
	now := c.node.now()
	state := c.guard.Lock()
	if len(state.cache.gangs) == 0 {
		c.guard.Unlock()
		return false
	}
	byJob := map[string][]endedTask{}
	for k, ends := range state.scheduler.endedGangAttempts(now) {
		byJob[k.uid] = append(byJob[k.uid], ends...)
	}
	e := state.schema.newRecordEditor()
	for p := range state.leadership.byShard {
		state.leadership.require(e.txn, p)
	}
	more := false
	var said [][]any
	for _, uid := range slices.Sorted(maps.Keys(state.cache.gangs)) {
		j := state.cache.jobs[uid]
		if state.schema.isBlocked(j) || j.record.Gang == nil {
			continue
		}
		if e.isFull(2, 0) {
			more = true
			break
		}
		before := *j.record.Gang
		if state.scheduler.updateGang(e, j, byJob[uid], now) {
			after := e.records[uid]
			line := []any{"job", uid, "attempt", before.Attempt, "phase_before", before.Phase(j.countPlaced())}
			if after != nil {
				line = append(line, "ended", after.Gang.Ended, "stopping", after.Gang.Stopping)
			} else {
				line = append(line, "done", true)
			}
			said = append(said, append(line, "ends", len(byJob[uid]), "placed", j.countPlaced()))
		}
	}
	n := e.changes
	t := e.transaction()
	c.guard.Unlock()
	if n == 0 || e.outgrown {
		return e.outgrown
	}
	done, _, err := c.commit(ctx, "gang ends", t, store.PriorityGang)
	if done {
		for _, l := range said {
			c.node.log.Info("gang", l...)
		}
		c.wake.notify()
	}
	return more && (done || err == nil)
}

// endedGangAttempts returns the ends of gangs' tasks on machines of own shards.
func (sch *schedulerState) endedGangAttempts(now time.Time) map[rangeID][]endedTask {
	all := sch.agents.endedTasks(now)
	maps.DeleteFunc(all, func(k rangeID, _ []endedTask) bool { return !isGang(sch.cache.jobs[k.uid]) })
	return all
}

// updateGang adds to a transaction what is to become of a gang. It reports whether it did
// anything.
func (sch *schedulerState) updateGang(e *recordEditor, j *liveJob, ends []endedTask, now time.Time) bool {
	uid, m := j.record.Spec.UID, j.record
	g := *m.Gang // as it will be
	launched := time.UnixMilli(m.AcceptedMS).Add(time.Duration(g.LaunchedS) * time.Second)
	gathering := sch.agents.runningGangs[uid] != g.Attempt && now.Sub(launched) < sch.node.settings.GangGatherTimeout()/2
	for _, x := range ends {
		how := x.end.Reason
		if how == job.ExitDone && m.Cancelled {
			how = job.ExitLost // its user was told that it is cancelled
		}
		g.TaskEnded(x.end.Attempt, how, gathering)
	}
	if g.Done && !m.Gang.Done {
		sch.node.log.Info("job done", "job", uid)
		if m.Inline && (len(ends) == j.countPlaced() || !sch.capacity.countsAgainstQuota(j)) {
			e.archive(j, job.FinalState{Phase: api.Done, Done: m.Spec.Tasks})
			return true
		}
		// It is called done from now on, though not all of its records are gone yet.
	}
	led := sch.leadership.of(m.Shard) != nil
	drop := false // claims that are given up: nothing of them was ever started
	switch j.record.Gang.Phase(j.countPlaced()) {
	case job.GangReserving:
		drop = led && (m.Cancelled || sch.gangsToRelease[uid])
		delete(sch.gangsToRelease, uid)
	case job.GangLaunched:
		if !m.Cancelled && sch.agents.gangInterruptionIsDue(j) {
			g.Stopping = true
		}
		// The others wait for a task that was lost before they ran, but not for ever.
		if led && j.countPlaced() < m.Spec.Tasks && now.Sub(launched) > sch.node.settings.GangGatherTimeout()*3/4 {
			g.Abandon()
		}
	}
	if len(ends) == 0 && !drop && g == *m.Gang {
		return false
	}
	if drop {
		for _, n := range slices.Sorted(maps.Keys(j.ranges)) {
			if e.rangeCost(j, n) > 0 && e.isFull(e.rangeCost(j, n), 0) {
				break // the rest in the next round
			}
			clear(e.taskRange(j, n).Placements)
		}
		sch.node.log.Info("gang claims released", "job", uid, "attempt", g.Attempt)
	}
	for _, x := range ends {
		if e.rangeCost(j, x.task.rangeIndex) > 0 && e.isFull(e.rangeCost(j, x.task.rangeIndex), 0) {
			break
		}
		e.taskRange(j, x.task.rangeIndex).EndAttempt(x.task.index, x.end.Attempt, false, false)
	}
	e.record(j).Gang = &g
	return true
}

// countsAgainstQuota reports whether what a gang's tasks use counts against a limit: the place of one
// on a machine that says nothing may still be taken, done or not, so its record is kept
// until all have been heard of.
func (acc *capacityAccounts) countsAgainstQuota(j *liveJob) bool {
	team, _ := acc.node.settings.Team(j.record.Spec.Team)
	return team.Limited()
}

// gangInterruptionIsDue reports whether a machine with a task of a gang is taken away so soon that
// all of them have to save now.
func (reg *agentRegistry) gangInterruptionIsDue(j *liveJob) bool {
	for _, ch := range j.ranges {
		for _, p := range ch.record.Placements {
			if s := reg.byHost[p.Host]; s != nil && reg.interruptionIsDue(s, j) {
				return true
			}
		}
	}
	return false
}

// exitReasonOf reads a cause of a task's end. One that this version doesn't know says
// nothing of who is to blame, and that the task did not complete.
func exitReasonOf(cause string) job.ExitReason {
	switch cause {
	case api.CauseDone:
		return job.ExitDone
	case api.CauseError, api.CauseUnknown:
		return job.ExitError
	case api.CauseNoRoom, api.CauseBusy:
		return job.ExitRefused
	case api.CausePeerLost, api.CauseGangIncomplete:
		return job.ExitPeerLost
	}
	return job.ExitLost
}
