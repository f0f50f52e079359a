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

// placeRound commits what one plan places: own placements, and claims on peers'
// room by conditional write on their parts' free-room records; and with them the
// marks of the tasks that have to leave for some. What comes together goes into
// one transaction, so that a job whose tasks go to several parts is written once.
func (c *Controller) placeRound(ctx context.Context) bool {
	c.mu.Lock()
	var todo []placement
	var gangs []*gangClaim
	var marks []*placedTask
	began := c.now()
	if c.waiting() {
		p := c.plan(began)
		c.recent = recentPlan{p, began}
		todo, gangs, marks = p.places, p.gangs, p.stops
	}
	c.mu.Unlock()
	for _, g := range gangs { // few, and what waits for them waits as a whole
		c.claimGang(ctx, g)
	}
	for tries := 0; len(todo) > 0 && tries < 3; {
		if c.now().Sub(began) > 4*c.cfg.Pause() {
			// What came meanwhile may be more urgent than the rest of this plan: with
			// few changes a second a long one took many seconds.
			c.poke()
			break
		}
		// Every placement in a part changes its record. Looking at the newest
		// one first costs a request, being overtaken costs all changes.
		room := c.store.Ready(ctx, min(jobsOf(todo)+len(c.parts), c.cfg.Lowest().TxnOps), store.Decision)
		if room < 3 || !c.acting() || c.newest(ctx) != nil {
			return false
		}
		c.mu.Lock()
		t, rest, said, apart := c.placeTxn(todo, room, c.now())
		c.mu.Unlock()
		marks = append(marks, apart...)
		if t == nil {
			break
		}
		done, _, err := c.commit(ctx, "places", t, store.Decision)
		switch {
		case done:
			todo, tries = rest, 0
			for _, l := range said {
				c.log.Info("task placed", l...)
			}
			c.gangsFirst(ctx)
		case err == nil: // overtaken: what lost is tried again on what there is now
			tries++
		default:
			return false
		}
	}
	c.markRound(ctx, marks)
	c.reclaimRound(ctx)
	return false
}

// reclaimRound takes back what parts hold of teams' limits and don't use, for teams
// that had too little for a placement. A gang needs all of a limit at once, when the
// parts hold too little yet to give their surplus back by themselves. Each part's
// record is written with its share, so that no placement there rests on the old one.
func (c *Controller) reclaimRound(ctx context.Context) {
	c.mu.Lock()
	now := c.now()
	t := newTxn()
	cl := &claims{c: c, by: map[string]*claim{}}
	for _, team := range slices.Sorted(maps.Keys(c.short)) {
		delete(c.short, team)
		for _, p := range c.parts {
			held, _ := c.shareOf(team, p)
			x := c.claimOn(p, now)
			if x == nil || len(cl.by) > 0 && len(cl.by) >= c.limits().TxnOps-1 {
				continue
			}
			if use := shard.Unvec(x.use[team]); !use.Fits(sched.Resources{CPUs: held.CPUs, GPUs: held.GPUs}) {
				x.shares[team] = sched.Resources{CPUs: use.CPUs, GPUs: use.GPUs}
				cl.by[p] = x
			}
		}
		if len(cl.by) > 0 {
			break // one team at a time
		}
	}
	if len(cl.by) > 0 {
		cl.write(t)
	}
	c.mu.Unlock()
	if t.ops() > 0 && c.acting() {
		if done, _, _ := c.commit(ctx, "shares", t, store.Decision); done {
			c.poke()
		}
	}
}

// markRound marks tasks that have to leave for others that can't be placed in the same
// transaction: a gang, whose room comes from several machines, or one whose victims are
// recorded in more places than it takes. The room that is being left is kept for them
// by the order of the plans.
func (c *Controller) markRound(ctx context.Context, marks []*placedTask) {
	for len(marks) > 0 {
		if c.store.Ready(ctx, 2, store.Decision) < 1 || !c.acting() || c.newest(ctx) != nil {
			return
		}
		c.mu.Lock()
		e := c.edit()
		var rest []*placedTask
		var line []any
		for i, v := range marks {
			k := c.replica.jobs[v.uid]
			if !c.stoppable(k, v) {
				continue
			}
			if more := e.stopCost(k, v); more > 0 && e.full(more, 0) {
				rest = marks[i:]
				break
			}
			e.stop(k, v)
			line = append(line, "leaves", v.name(k))
		}
		n := e.n
		t := e.txn()
		c.mu.Unlock()
		if n == 0 || e.tight {
			return
		}
		if done, _, _ := c.commit(ctx, "marks", t, store.Decision); !done {
			return // planned anew
		}
		c.log.Info("tasks have to leave", line...)
		marks = rest
	}
}

