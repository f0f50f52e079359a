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

// ending is an attempt that is over.
type ending struct {
	pl  *placedTask
	rel shard.Release
}

// over tells whether a placed task has completed, though that need not be
// committed yet: its room is free, and its end is recorded with others to save
// changes. Call with the lock held.
func (c *Controller) over(host, id string, pl *placedTask) bool {
	s := c.sessions[host]
	if s == nil {
		return false
	}
	r, ok := s.Releases[id]
	return ok && r.Done && r.Try == pl.p.Attempt
}

// loadOf gives what is placed on a machine. A plan asks for that of all machines,
// so it is worked out only when something has changed there: whoever changes what
// it rests on (places, the jobs' records, Releases) drops it. Call with the lock
// held.
func (c *Controller) loadOf(host string) *load {
	l := c.replica.loads[host]
	if l != nil {
		return l
	}
	l = &load{}
	for id, pl := range c.replica.onHost[host] {
		j := c.replica.jobs[pl.uid]
		if j != nil {
			l.newest = max(l.newest, j.main.AtMS+pl.p.AtS*1000)
		}
		if c.over(host, id, pl) {
			continue
		}
		if j == nil {
			l.sweeps++
			continue
		}
		n := need(&j.main.Spec)
		l.used = l.used.Add(n)
		if j.main.Spec.Kind == api.Service {
			l.daemons++
		} else {
			l.sweeps++
		}
		if j.leaves(pl.p) {
			l.leaving = l.leaving.Add(n)
		} else if rank, _ := api.PriorityOf(j.main.Spec.Priority); rank < len(l.staying) {
			l.staying[rank] = l.staying[rank].Add(n)
		}
	}
	c.replica.loads[host] = l
	return l
}

// release notes that an attempt is over. Call with the lock held.
func (c *Controller) release(host string, s *shard.Session, id string, r shard.Release) {
	s.Releases[id] = r
	delete(c.replica.loads, host)
}

// busy counts the tasks on a machine that are not over. Call with the lock held.
func (c *Controller) busy(host string) int {
	l := c.loadOf(host)
	return l.daemons + l.sweeps
}

// endings looks over the machines of own parts and collects the attempts that
// are over, by chunk. Call with the lock held.
func (c *Controller) endings(now time.Time) map[chunkID][]ending {
	chunks := map[chunkID][]ending{}
	bound := c.cfg.LeaseBound()
	for host, m := range c.replica.hosts {
		o := c.owned(m.Part)
		if o == nil || c.replica.parts[m.Part].v == nil {
			continue
		}
		s := c.session(host, o)
		on := c.replica.onHost[host]
		// Entries of tasks that are no longer there do no harm, for a later
		// attempt has another number: they go when there are too many.
		if len(s.Started) > len(on) {
			maps.DeleteFunc(s.Started, func(id string, _ shard.Start) bool { return on[id] == nil })
		}
		if len(s.Sent) > len(on) {
			maps.DeleteFunc(s.Sent, func(id string, _ shard.Sent) bool { return on[id] == nil })
		}
		for id, r := range s.Releases {
			if pl := on[id]; pl == nil || pl.p.Attempt != r.Try {
				delete(s.Releases, id) // committed
			}
		}
		dead := s.Dead(now, bound)
		if dead && !s.Dark {
			s.Dark = true
			if len(on) > 0 {
				c.log.Info("worker's lease is over", "host", host, "tasks", len(on), "gone", s.Gone)
			}
		} else if !dead {
			s.Dark = false
		}
		if len(s.Releases) == 0 && !dead {
			continue
		}
		for id, pl := range on {
			if _, ok := s.Releases[id]; !ok && dead {
				c.release(host, s, id, shard.Release{Try: pl.p.Attempt, At: now})
			}
			if r, ok := s.Releases[id]; ok && c.replica.jobs[pl.uid] != nil {
				k := chunkID{pl.uid, pl.chunk}
				chunks[k] = append(chunks[k], ending{pl, r})
			}
		}
	}
	return chunks
}

