package controller

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/part"
	"violetturn/internal/sched"
	"violetturn/internal/store"
)

func unmarshal(raw json.RawMessage, v any) error { return json.Unmarshal(raw, v) }

// decideLoop commits what reports and jobs call for, one transaction at a time.
// It runs when something has changed and at least twice in a report round, and
// leaves some time between: what comes together is committed together, and a
// slow processor has most of its time for reports.
func (c *Controller) decideLoop(ctx context.Context) {
	for {
		t := time.NewTimer(c.cfg.Report() / 2)
		select {
		case <-c.wake:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
		c.decide(ctx)
		c.mu.Lock()
		spent := c.planned
		c.planned = 0
		c.mu.Unlock()
		if !sleep(ctx, max(c.cfg.Pause(), 3*spent)) {
			return
		}
	}
}

func (c *Controller) decide(ctx context.Context) {
	// Under load the budget of changes sets the pace: what comes together while
	// it fills goes into few large transactions instead of many small ones.
	if !c.acting() || c.store.Ready(ctx, min(c.cfg.Lowest().TxnOps, c.secondsWrites()), store.Decision) < 2 || c.newest(ctx) != nil {
		return
	}
	steps := []func(context.Context) bool{c.recordStrangers, c.gangRound, c.releaseRound, c.retireRound, c.placeRound, c.upkeepRound, c.forgetRound, c.divideRound}
	for _, step := range steps {
		for range 16 { // each step commits one transaction at a time
			if !c.acting() || ctx.Err() != nil {
				return
			}
			more := step(ctx)
			c.gangsFirst(ctx)
			if !more {
				break
			}
		}
	}
	c.nudgeRound(ctx)
}

// secondsWrites is this controller's share of the changes of a second.
func (c *Controller) secondsWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(2, int(c.cfg.Lowest().WriteRPS/float64(c.sharers)))
}

func (c *Controller) acting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canAct(c.now())
}

// guardOwn guards a transaction on this node's ownership of a part: an owner
// that was superseded commits nothing more. Call with the lock held.
func (c *Controller) guardOwn(t *txn, p string) bool {
	o := c.owned(p)
	if o == nil {
		return false
	}
	t.guard(ownKey+p, o.stamp)
	return true
}

// writePart writes a part's free-room record. Call with the lock held.
func (c *Controller) writePart(t *txn, p string, free part.Free, use map[string][3]float64) {
	rec := c.m.parts[p]
	t.guard(partKey+p, rec.stamp)
	r := part.Record{Term: rec.v.Term, By: rec.v.By, Doubt: rec.v.Doubt, Free: free, Use: use}
	if o := c.owned(p); o != nil && c.now().After(o.answered) {
		r.Doubt = false // the grace of whoever came before us is over
	}
	if n := r.Free.Trim(c.valueRoom() - 128*len(use)); n > 0 {
		c.log.Info("machines not offered to peers", "part", p, "machines", n, "why", "they don't fit the part's record; those with least room are left out")
	}
	t.write(partKey+p, r)
}

// valueRoom is how many bytes of a value records may use.
func (c *Controller) valueRoom() int { return int(c.cfg.Lowest().ValueKB * 1024 * 7 / 8) }

// pageRoom is the same for pages, which the version before makes of today's size. Call
// with the lock held.
func (c *Controller) pageRoom() int {
	if c.upgraded() || c.fallen {
		return c.valueRoom()
	}
	return int(c.cfg.Facts.State.ValueKB * 1024 * 7 / 8)
}

// useOf sums what limited teams' tasks hold in a part, ended ones that are not
// yet committed as such included: another owner might start them anew. Call with
// the lock held.
func (c *Controller) useOf(p string) map[string][3]float64 {
	sum := map[string]sched.Room{}
	for host, on := range c.m.onHost {
		if m := c.m.hosts[host]; m == nil || m.Part != p {
			continue
		}
		for _, pl := range on {
			if j := c.m.jobs[pl.uid]; j != nil {
				sum[j.main.Run.Owner] = sum[j.main.Run.Owner].Add(need(&j.main.Run))
			}
		}
	}
	use := map[string][3]float64{}
	for _, t := range c.cfg.Facts.Teams {
		if r, ok := sum[t.Name]; ok && t.Limited() {
			use[t.Name] = part.Vec(r)
		}
	}
	return use
}

func limitOf(t config.Team) sched.Room { return sched.Room{CPUs: t.CPUsMax, GPUs: t.GPUsMax} }

