package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/recovery"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// placeTasks commits what one plan places: own placements, and claims on peers'
// room by conditional write on their shards' capacity records; and with them the
// marks of the tasks that have to leave for some. What comes together goes into
// one transaction, so that a job whose tasks go to several shards is written once.
func (c *Controller) placeTasks(ctx context.Context) bool {
	state := c.guard.Lock()
	var todo []placement
	var gangs []*gangClaim
	var marks []*placedTask
	began := c.node.now()
	if state.scheduler.hasPendingTasks() {
		p := state.scheduler.plan(began)
		state.scheduler.rememberPlan(p, began)
		todo, gangs, marks = p.placements, p.gangs, p.stops
	}
	c.guard.Unlock()
	for _, g := range gangs { // few, and what waits for them waits as a whole
		c.commitGangClaim(ctx, g)
	}
	for tries := 0; len(todo) > 0 && tries < 3; {
		if c.node.now().Sub(began) > 4*c.node.settings.DecisionInterval() {
			// What came meanwhile may be more urgent than the rest of this plan: with
			// few changes a second a long one took many seconds.
			c.wake.notify()
			break
		}
		// Every placement in a shard changes its record. Looking at the newest
		// one first costs a request, being beaten by a conflicting write costs all changes.
		room := c.store.AwaitWrites(ctx, min(countJobs(todo)+len(c.node.shards), c.node.settings.LowestLimits().TxnOps), store.PriorityDecision)
		if room < 3 || !c.mayActNow() || c.readNewest(ctx) != nil {
			return false
		}
		state = c.guard.Lock()
		t, rest, said, apart := state.scheduler.placementTransaction(todo, room, c.node.now())
		c.guard.Unlock()
		marks = append(marks, apart...)
		if t == nil {
			break
		}
		done, _, err := c.commit(ctx, "places", t, store.PriorityDecision)
		switch {
		case done:
			todo, tries = rest, 0
			for _, l := range said {
				c.node.log.Info("task placed", l...)
			}
			c.placeNewGangs(ctx)
		case err == nil: // beaten by a conflicting write: what lost is tried again on what there is now
			tries++
		default:
			return false
		}
	}
	c.stopTasks(ctx, marks)
	c.reclaimQuota(ctx)
	return false
}

// reclaimQuota takes back what shards hold of teams' limits and don't use, for teams
// that had too little for a placement. A gang needs all of a limit at once, when the
// shards hold too little yet to give their surplus back by themselves. Each shard's
// record is written with its share, so that no placement there rests on the old one.
func (c *Controller) reclaimQuota(ctx context.Context) {
	state := c.guard.Lock()
	now := c.node.now()
	t := newTransaction()
	cl := &claims{accounts: state.capacity, byShard: map[string]*claim{}}
	for _, team := range slices.Sorted(maps.Keys(state.capacity.quotaShortages)) {
		delete(state.capacity.quotaShortages, team)
		for _, p := range c.node.shards {
			held, _ := state.capacity.quotaShares(team, p)
			x := state.capacity.openClaim(p, now)
			if x == nil || len(cl.byShard) > 0 && len(cl.byShard) >= state.schema.transactionLimits().TxnOps-1 {
				continue
			}
			if use := shard.Unvec(x.quotaUse[team]); !use.Fits(sched.Resources{CPUs: held.CPUs, GPUs: held.GPUs}) {
				x.quotaShares[team] = sched.Resources{CPUs: use.CPUs, GPUs: use.GPUs}
				cl.byShard[p] = x
			}
		}
		if len(cl.byShard) > 0 {
			break // one team at a time
		}
	}
	if len(cl.byShard) > 0 {
		cl.write(t)
	}
	c.guard.Unlock()
	if t.changes() > 0 && c.mayActNow() {
		if done, _, _ := c.commit(ctx, "shares", t, store.PriorityDecision); done {
			c.wake.notify()
		}
	}
}

// stopTasks marks tasks that have to leave for others that can't be placed in the same
// transaction: a gang, whose room comes from several machines, or one whose victims are
// recorded in more places than it takes. The room that is being left is kept for them
// by the order of the plans.
func (c *Controller) stopTasks(ctx context.Context, marks []*placedTask) {
	for len(marks) > 0 {
		if c.store.AwaitWrites(ctx, 2, store.PriorityDecision) < 1 || !c.mayActNow() || c.readNewest(ctx) != nil {
			return
		}
		state := c.guard.Lock()
		e := state.schema.newRecordEditor()
		var rest []*placedTask
		var line []any
		for i, v := range marks {
			k := state.cache.jobs[v.uid]
			if !state.scheduler.canStop(k, v) {
				continue
			}
			if more := e.stopCost(k, v); more > 0 && e.isFull(more, 0) {
				rest = marks[i:]
				break
			}
			e.stopTask(k, v)
			line = append(line, "preempts", v.taskName(k))
		}
		n := e.changes
		t := e.transaction()
		c.guard.Unlock()
		if n == 0 || e.outgrown {
			return
		}
		if done, _, _ := c.commit(ctx, "marks", t, store.PriorityDecision); !done {
			return // planned anew
		}
		c.node.log.Info("tasks stopped for others", line...)
		marks = rest
	}
}

