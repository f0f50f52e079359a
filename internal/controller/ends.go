package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// endedTask is an attempt that is over.
type endedTask struct {
	task *placedTask
	end  shard.EndedAttempt
}

// isCompleted reports whether a placed task has completed, though that need not be
// committed yet: its room is free, and its end is recorded with others to save
// changes.
func (reg *agentRegistry) isCompleted(host, id string, pl *placedTask) bool {
	s := reg.byHost[host]
	if s == nil {
		return false
	}
	r, ok := s.EndedAttempts[id]
	return ok && r.Done && r.Attempt == pl.placement.Attempt
}

// loadOf returns what is placed on a machine. A plan asks for that of all machines,
// so it is worked out only when something has changed there: whoever changes what
// it rests on (places, the jobs' records, Releases) drops it.
func (mr *machineRoom) loadOf(host string) *machineLoad {
	l := mr.cache.loads[host]
	if l != nil {
		return l
	}
	l = &machineLoad{}
	for id, pl := range mr.cache.placements[host] {
		j := mr.cache.jobs[pl.uid]
		if j != nil {
			l.lastPlacedMS = max(l.lastPlacedMS, j.record.AcceptedMS+pl.placement.PlacedS*1000)
		}
		if mr.agents.isCompleted(host, id, pl) {
			continue
		}
		if j == nil {
			l.arrays++
			continue
		}
		n := resourcesOf(&j.record.Spec)
		l.used = l.used.Add(n)
		if j.record.Spec.Kind == api.Service {
			l.services++
		} else {
			l.arrays++
		}
		if j.mustStop(pl.placement) {
			l.stopping = l.stopping.Add(n)
		} else if priority, _ := api.PriorityOf(j.record.Spec.Priority); priority < len(l.runningByPriority) {
			l.runningByPriority[priority] = l.runningByPriority[priority].Add(n)
		}
	}
	mr.cache.loads[host] = l
	return l
}

// noteEnd notes that an attempt is over.
func (reg *agentRegistry) noteEnd(host string, s *shard.Agent, id string, r shard.EndedAttempt) {
	s.EndedAttempts[id] = r
	delete(reg.cache.loads, host)
}

// unfinishedTasks counts the tasks on a machine that are not over.
func (mr *machineRoom) unfinishedTasks(host string) int {
	l := mr.loadOf(host)
	return l.services + l.arrays
}

// endedTasks looks over the machines of own shards and collects the attempts that
// are over, by task range.
func (reg *agentRegistry) endedTasks(now time.Time) map[rangeID][]endedTask {
	chunks := map[rangeID][]endedTask{}
	bound := reg.node.settings.WorkerLeaseBound()
	for host, m := range reg.cache.machines {
		o := reg.leadership.of(m.Shard)
		if o == nil || reg.cache.capacities[m.Shard].record == nil {
			continue
		}
		s := reg.of(host, o)
		on := reg.cache.placements[host]
		// Entries of tasks that are no longer there do no harm, for a later
		// attempt has another number: they go when there are too many.
		if len(s.FirstRuns) > len(on) {
			maps.DeleteFunc(s.FirstRuns, func(id string, _ shard.FirstRun) bool { return on[id] == nil })
		}
		if len(s.PendingLaunches) > len(on) {
			maps.DeleteFunc(s.PendingLaunches, func(id string, _ shard.PendingLaunch) bool { return on[id] == nil })
		}
		for id, r := range s.EndedAttempts {
			if pl := on[id]; pl == nil || pl.placement.Attempt != r.Attempt {
				delete(s.EndedAttempts, id) // committed
			}
		}
		dead := s.IsLeaseExpired(now, bound)
		if dead && !s.LeaseExpired {
			s.LeaseExpired = true
			if len(on) > 0 {
				reg.node.log.Info("worker lease expired", "host", host, "tasks", len(on), "terminated", s.Terminated)
			}
		} else if !dead {
			s.LeaseExpired = false
		}
		if len(s.EndedAttempts) == 0 && !dead {
			continue
		}
		for id, pl := range on {
			if _, ok := s.EndedAttempts[id]; !ok && dead {
				reg.noteEnd(host, s, id, shard.EndedAttempt{Attempt: pl.placement.Attempt, EndedAt: now})
			}
			if r, ok := s.EndedAttempts[id]; ok && reg.cache.jobs[pl.uid] != nil {
				k := rangeID{uid: pl.uid, index: pl.rangeIndex}
				chunks[k] = append(chunks[k], endedTask{pl, r})
			}
		}
	}
	return chunks
}