// shareOf gives what a part holds of a team's limit, and what the others hold.
// Call with the lock held.
func (c *Controller) shareOf(team, p string) (held, others sched.Room) {
	if u := c.m.teams[teamID(team)].v; u != nil {
		for q, v := range u.Held {
			if q == p {
				held = part.Unvec(v)
			} else {
				others = others.Add(part.Unvec(v))
			}
		}
	}
	return held, others
}

// writeShares writes what parts hold of teams' limits from now on. It goes only
// with writes of those parts' records. Call with the lock held.
func (c *Controller) writeShares(t *txn, shares map[string]map[string]sched.Room) {
	teams := map[string]part.Usage{}
	for p, byTeam := range shares {
		for name, r := range byTeam {
			id := teamID(name)
			u, ok := teams[id]
			if !ok {
				u = part.Usage{Held: map[string][3]float64{}}
				if old := c.m.teams[id].v; old != nil {
					maps.Copy(u.Held, old.Held)
				}
				teams[id] = u
			}
			u.Held[p] = part.Vec(r)
		}
	}
	for id, u := range teams {
		t.guard(teamKey+id, c.m.teams[id].stamp)
		t.write(teamKey+id, u)
	}
}

type chunkID struct {
	uid string
	n   int
}

// edit collects changes of jobs' records for one transaction.
type edit struct {
	c      *Controller
	t      *txn
	jobs   map[string]*liveJob
	mains  map[string]*job.Main
	chunks map[chunkID]*job.Chunk
	drops  map[chunkID]bool
	n      int  // changes so far
	most   int  // changes at most
	tight  bool // some record outgrew a value: nothing of this is to be committed
}

func (c *Controller) edit() *edit {
	return &edit{c: c, t: newTxn(), jobs: map[string]*liveJob{}, mains: map[string]*job.Main{}, chunks: map[chunkID]*job.Chunk{}, drops: map[chunkID]bool{}, most: c.most()}
}

// most is how many changes a transaction may have now: what the budget holds, so
// that one of many changes does not keep others waiting for as long as it takes
// to earn them, and at least as many as one step needs.
func (c *Controller) most() int {
	const step = 4
	return min(c.limits().TxnOps, max(step, c.store.Ready(context.Background(), 0, store.Decision)))
}

// main gives a copy of the job's main record to be changed.
func (e *edit) main(j *liveJob) *job.Main {
	uid := j.main.Run.UID
	m := e.mains[uid]
	if m == nil {
		m = j.main.Copy()
		e.mains[uid], e.jobs[uid] = m, j
		e.t.guard(jobKey+uid, j.stamp)
		e.n++
	}
	return m
}

// chunk gives a copy of a chunk to be changed.
func (e *edit) chunk(j *liveJob, n int) *job.Chunk {
	id := chunkID{j.main.Run.UID, n}
	ch := e.chunks[id]
	if ch == nil {
		ch = j.chunks[n].v.Copy()
		e.chunks[id], e.jobs[id.uid] = ch, j
		// The main record's version covers a gang's tasks and those of a job that is
		// being divided, wherever they are recorded.
		e.t.guard(jobKey+id.uid, j.stamp)
		if j.main.Inner || oneVersion(j) {
			e.main(j)
		}
		if !j.main.Inner {
			e.t.guard(j.chunkAt(n))
			e.n++
		}
	}
	return ch
}

// oneVersion tells whether the main record is written with every change of the job's
// tasks, so that its version is that of all of them: of a gang, and of a scattered job
// that was divided, whose zones are counted over several chunks. A transaction that is
// carried out late would otherwise place a task by an old count.
func oneVersion(j *liveJob) bool {
	return isGang(j) || j.main.Half > 0
}

// cost is how many changes opening a chunk adds.
func (e *edit) cost(j *liveJob, n int) int {
	uid := j.main.Run.UID
	if e.chunks[chunkID{uid, n}] != nil {
		return 0
	}
	k := 0
	if !j.main.Inner {
		k++
	}
	if (j.main.Inner || oneVersion(j)) && e.mains[uid] == nil {
		k++
	}
	return k
}

// dropChunk drops a chunk's record of a job that is over.
func (e *edit) dropChunk(j *liveJob, n int) {
	uid := j.main.Run.UID
	e.t.guard(jobKey+uid, j.stamp)
	e.t.guard(j.chunkAt(n))
	e.t.drop(chunkKey(uid, j.main.Gen, n))
	e.n++
}

