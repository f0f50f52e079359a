package scheduler

import (
	"time"

	"violetturn/internal/api"
	"violetturn/internal/capacity"
	"violetturn/internal/recovery"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
)

// CanStop reports whether a task is still where it was to be stopped.
func (sch *Scheduler) CanStop(j *statecache.Job, v *statecache.PlacedTask) bool {
	if j == nil || sch.schema.IsBlocked(j) {
		return false
	}
	p := j.Ranges[v.RangeIndex].Record.PlacementOf(v.Index)
	return p != nil && p.Attempt == v.Placement.Attempt && !j.MustStop(p)
}

// HasPendingTasks reports whether a job of an own shard has tasks to place.
func (sch *Scheduler) HasPendingTasks() bool {
	for _, j := range sch.cache.Jobs {
		if !j.Record.Cancelled && len(j.PendingTasks()) > 0 && sch.leadership.Leads(j.Record.Shard) {
			return true
		}
	}
	return false
}

// CountJobs counts the jobs that placements change.
func CountJobs(l []capacity.Placement) int {
	seen := map[string]bool{}
	for _, x := range l {
		seen[x.UID] = true
		for _, v := range x.Victims {
			seen[v.UID] = true
		}
	}
	return len(seen)
}

// addPlacement places a task and tells what to log of it.
func (sch *Scheduler) addPlacement(e *schema.Editor, j *statecache.Job, x capacity.Placement, now time.Time) []any {
	r := &j.Record.Spec
	sch.leadership.Require(e.Txn, j.Record.Shard)
	e.Txn.Require(statecache.JobKey(r.UID), j.Version)
	ch := e.TaskRange(j, x.RangeIndex)
	if r.Together && j.Record.Zone == "" {
		e.Record(j).Zone = x.Host.Zone
	}
	try := ch.Place(x.Index, x.Host.Name, max(0, (now.UnixMilli()-j.Record.AcceptedMS)/1000))
	return []any{
		"task", api.TaskName(r.UID, x.RangeIndex*j.Record.RangeSize+x.Index), "attempt", try, "host", x.Host.Name, "shard",
		x.Host.Shard, "own", x.Host.Shard == j.Record.Shard, "image", r.Image, "warm", x.Host.Images[r.Image],
	}
}

// zoneAllows reports whether the job's other tasks leave a zone to one of its tasks;
// zs keeps what was worked out for each job.
func (sch *Scheduler) zoneAllows(zs map[string]*ZoneConstraint, j *statecache.Job, x capacity.Placement, admission *recovery.Admission) bool {
	z := zs[x.UID]
	if z == nil {
		z = sch.zoneConstraintOf(j, admission)
		zs[x.UID] = z
	}
	return z.Allows(x.RangeIndex, x.Host.Zone)
}

// PlacementTransaction commits as many placements as a transaction and the budget take. The
// plan may be older than the replica, so each is looked at again. A placement that
// takes the room of others goes together with their marks: the leader's next
// answer stops the ones and starts the other, instead of a round of commits and
// reports for each.
//
// What has to leave for a placement that alone is more than a transaction takes is
// given in apart.
func (sch *Scheduler) PlacementTransaction(
	todo []capacity.Placement,
	room int,
	now time.Time,
) (t *statecache.Transaction, rest []capacity.Placement, said [][]any, apart []*statecache.PlacedTask) {
	e := sch.schema.NewRecordEditor()
	e.MaxChanges = min(e.MaxChanges, room)
	cl := &capacity.Claims{Accounts: sch.capacity, ByShard: map[string]*capacity.Claim{}}
	zs := map[string]*ZoneConstraint{}
	admission := sch.zones.Admission(now)
	for i, x := range todo {
		j, more, ok := cl.TryClaim(x, now)
		if j == nil || !sch.zoneAllows(zs, j, x, admission) {
			continue
		}
		more += e.RangeCost(j, x.RangeIndex)
		if j.Record.Spec.Together && j.Record.Zone == "" {
			more++
		}
		there := true
		for _, v := range x.Victims {
			k := sch.cache.Jobs[v.UID]
			if there = there && sch.CanStop(k, v); !there {
				break
			}
			more += e.StopCost(k, v)
		}
		if !there {
			continue // the room may be free by now: planned anew
		}
		if e.Changes == 0 && len(x.Victims) > 0 && more > sch.schema.TransactionLimits().TxnOps {
			apart = append(apart, x.Victims...)
			continue
		}
		if more > 0 && e.IsFull(more, cl.OtherChanges) {
			rest = append(rest, todo[i:]...)
			break
		}
		ok()
		line := sch.addPlacement(e, j, x, now)
		for _, v := range x.Victims {
			k := sch.cache.Jobs[v.UID]
			e.StopTask(k, v)
			line = append(line, "preempts", v.TaskName(k))
		}
		said = append(said, line)
		zs[x.UID].Add(x.RangeIndex, x.Host.Zone)
	}
	if len(said) == 0 {
		return nil, nil, nil, apart
	}
	t = e.Transaction()
	if e.Outgrown {
		return nil, nil, nil, nil
	}
	cl.Write(t)
	return t, rest, said, apart
}