// endsAreDue reports whether the ends of tasks of a task range are to be committed now. A task
// that completed while others of its task range run on can wait for them, unless its
// machine is to go or its team is near its limit; one that has to run again can
// not, nor can the last one of a task range.
func (sch *schedulerState) endsAreDue(k rangeID, ends []endedTask, now time.Time) bool {
	j := sch.cache.jobs[k.uid]
	ch := j.ranges[k.index].record
	if ch == nil {
		return false
	}
	// Leaders see only the ends on their own machines: each commits those when all
	// of its own have ended and no task waits for room any more. The last to do so
	// completes the task range.
	own := 0
	for _, p := range ch.Placements {
		if m := sch.cache.machines[p.Host]; m != nil && sch.leadership.of(m.Shard) != nil {
			own++
		}
	}
	if len(ends) == own && (j.record.Cancelled || ch.DoneCount()+len(ch.Placements) >= j.record.RangeLen(k.index)) {
		return true
	}
	if j.record.Cancelled {
		return now.Sub(ends[0].end.EndedAt) > sch.node.settings.WorkerLease()
	}
	team, _ := sch.node.settings.Team(j.record.Spec.Team)
	for _, e := range ends {
		s := sch.agents.byHost[e.task.placement.Host]
		if !e.end.Done || s == nil || s.Cordoned || s.Terminated || now.Sub(e.end.EndedAt) > 2*sch.node.settings.WorkerLease() {
			return true
		}
	}
	if team.Limited() {
		held, others := sch.capacity.quotaShares(team.Name, "")
		limit, all := quotaLimitOf(team), held.Add(others)
		return limit.CPUs > 0 && all.CPUs > limit.CPUs*3/4 || limit.GPUs > 0 && all.GPUs > limit.GPUs*3/4
	}
	return false
}

// commitEnds commits ended attempts. The room they free shows in the shards'
// records with the next write of those.
func (c *Controller) commitEnds(ctx context.Context) bool {
	now := c.node.now()
	state := c.guard.Lock()
	e := state.schema.newRecordEditor()
	for p := range state.leadership.byShard {
		state.leadership.require(e.txn, p)
	}
	chunks := state.agents.endedTasks(now)
	keys := slices.SortedFunc(maps.Keys(chunks), func(a, b rangeID) int { // jobs that may be complete first
		if a.uid != b.uid {
			if a.uid < b.uid {
				return -1
			}
			return 1
		}
		return a.index - b.index
	})
	more := false
	for _, k := range keys {
		ends := chunks[k]
		j := state.cache.jobs[k.uid]
		if j.record.Spec.Kind == api.Gang || state.schema.isBlocked(j) || !state.scheduler.endsAreDue(k, ends, now) {
			continue
		}
		cost := 3 // task range, main record and past record
		if j.record.Inline {
			cost = 2
		}
		if e.isFull(cost, 0) {
			more = true // the rest goes into the next transaction
			break
		}
		r := &j.record.Spec
		ch := e.taskRange(j, k.index)
		for _, x := range ends {
			ch.EndAttempt(x.task.index, x.end.Attempt, x.end.Done && r.Kind == api.Array, x.end.Failed)
		}
		if r.Kind != api.Array || j.record.Cancelled || ch.DoneCount() < j.record.RangeLen(k.index) {
			continue
		}
		m := e.record(j)
		m.FinishRange(k.index)
		e.deletes[k] = true
		if m.Complete() {
			e.archive(j, job.FinalState{Phase: api.Done, Done: r.Tasks})
			c.node.log.Info("job done", "job", k.uid)
		}
	}
	n := e.changes
	t := e.transaction()
	c.guard.Unlock()
	if n == 0 || e.outgrown {
		return e.outgrown
	}
	done, _, err := c.commit(ctx, "ends", t, store.PriorityDecision)
	return more && (done || err == nil)
}

// archiveJobs moves cancelled jobs without tasks on machines to the past.
func (c *Controller) archiveJobs(ctx context.Context) bool {
	state := c.guard.Lock()
	e := state.schema.newRecordEditor()
	for _, j := range state.cache.jobs {
		over := j.record.Cancelled || j.record.Gang != nil && j.record.Gang.Done
		if !over || state.leadership.of(j.record.Shard) == nil || e.isFull(2, 0) {
			continue
		}
		on, done := 0, j.record.FinishedTasks()
		for n, ch := range j.ranges {
			on += len(ch.record.Placements)
			if !j.record.RangeFinished(n) {
				done += ch.record.DoneCount()
			}
		}
		past := job.FinalState{Phase: api.Cancelled, Done: done}
		if g := j.record.Gang; g != nil && g.Done {
			past = job.FinalState{Phase: api.Done, Done: j.record.Spec.Tasks}
			if on > 0 && state.capacity.countsAgainstQuota(j) {
				continue
			}
		} else if on > 0 {
			continue
		}
		state.leadership.require(e.txn, j.record.Shard)
		all := true
		if !j.record.Inline {
			for n := range j.ranges {
				if e.isFull(1, 0) {
					all = false
					break
				}
				e.deleteRange(j, n)
			}
		}
		// No start can come between: it would need the job not cancelled.
		if all && !e.isFull(2, 0) {
			e.archive(j, past)
		}
	}
	n := e.changes
	t := e.transaction()
	c.guard.Unlock()
	if n == 0 || e.outgrown {
		return e.outgrown
	}
	ok, _, _ := c.commit(ctx, "withdrawn", t, store.PriorityDecision)
	return ok
}