// done moves a job to the past.
func (e *edit) done(j *liveJob, p job.Past) {
	uid := j.main.Run.UID
	e.main(j)
	e.mains[uid] = nil
	e.t.drop(jobKey + uid)
	e.t.guard(pastKey+uid, 0)
	e.t.write(pastKey+uid, p)
	e.n++
}

// txn puts the changes into the transaction.
func (e *edit) txn() *txn {
	for id, ch := range e.chunks {
		j, m := e.jobs[id.uid], e.mains[id.uid]
		switch {
		case j.main.Inner:
			if m != nil { // not moved to the past
				m.Only = ch
			}
		case e.drops[id]:
			e.t.drop(chunkKey(id.uid, j.main.Gen, id.n))
		default:
			e.t.write(chunkKey(id.uid, j.main.Gen, id.n), ch)
		}
	}
	for uid, m := range e.mains {
		if m != nil {
			e.t.write(jobKey+uid, m)
		}
	}
	most := e.c.mostBytes()
	for uid, j := range e.jobs {
		for _, k := range e.t.order {
			if len(e.t.writes[k]) > most && (k == jobKey+uid || strings.HasPrefix(k, taskKey+uid+"/")) {
				e.c.narrow[uid] = j.main.Gen + 1 // divided before it is changed again
				e.tight = true
			}
		}
	}
	return e.t
}

// full tells whether more changes, besides so many others, would pass the
// limits of a transaction.
func (e *edit) full(more, others int) bool {
	const guards, bytes = 4, 48 << 10 // of PROTOCOL's 4 guards for each change and 64 KiB
	f := e.c.limits()
	each := 512.0 // bytes of a change and its guard, records aside
	size := 0.0
	for id, ch := range e.chunks {
		size += float64(64*len(ch.Places) + len(ch.Bits))
		if e.jobs[id.uid].main.Inner {
			size += 768
		}
	}
	return e.n+more+others > e.most || len(e.t.guards)+2*more+others > guards*f.TxnOps ||
		size+each*float64(e.n+more)+f.ValueKB*1024*float64(min(others, 2)) > bytes
}

// ending is an attempt that is over.
type ending struct {
	pl  *placed
	rel part.Release
}

// over tells whether a placed task has completed, though that need not be
// committed yet: its room is free, and its end is recorded with others to save
// changes. Call with the lock held.
func (c *Controller) over(host, id string, pl *placed) bool {
	s := c.sessions[host]
	if s == nil {
		return false
	}
	r, ok := s.Releases[id]
	return ok && r.Done && r.Try == pl.p.Try
}

// loadOf gives what is placed on a machine. A plan asks for that of all machines,
// so it is worked out only when something has changed there: whoever changes what
// it rests on (places, the jobs' records, Releases) drops it. Call with the lock
// held.
func (c *Controller) loadOf(host string) *load {
	l := c.m.loads[host]
	if l != nil {
		return l
	}
	l = &load{}
	for id, pl := range c.m.onHost[host] {
		j := c.m.jobs[pl.uid]
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
		n := need(&j.main.Run)
		l.used = l.used.Add(n)
		if j.main.Run.Shape == api.Daemon {
			l.daemons++
		} else {
			l.sweeps++
		}
		if j.leaves(pl.p) {
			l.leaving = l.leaving.Add(n)
		} else if rank, _ := api.RankOf(j.main.Run.Rank); rank < len(l.staying) {
			l.staying[rank] = l.staying[rank].Add(n)
		}
	}
	c.m.loads[host] = l
	return l
}