// due tells whether the ends of tasks of a chunk are to be committed now. A task
// that completed while others of its chunk run on can wait for them, unless its
// machine is to go or its team is near its limit; one that has to run again can
// not, nor can the last one of a chunk. Call with the lock held.
func (c *Controller) due(k chunkID, ends []ending, now time.Time) bool {
	j := c.replica.jobs[k.uid]
	ch := j.chunks[k.n].v
	if ch == nil {
		return false
	}
	// Owners see only the ends on their own machines: each commits those when all
	// of its own have ended and no task waits for room any more. The last to do so
	// completes the chunk.
	own := 0
	for _, p := range ch.Places {
		if m := c.replica.hosts[p.Host]; m != nil && c.owned(m.Part) != nil {
			own++
		}
	}
	if len(ends) == own && (j.main.Cancelled || ch.DoneCount()+len(ch.Places) >= j.main.ChunkLen(k.n)) {
		return true
	}
	if j.main.Cancelled {
		return now.Sub(ends[0].rel.At) > c.cfg.Lease()
	}
	team, _ := c.cfg.Team(j.main.Spec.Team)
	for _, e := range ends {
		s := c.sessions[e.pl.p.Host]
		if !e.rel.Done || s == nil || s.Drain || s.Gone || now.Sub(e.rel.At) > 2*c.cfg.Lease() {
			return true
		}
	}
	if team.Limited() {
		held, others := c.shareOf(team.Name, "")
		limit, all := limitOf(team), held.Add(others)
		return limit.CPUs > 0 && all.CPUs > limit.CPUs*3/4 || limit.GPUs > 0 && all.GPUs > limit.GPUs*3/4
	}
	return false
}

// releaseRound commits ended attempts. The room they free shows in the parts'
// records with the next write of those.
func (c *Controller) releaseRound(ctx context.Context) bool {
	now := c.now()
	c.mu.Lock()
	e := c.edit()
	for p := range c.mine {
		c.guardOwn(e.t, p)
	}
	chunks := c.endings(now)
	keys := slices.SortedFunc(maps.Keys(chunks), func(a, b chunkID) int { // jobs that may be complete first
		if a.uid != b.uid {
			if a.uid < b.uid {
				return -1
			}
			return 1
		}
		return a.n - b.n
	})
	more := false
	for _, k := range keys {
		ends := chunks[k]
		j := c.replica.jobs[k.uid]
		if j.main.Spec.Kind == api.Gang || c.blocked(j) || !c.due(k, ends, now) {
			continue
		}
		cost := 3 // chunk, main record and past record
		if j.main.Inner {
			cost = 2
		}
		if e.full(cost, 0) {
			more = true // the rest goes into the next transaction
			break
		}
		r := &j.main.Spec
		ch := e.chunk(j, k.n)
		for _, x := range ends {
			ch.End(x.pl.index, x.rel.Try, x.rel.Done && r.Kind == api.Array, x.rel.Failed)
		}
		if r.Kind != api.Array || j.main.Cancelled || ch.DoneCount() < j.main.ChunkLen(k.n) {
			continue
		}
		m := e.main(j)
		m.Finish(k.n)
		e.drops[k] = true
		if m.Complete() {
			e.done(j, job.Past{Phase: api.Done, Done: r.Tasks})
			c.log.Info("job done", "job", k.uid)
		}
	}
	n := e.n
	t := e.txn()
	c.mu.Unlock()
	if n == 0 || e.tight {
		return e.tight
	}
	done, _, err := c.commit(ctx, "ends", t, store.Decision)
	return more && (done || err == nil)
}

// retireRound moves withdrawn jobs without tasks on machines to the past.
func (c *Controller) retireRound(ctx context.Context) bool {
	c.mu.Lock()
	e := c.edit()
	for _, j := range c.replica.jobs {
		over := j.main.Cancelled || j.main.Gang != nil && j.main.Gang.Done
		if !over || c.owned(j.main.Part) == nil || e.full(2, 0) {
			continue
		}
		on, done := 0, j.main.FinishedTasks()
		for n, ch := range j.chunks {
			on += len(ch.v.Places)
			if !j.main.Finished(n) {
				done += ch.v.DoneCount()
			}
		}
		past := job.Past{Phase: api.Cancelled, Done: done}
		if g := j.main.Gang; g != nil && g.Done {
			past = job.Past{Phase: api.Done, Done: j.main.Spec.Tasks}
			if on > 0 && c.counted(j) {
				continue
			}
		} else if on > 0 {
			continue
		}
		c.guardOwn(e.t, j.main.Part)
		all := true
		if !j.main.Inner {
			for n := range j.chunks {
				if e.full(1, 0) {
					all = false
					break
				}
				e.dropChunk(j, n)
			}
		}
		// No start can come between: it would need the job not withdrawn.
		if all && !e.full(2, 0) {
			e.done(j, past)
		}
	}
	n := e.n
	t := e.txn()
	c.mu.Unlock()
	if n == 0 || e.tight {
		return e.tight
	}
	ok, _, _ := c.commit(ctx, "withdrawn", t, store.Decision)
	return ok
}
