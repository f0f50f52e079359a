package decisions

import (
	"context"
	"maps"
	"slices"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/schema"
	"violetturn/internal/store"
)

// commitEnds commits ended attempts. The room they free shows in the shards'
// records with the next write of those.
func (d *Loop) commitEnds(ctx context.Context) bool {
	now := d.node.Now()
	state := d.guard.Lock()
	e := state.Schema.NewRecordEditor()
	state.Leadership.RequireAll(e.Txn)
	chunks := state.Agents.EndedTasks(now)
	keys := slices.SortedFunc(maps.Keys(chunks), func(a, b schema.RangeID) int { // jobs that may be complete first
		if a.UID != b.UID {
			if a.UID < b.UID {
				return -1
			}
			return 1
		}
		return a.Index - b.Index
	})
	more := false
	for _, k := range keys {
		ends := chunks[k]
		j := state.Cache.Jobs[k.UID]
		if j.Record.Spec.Kind == api.Gang || state.Schema.IsBlocked(j) || !state.Scheduler.EndsAreDue(k, ends, now) {
			continue
		}
		cost := 3 // task range, main record and past record
		if j.Record.Inline {
			cost = 2
		}
		if e.IsFull(cost, 0) {
			more = true // the rest goes into the next transaction
			break
		}
		r := &j.Record.Spec
		ch := e.TaskRange(j, k.Index)
		for _, x := range ends {
			ch.EndAttempt(x.Task.Index, x.End.Attempt, x.End.Done && r.Kind == api.Array, x.End.Failed)
		}
		if r.Kind != api.Array || j.Record.Cancelled || ch.DoneCount() < j.Record.RangeLen(k.Index) {
			continue
		}
		m := e.Record(j)
		m.FinishRange(k.Index)
		e.Deletes[k] = true
		if m.Complete() {
			e.Archive(j, job.FinalState{Phase: api.JobDone, Done: r.Tasks})
			d.node.Log.Info("job done", "job", k.UID)
		}
	}
	n := e.Changes
	t := e.Transaction()
	d.guard.Unlock()
	if n == 0 || e.Outgrown {
		return e.Outgrown
	}
	done, _, err := d.sync.Commit(ctx, "ends", t, store.PriorityDecision)
	return more && (done || err == nil)
}

// archiveJobs moves cancelled jobs without tasks on machines to the past.
func (d *Loop) archiveJobs(ctx context.Context) bool {
	state := d.guard.Lock()
	e := state.Schema.NewRecordEditor()
	for _, j := range state.Cache.Jobs {
		over := j.Record.Cancelled || j.Record.Gang != nil && j.Record.Gang.Done
		if !over || !state.Leadership.Leads(j.Record.Shard) || e.IsFull(2, 0) {
			continue
		}
		on, done := 0, j.Record.FinishedTasks()
		for n, ch := range j.Ranges {
			on += len(ch.Record.Placements)
			if !j.Record.RangeFinished(n) {
				done += ch.Record.DoneCount()
			}
		}
		past := job.FinalState{Phase: api.JobCancelled, Done: done}
		if g := j.Record.Gang; g != nil && g.Done {
			past = job.FinalState{Phase: api.JobDone, Done: j.Record.Spec.Tasks}
			if on > 0 && state.Capacity.CountsAgainstQuota(j) {
				continue
			}
		} else if on > 0 {
			continue
		}
		state.Leadership.Require(e.Txn, j.Record.Shard)
		all := true
		if !j.Record.Inline {
			for n := range j.Ranges {
				if e.IsFull(1, 0) {
					all = false
					break
				}
				e.DeleteRange(j, n)
			}
		}
		// No start can come between: it would need the job not cancelled.
		if all && !e.IsFull(2, 0) {
			e.Archive(j, past)
		}
	}
	n := e.Changes
	t := e.Transaction()
	d.guard.Unlock()
	if n == 0 || e.Outgrown {
		return e.Outgrown
	}
	ok, _, _ := d.sync.Commit(ctx, "withdrawn", t, store.PriorityDecision)
	return ok
}