// release notes that an attempt is over. Call with the lock held.
func (c *Controller) release(host string, s *part.Session, id string, r part.Release) {
	s.Releases[id] = r
	delete(c.m.loads, host)
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
	for host, m := range c.m.hosts {
		o := c.owned(m.Part)
		if o == nil || c.m.parts[m.Part].v == nil {
			continue
		}
		s := c.session(host, o)
		on := c.m.onHost[host]
		// Entries of tasks that are no longer there do no harm, for a later
		// attempt has another number: they go when there are too many.
		if len(s.Started) > len(on) {
			maps.DeleteFunc(s.Started, func(id string, _ part.Start) bool { return on[id] == nil })
		}
		if len(s.Sent) > len(on) {
			maps.DeleteFunc(s.Sent, func(id string, _ part.Sent) bool { return on[id] == nil })
		}
		for id, r := range s.Releases {
			if pl := on[id]; pl == nil || pl.p.Try != r.Try {
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
				c.release(host, s, id, part.Release{Try: pl.p.Try, At: now})
			}
			if r, ok := s.Releases[id]; ok && c.m.jobs[pl.uid] != nil {
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
	j := c.m.jobs[k.uid]
	ch := j.chunks[k.n].v
	if ch == nil {
		return false
	}
	// Owners see only the ends on their own machines: each commits those when all
	// of its own have ended and no task waits for room any more. The last to do so
	// completes the chunk.
	own := 0
	for _, p := range ch.Places {
		if m := c.m.hosts[p.Host]; m != nil && c.owned(m.Part) != nil {
			own++
		}
	}
	if len(ends) == own && (j.main.Gone || ch.DoneCount()+len(ch.Places) >= j.main.ChunkLen(k.n)) {
		return true
	}
	if j.main.Gone {
		return now.Sub(ends[0].rel.At) > c.cfg.Lease()
	}
	team, _ := c.cfg.Team(j.main.Run.Owner)
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
		j := c.m.jobs[k.uid]
		if j.main.Run.Shape == api.Ensemble || c.blocked(j) || !c.due(k, ends, now) {
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
		r := &j.main.Run
		ch := e.chunk(j, k.n)
		for _, x := range ends {
			ch.End(x.pl.index, x.rel.Try, x.rel.Done && r.Shape == api.Sweep, x.rel.Failed)
		}
		if r.Shape != api.Sweep || j.main.Gone || ch.DoneCount() < j.main.ChunkLen(k.n) {
			continue
		}
		m := e.main(j)
		m.Finish(k.n)
		e.drops[k] = true
		if m.Complete() {
			e.done(j, job.Past{Phase: api.Done, Done: r.Pieces})
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
	for _, j := range c.m.jobs {
		over := j.main.Gone || j.main.Gang != nil && j.main.Gang.Done
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
		past := job.Past{Phase: api.Withdrawn, Done: done}
		if g := j.main.Gang; g != nil && g.Done {
			past = job.Past{Phase: api.Done, Done: j.main.Run.Pieces}
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

// atLeast tells whether every machine that is offered has the room that it is offered
// with.
func atLeast(now, offered part.Free) bool {
	for h, v := range offered {
		if r, ok := now[h]; !ok || !part.Unvec(r).Fits(part.Unvec(v)) {
			return false
		}
	}
	return true
}

// upkeepRound writes an own part's record when its machines or their room have
// changed, at intervals: placements there write it anyway.
func (c *Controller) upkeepRound(ctx context.Context) bool {
	now := c.now()
	c.mu.Lock()
	for p, o := range c.mine {
		rec := c.m.parts[p]
		if c.owned(p) == nil || rec.v == nil || len(c.flavors) == 0 || now.Sub(o.kept) < 6*c.cfg.Pause() {
			continue
		}
		free := part.Free{}
		for h, r := range c.freeOf(p, now) {
			free[h] = part.Vec(r)
		}
		use := c.useOf(p)
		shares := map[string]sched.Room{}
		for _, team := range c.cfg.Facts.Teams {
			held, others := c.shareOf(team.Name, p)
			if u := part.Unvec(use[team.Name]); team.Limited() && sched.Excess(limitOf(team), others, held, u) {
				if less, ok := sched.Share(limitOf(team), others, u); ok {
					shares[team.Name] = less
				}
			}
		}
		out := free
		if len(rec.v.Free) < len(free) { // as it would be recorded
			out = maps.Clone(free)
			out.Trim(c.valueRoom() - 128*len(use))
		}
		if maps.Equal(out, rec.v.Free) && maps.Equal(use, rec.v.Use) && len(shares) == 0 && (!rec.v.Doubt || !now.After(o.answered)) {
			continue
		}
		// More room than the record says is news for peers only, and while own jobs wait
		// for room they take it first: that is told less often. Less is told at once.
		if len(shares) == 0 && now.Sub(o.kept) < 24*c.cfg.Pause() && c.waiting() && atLeast(out, rec.v.Free) {
			continue
		}
		for name := range shares { // the record and as many teams' as a transaction takes
			if len(shares) < c.limits().TxnOps {
				break
			}
			delete(shares, name)
		}
		o.kept = now
		t := newTxn()
		c.guardOwn(t, p)
		c.writePart(t, p, free, use)
		c.writeShares(t, map[string]map[string]sched.Room{p: shares})
		c.mu.Unlock()
		done, _, _ := c.commit(ctx, "upkeep", t, store.Decision)
		return done
	}
	c.mu.Unlock()
	return false
}