// stoppable tells whether a task is still where it was to be stopped. Call with the
// lock held.
func (c *Controller) stoppable(j *liveJob, v *placedTask) bool {
	if j == nil || c.blocked(j) {
		return false
	}
	p := j.chunks[v.chunk].v.PlaceOf(v.index)
	return p != nil && p.Attempt == v.p.Attempt && !j.leaves(p)
}

// stop marks a task to leave its machine; of a gang all tasks leave, and save together.
func (e *edit) stop(j *liveJob, v *placedTask) {
	if isGang(j) {
		e.main(j).Gang.Halt = true
		return
	}
	e.chunk(j, v.chunk).Places[v.index].Stop = true
}

// stopCost is how many changes that adds.
func (e *edit) stopCost(j *liveJob, v *placedTask) int {
	switch {
	case !isGang(j):
		return e.cost(j, v.chunk)
	case e.mains[j.main.Spec.UID] != nil:
		return 0
	}
	return 1
}

// waiting tells whether a job of an own part has tasks to place. Call with the
// lock held.
func (c *Controller) waiting() bool {
	for _, j := range c.replica.jobs {
		if !j.main.Cancelled && len(j.pending()) > 0 && c.owned(j.main.Part) != nil {
			return true
		}
	}
	return false
}

// jobsOf counts the jobs that placements change.
func jobsOf(l []placement) int {
	seen := map[string]bool{}
	for _, x := range l {
		seen[x.uid] = true
		for _, v := range x.victims {
			seen[v.uid] = true
		}
	}
	return len(seen)
}

// put places a task and tells what to log of it. Call with the lock held.
func (c *Controller) put(e *edit, j *liveJob, x placement, now time.Time) []any {
	r := &j.main.Spec
	c.guardOwn(e.t, j.main.Part)
	e.t.guard(jobKey+r.UID, j.stamp)
	ch := e.chunk(j, x.chunk)
	if r.Together && j.main.Zone == "" {
		e.main(j).Zone = x.host.Zone
	}
	try := ch.Put(x.index, x.host.Name, max(0, (now.UnixMilli()-j.main.AtMS)/1000))
	return []any{
		"task", api.TaskName(r.UID, x.chunk*j.main.Chunk+x.index), "try", try, "host", x.host.Name, "part",
		x.host.Part, "own", x.host.Part == j.main.Part, "image", r.Image, "warm", x.host.Images[r.Image],
	}
}

// zoneOK tells whether the job's other tasks leave a zone to one of its tasks;
// zs keeps what was worked out for each job.
func (c *Controller) zoneOK(zs map[string]*zones, j *liveJob, x placement, admission *recovery.Admission) bool {
	z := zs[x.uid]
	if z == nil {
		z = c.zonesOf(j, admission)
		zs[x.uid] = z
	}
	return z.ok(x.chunk, x.host.Zone)
}

// placeTxn commits as many placements as a transaction and the budget take. The
// plan may be older than the replica, so each is looked at again. A placement that
// takes the room of others goes together with their marks: the owner's next
// answer stops the ones and starts the other, instead of a round of commits and
// reports for each. Call with the lock held.
//
// What has to leave for a placement that alone is more than a transaction takes is
// given in apart.
func (c *Controller) placeTxn(todo []placement, room int, now time.Time) (t *txn, rest []placement, said [][]any, apart []*placedTask) {
	e := c.edit()
	e.most = min(e.most, room)
	cl := &claims{c: c, by: map[string]*claim{}}
	zs := map[string]*zones{}
	admission := c.admission(now)
	for i, x := range todo {
		j, more, ok := cl.take(x, now)
		if j == nil || !c.zoneOK(zs, j, x, admission) {
			continue
		}
		more += e.cost(j, x.chunk)
		if j.main.Spec.Together && j.main.Zone == "" {
			more++
		}
		there := true
		for _, v := range x.victims {
			k := c.replica.jobs[v.uid]
			if there = there && c.stoppable(k, v); !there {
				break
			}
			more += e.stopCost(k, v)
		}
		if !there {
			continue // the room may be free by now: planned anew
		}
		if e.n == 0 && len(x.victims) > 0 && more > c.limits().TxnOps {
			apart = append(apart, x.victims...)
			continue
		}
		if more > 0 && e.full(more, cl.more) {
			rest = append(rest, todo[i:]...)
			break
		}
		ok()
		line := c.put(e, j, x, now)
		for _, v := range x.victims {
			k := c.replica.jobs[v.uid]
			e.stop(k, v)
			line = append(line, "leaves", v.name(k))
		}
		said = append(said, line)
		zs[x.uid].add(x.chunk, x.host.Zone)
	}
	if len(said) == 0 {
		return nil, nil, nil, apart
	}
	t = e.txn()
	if e.tight {
		return nil, nil, nil, nil
	}
	cl.write(t)
	return t, rest, said, apart
}
