package scheduler

import (
	"maps"
	"slices"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// gangState is what this node remembers of a gang besides its record: how its search
// for room goes, and whether its tasks were seen running.
type gangState struct {
	Retry    *sched.GangRetry
	LookedAt time.Time // when room was last looked for out of turn
}

func (sch *Scheduler) GangStateOf(uid string) *gangState {
	g := sch.GangStates[uid]
	if g == nil {
		g = &gangState{Retry: sched.NewGangRetry()}
		sch.GangStates[uid] = g
	}
	return g
}

// HasReleasedClaims reports whether a gang has begun its search for room again: it goes before
// newer ones.
func (sch *Scheduler) HasReleasedClaims(uid string) bool {
	g := sch.GangStates[uid]
	return g != nil && g.Retry.Released
}

// EndedGangAttempts returns the ends of gangs' tasks on machines of own shards.
func (sch *Scheduler) EndedGangAttempts(now time.Time) map[schema.RangeID][]agent.EndedTask {
	all := sch.agents.EndedTasks(now)
	maps.DeleteFunc(all, func(k schema.RangeID, _ []agent.EndedTask) bool { return !sch.cache.Jobs[k.UID].IsGang() })
	return all
}

// UpdateGang adds to a transaction what is to become of a gang. It reports whether it did
// anything.
func (sch *Scheduler) UpdateGang(e *schema.Editor, j *statecache.Job, ends []agent.EndedTask, now time.Time) bool {
	uid, m := j.Record.Spec.UID, j.Record
	g := *m.Gang // as it will be
	launched := time.UnixMilli(m.AcceptedMS).Add(time.Duration(g.LaunchedS) * time.Second)
	gathering := sch.agents.RunningGangs[uid] != g.Attempt && now.Sub(launched) < sch.node.Settings.GangGatherTimeout()/2
	for _, x := range ends {
		how := x.End.Reason
		if how == job.ExitDone && m.Cancelled {
			how = job.ExitLost // its user was told that it is cancelled
		}
		g.TaskEnded(x.End.Attempt, how, gathering)
	}
	if g.Done && !m.Gang.Done {
		sch.node.Log.Info("job done", "job", uid)
		if m.Inline && (len(ends) == j.CountPlaced() || !sch.capacity.CountsAgainstQuota(j)) {
			e.Archive(j, job.FinalState{Phase: api.Done, Done: m.Spec.Tasks})
			return true
		}
		// It is called done from now on, though not all of its records are gone yet.
	}
	led := sch.leadership.Leads(m.Shard)
	drop := false // claims that are given up: nothing of them was ever started
	switch j.Record.Gang.Phase(j.CountPlaced()) {
	case job.GangReserving:
		drop = led && (m.Cancelled || sch.GangsToRelease[uid])
		delete(sch.GangsToRelease, uid)
	case job.GangLaunched:
		if !m.Cancelled && sch.agents.GangInterruptionIsDue(j) {
			g.Stopping = true
		}
		// The others wait for a task that was lost before they ran, but not for ever.
		if led && j.CountPlaced() < m.Spec.Tasks && now.Sub(launched) > sch.node.Settings.GangGatherTimeout()*3/4 {
			g.Abandon()
		}
	}
	if len(ends) == 0 && !drop && g == *m.Gang {
		return false
	}
	if drop {
		for _, n := range slices.Sorted(maps.Keys(j.Ranges)) {
			if e.RangeCost(j, n) > 0 && e.IsFull(e.RangeCost(j, n), 0) {
				break // the rest in the next round
			}
			clear(e.TaskRange(j, n).Placements)
		}
		sch.node.Log.Info("gang claims released", "job", uid, "attempt", g.Attempt)
	}
	for _, x := range ends {
		if e.RangeCost(j, x.Task.RangeIndex) > 0 && e.IsFull(e.RangeCost(j, x.Task.RangeIndex), 0) {
			break
		}
		e.TaskRange(j, x.Task.RangeIndex).EndAttempt(x.Task.Index, x.End.Attempt, false, false)
	}
	e.Record(j).Gang = &g
	return true
}