// canStop reports whether a task is still where it was to be stopped.
func (sch *schedulerState) canStop(j *liveJob, v *placedTask) bool {
	if j == nil || sch.schema.isBlocked(j) {
		return false
	}
	p := j.ranges[v.rangeIndex].record.PlacementOf(v.index)
	return p != nil && p.Attempt == v.placement.Attempt && !j.mustStop(p)
}

// stopTask marks a task to leave its machine; of a gang all tasks leave, and save together.
func (e *recordEditor) stopTask(j *liveJob, v *placedTask) {
	if isGang(j) {
		e.record(j).Gang.Stopping = true
		return
	}
	e.taskRange(j, v.rangeIndex).Placements[v.index].Stopping = true
}

// stopCost is how many changes that adds.
func (e *recordEditor) stopCost(j *liveJob, v *placedTask) int {
	switch {
	case !isGang(j):
		return e.rangeCost(j, v.rangeIndex)
	case e.records[j.record.Spec.UID] != nil:
		return 0
	}
	return 1
}

// hasPendingTasks reports whether a job of an own shard has tasks to place.
func (sch *schedulerState) hasPendingTasks() bool {
	for _, j := range sch.cache.jobs {
		if !j.record.Cancelled && len(j.pendingTasks()) > 0 && sch.leadership.of(j.record.Shard) != nil {
			return true
		}
	}
	return false
}

// countJobs counts the jobs that placements change.
func countJobs(l []placement) int {
	seen := map[string]bool{}
	for _, x := range l {
		seen[x.uid] = true
		for _, v := range x.victims {
			seen[v.uid] = true
		}
	}
	return len(seen)
}

// addPlacement places a task and tells what to log of it.
func (sch *schedulerState) addPlacement(e *recordEditor, j *liveJob, x placement, now time.Time) []any {
	r := &j.record.Spec
	sch.leadership.require(e.txn, j.record.Shard)
	e.txn.require(jobPrefix+r.UID, j.version)
	ch := e.taskRange(j, x.rangeIndex)
	if r.Together && j.record.Zone == "" {
		e.record(j).Zone = x.host.Zone
	}
	try := ch.Place(x.index, x.host.Name, max(0, (now.UnixMilli()-j.record.AcceptedMS)/1000))
	return []any{
		"task", api.TaskName(r.UID, x.rangeIndex*j.record.RangeSize+x.index), "attempt", try, "host", x.host.Name, "shard",
		x.host.Shard, "own", x.host.Shard == j.record.Shard, "image", r.Image, "warm", x.host.Images[r.Image],
	}
}

// zoneAllows reports whether the job's other tasks leave a zone to one of its tasks;
// zs keeps what was worked out for each job.
func (sch *schedulerState) zoneAllows(zs map[string]*zoneConstraint, j *liveJob, x placement, admission *recovery.Admission) bool {
	z := zs[x.uid]
	if z == nil {
		z = sch.zoneConstraintOf(j, admission)
		zs[x.uid] = z
	}
	return z.allows(x.rangeIndex, x.host.Zone)
}

// placementTransaction commits as many placements as a transaction and the budget take. The
// plan may be older than the replica, so each is looked at again. A placement that
// takes the room of others goes together with their marks: the leader's next
// answer stops the ones and starts the other, instead of a round of commits and
// reports for each.
//
// What has to leave for a placement that alone is more than a transaction takes is
// given in apart.
func (sch *schedulerState) placementTransaction(
	todo []placement,
	room int,
	now time.Time,
) (t *transaction, rest []placement, said [][]any, apart []*placedTask) {
	e := sch.schema.newRecordEditor()
	e.maxChanges = min(e.maxChanges, room)
	cl := &claims{accounts: sch.capacity, byShard: map[string]*claim{}}
	zs := map[string]*zoneConstraint{}
	admission := sch.zones.admission(now)
	for i, x := range todo {
		j, more, ok := cl.tryClaim(x, now)
		if j == nil || !sch.zoneAllows(zs, j, x, admission) {
			continue
		}
		more += e.rangeCost(j, x.rangeIndex)
		if j.record.Spec.Together && j.record.Zone == "" {
			more++
		}
		there := true
		for _, v := range x.victims {
			k := sch.cache.jobs[v.uid]
			if there = there && sch.canStop(k, v); !there {
				break
			}
			more += e.stopCost(k, v)
		}
		if !there {
			continue // the room may be free by now: planned anew
		}
		if e.changes == 0 && len(x.victims) > 0 && more > sch.schema.transactionLimits().TxnOps {
			apart = append(apart, x.victims...)
			continue
		}
		if more > 0 && e.isFull(more, cl.otherChanges) {
			rest = append(rest, todo[i:]...)
			break
		}
		ok()
		line := sch.addPlacement(e, j, x, now)
		for _, v := range x.victims {
			k := sch.cache.jobs[v.uid]
			e.stopTask(k, v)
			line = append(line, "preempts", v.taskName(k))
		}
		said = append(said, line)
		zs[x.uid].add(x.rangeIndex, x.host.Zone)
	}
	if len(said) == 0 {
		return nil, nil, nil, apart
	}
	t = e.transaction()
	if e.outgrown {
		return nil, nil, nil, nil
	}
	cl.write(t)
	return t, rest, said, apart
}
