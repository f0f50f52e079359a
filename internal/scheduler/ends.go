package scheduler

import (
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/capacity"
	"violetturn/internal/schema"
)

// EndsAreDue reports whether the ends of tasks of a task range are to be committed now. A task
// that completed while others of its task range run on can wait for them, unless its
// machine is to go or its team is near its limit; one that has to run again can
// not, nor can the last one of a task range.
func (sch *Scheduler) EndsAreDue(k schema.RangeID, ends []agent.EndedTask, now time.Time) bool {
	j := sch.cache.Jobs[k.UID]
	ch := j.Ranges[k.Index].Record
	if ch == nil {
		return false
	}
	// Leaders see only the ends on their own machines: each commits those when all
	// of its own have ended and no task waits for room any more. The last to do so
	// completes the task range.
	own := 0
	for _, p := range ch.Placements {
		if m := sch.cache.Machines[p.Host]; m != nil && sch.leadership.Leads(m.Shard) {
			own++
		}
	}
	if len(ends) == own && (j.Record.Cancelled || ch.DoneCount()+len(ch.Placements) >= j.Record.RangeLen(k.Index)) {
		return true
	}
	if j.Record.Cancelled {
		return now.Sub(ends[0].End.EndedAt) > sch.node.Settings.WorkerLease()
	}
	team, _ := sch.node.Settings.Team(j.Record.Spec.Team)
	for _, e := range ends {
		s := sch.agents.ByHost[e.Task.Placement.Host]
		if !e.End.Done || s == nil || s.Cordoned || s.Terminated || now.Sub(e.End.EndedAt) > 2*sch.node.Settings.WorkerLease() {
			return true
		}
	}
	if team.Limited() {
		held, others := sch.capacity.QuotaShares(team.Name, "")
		limit, all := capacity.QuotaLimitOf(team), held.Add(others)
		return limit.CPUs > 0 && all.CPUs > limit.CPUs*3/4 || limit.GPUs > 0 && all.GPUs > limit.GPUs*3/4
	}
	return false
}
