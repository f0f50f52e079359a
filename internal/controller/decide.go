package controller

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/part"
	"violetturn/internal/sched"
	"violetturn/internal/store"
)

func unmarshal(raw json.RawMessage, v any) error { return json.Unmarshal(raw, v) }

// decideLoop commits what reports and jobs call for, one transaction at a time.
// It runs when something has changed and at least twice in a report round, and
// leaves a little time between, so that what comes together is committed
// together.
func (c *Controller) decideLoop(ctx context.Context) {
	pause := c.cfg.Report() / 15
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
		if !sleep(ctx, pause) {
			return
		}
	}
}

func (c *Controller) decide(ctx context.Context) {
	steps := []func(context.Context) bool{c.recordStrangers, c.releaseRound, c.retireRound, c.placeRound, c.stopRound, c.upkeepRound, c.forgetRound}
	for _, step := range steps {
		for range 16 { // each step commits one transaction at a time
			c.mu.Lock()
			act := c.canAct(c.now())
			c.mu.Unlock()
			if !act || ctx.Err() != nil {
				return
			}
			if !step(ctx) {
				break
			}
		}
	}
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
func (c *Controller) writePart(t *txn, p string, free map[string]sched.Room) {
	rec := c.m.parts[p]
	t.guard(partKey+p, rec.stamp)
	r := part.Record{Term: rec.v.Term, By: rec.v.By, Doubt: rec.v.Doubt, Free: map[string][3]float64{}}
	if o := c.owned(p); o != nil && c.now().After(o.answered) {
		r.Doubt = false // the grace of whoever came before us is over
	}
	for h, x := range free {
		r.Free[h] = part.Vec(x)
	}
	t.write(partKey+p, r)
}

// writeTeams writes what limited teams hold in a part after some of their tasks
// there came or went. Call with the lock held.
func (c *Controller) writeTeams(t *txn, p string, change map[string]sched.Room) {
	for name, d := range change {
		team, _ := c.cfg.Team(name)
		if !team.Limited() {
			continue
		}
		held := sched.Room{}
		for host, on := range c.m.onHost {
			if m := c.m.hosts[host]; m.v == nil || m.v.Part != p {
				continue
			}
			for _, pl := range on {
				if j := c.m.jobs[pl.uid]; j != nil && j.main.Run.Owner == name {
					held = held.Add(need(&j.main.Run))
				}
			}
		}
		id := teamID(name)
		old := c.m.teams[id]
		u := part.Usage{Held: map[string][3]float64{}}
		if old.v != nil {
			for k, v := range old.v.Held {
				u.Held[k] = v
			}
		}
		u.Held[p] = part.Vec(held.Add(d))
		t.guard(teamKey+id, old.stamp)
		t.write(teamKey+id, u)
	}
}

func (c *Controller) limitedTeams(uids map[string]bool) int {
	seen := map[string]bool{}
	for uid := range uids {
		name := c.m.jobs[uid].main.Run.Owner
		if team, _ := c.cfg.Team(name); team.Limited() {
			seen[name] = true
		}
	}
	return len(seen)
}

func chunkKey(uid string, n int) string { return taskKey + uid + "/" + strconv.Itoa(n) }

// releaseRound commits ended attempts of one own part and the room they free.
func (c *Controller) releaseRound(ctx context.Context) bool {
	now := c.now()
	c.mu.Lock()
	for _, p := range c.parts {
		if c.owned(p) == nil || c.m.parts[p].v == nil {
			continue
		}
		if t := c.releaseTxn(p, now); t != nil {
			c.mu.Unlock()
			done, _, err := c.commit(ctx, t, store.Decision)
			return done || err == nil
		}
	}
	c.mu.Unlock()
	return false
}

// releaseTxn collects the releases of a part. Call with the lock held.
func (c *Controller) releaseTxn(p string, now time.Time) *txn {
	type chunkID struct {
		uid string
		n   int
	}
	type ending struct {
		pl  *placed
		rel part.Release
	}
	chunks := map[chunkID][]ending{}
	for host, m := range c.m.hosts {
		if m.v.Part != p {
			continue
		}
		s := c.sessions[host]
		if s == nil {
			s = c.session(host, c.owned(p))
		}
		on := c.m.onHost[host]
		for id := range s.Started {
			if on[id] == nil {
				delete(s.Started, id)
			}
		}
		for id, r := range s.Releases {
			if pl := on[id]; pl == nil || pl.p.Try != r.Try {
				delete(s.Releases, id) // committed
			}
		}
		dead := s.Dead(now, c.cfg.LeaseBound())
		if dead && !s.Dark {
			s.Dark = true
			if len(on) > 0 {
				c.log.Info("worker's lease is over", "host", host, "tasks", len(on), "gone", s.Gone)
			}
		} else if !dead {
			s.Dark = false
		}
		for id, pl := range on {
			if _, ok := s.Releases[id]; !ok && dead {
				s.Releases[id] = part.Release{Try: pl.p.Try}
			}
			if r, ok := s.Releases[id]; ok && c.m.jobs[pl.uid] != nil {
				k := chunkID{pl.uid, pl.chunk}
				chunks[k] = append(chunks[k], ending{pl, r})
			}
		}
	}
	if len(chunks) == 0 {
		return nil
	}
	t := newTxn()
	if !c.guardOwn(t, p) {
		return nil
	}
	keys := make([]chunkID, 0, len(chunks))
	for k := range chunks {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b chunkID) int { // jobs that may be complete first
		if a.uid != b.uid {
			if a.uid < b.uid {
				return -1
			}
			return 1
		}
		return a.n - b.n
	})
	free := c.freeOf(p, now)
	freed := map[string]sched.Room{}
	mains := map[string]*job.Main{}
	uids := map[string]bool{}
	cost, taken := 1, 0
	for _, k := range keys {
		j := c.m.jobs[k.uid]
		old := j.chunks[k.n]
		ch := old.v.Copy()
		r := &j.main.Run
		for _, e := range chunks[k] {
			ch.End(e.pl.index, e.rel.Try, e.rel.Done && r.Shape == api.Sweep, e.rel.Failed)
		}
		complete := r.Shape == api.Sweep && !j.main.Gone && ch.DoneCount() == j.main.ChunkLen(k.n)
		uids[k.uid] = true
		add := 1
		if complete {
			add = 3
		}
		if cost+add+c.limitedTeams(uids) > c.cfg.Facts.State.TxnOps {
			break // the rest goes into the next transaction
		}
		cost += add
		taken++
		for _, e := range chunks[k] {
			n := need(r)
			freed[r.Owner] = freed[r.Owner].Sub(n)
			if f, ok := free[e.pl.p.Host]; ok {
				free[e.pl.p.Host] = f.Add(n)
			}
		}
		t.guard(chunkKey(k.uid, k.n), old.stamp)
		if !complete {
			t.write(chunkKey(k.uid, k.n), ch)
			continue
		}
		m := mains[k.uid]
		if m == nil {
			m = j.main.Copy()
			mains[k.uid] = m
		}
		m.Finish(k.n)
		t.drop(chunkKey(k.uid, k.n))
		t.guard(jobKey+k.uid, j.stamp)
		if m.Complete() {
			t.drop(jobKey + k.uid)
			t.guard(pastKey+k.uid, 0)
			t.write(pastKey+k.uid, job.Past{Phase: api.Done, Done: r.Pieces})
			c.log.Info("job done", "job", k.uid)
		} else {
			t.write(jobKey+k.uid, m)
		}
	}
	c.writePart(t, p, free)
	c.writeTeams(t, p, freed)
	if taken == 0 {
		return nil
	}
	return t
}

// retireRound moves one withdrawn job without tasks on machines to the past.
func (c *Controller) retireRound(ctx context.Context) bool {
	c.mu.Lock()
	for uid, j := range c.m.jobs {
		if !j.main.Gone || c.owned(j.main.Part) == nil {
			continue
		}
		on, done := 0, j.main.FinishedTasks()
		for n, ch := range j.chunks {
			on += len(ch.v.Places)
			if !j.main.Finished(n) {
				done += ch.v.DoneCount()
			}
		}
		if on > 0 {
			continue
		}
		t := newTxn()
		c.guardOwn(t, j.main.Part)
		t.guard(jobKey+uid, j.stamp)
		// No start can come between: it would need the job not withdrawn.
		for n, ch := range j.chunks {
			if t.ops() == c.cfg.Facts.State.TxnOps-2 {
				break
			}
			t.guard(chunkKey(uid, n), ch.stamp)
			t.drop(chunkKey(uid, n))
		}
		if t.ops() == len(j.chunks) {
			t.drop(jobKey + uid)
			t.write(pastKey+uid, job.Past{Phase: api.Withdrawn, Done: done})
		}
		c.mu.Unlock()
		ok, _, _ := c.commit(ctx, t, store.Decision)
		return ok
	}
	c.mu.Unlock()
	return false
}

// placeRound commits placements into one part: own ones, or claims on a peer's
// room by conditional write on its free-room record.
func (c *Controller) placeRound(ctx context.Context) bool {
	now := c.now()
	c.mu.Lock()
	pl := c.plan(now)
	if len(pl.places) == 0 {
		c.mu.Unlock()
		return false
	}
	target := pl.places[0].host.Part
	t := newTxn()
	rec := c.m.parts[target]
	free := map[string]sched.Room{}
	if c.owned(target) != nil {
		free = c.freeOf(target, now)
	} else {
		for h, v := range rec.v.Free {
			free[h] = part.Unvec(v)
		}
	}
	chunks := map[string]*job.Chunk{}
	uids := map[string]bool{}
	used := map[string]sched.Room{}
	var said [][]any
	cost := 1
	for _, x := range pl.places {
		if x.host.Part != target {
			continue
		}
		r := &x.j.main.Run
		key := chunkKey(r.UID, x.chunk)
		ch := chunks[key]
		pin := r.Together && x.j.main.Zone == "" && !uids[r.UID]
		if ch == nil {
			fresh := !uids[r.UID]
			uids[r.UID] = true
			add := 1
			if pin {
				add++
			}
			if cost+add+c.limitedTeams(uids) > c.cfg.Facts.State.TxnOps {
				if fresh {
					delete(uids, r.UID)
				}
				break
			}
			if !c.guardOwn(t, x.j.main.Part) {
				continue
			}
			cost += add
			old := x.j.chunks[x.chunk]
			ch = old.v.Copy()
			chunks[key] = ch
			t.guard(key, old.stamp)
			t.guard(jobKey+r.UID, x.j.stamp)
			if pin {
				m := x.j.main.Copy()
				m.Zone = x.host.Site
				t.write(jobKey+r.UID, m)
			}
		}
		n := need(r)
		f, ok := free[x.host.Name]
		if !ok || !f.Fits(n) {
			continue // the record has moved on
		}
		free[x.host.Name] = f.Sub(n)
		used[r.Owner] = used[r.Owner].Add(n)
		try := ch.Put(x.index, x.host.Name, max(0, (now.UnixMilli()-x.j.main.AtMS)/1000))
		said = append(said, []any{"task", api.PieceName(r.UID, x.chunk*x.j.main.Chunk+x.index), "try", try, "host", x.host.Name, "part", target, "own", target == x.j.main.Part})
	}
	for key, ch := range chunks {
		t.write(key, ch)
	}
	if len(used) == 0 {
		c.mu.Unlock()
		return false
	}
	c.writePart(t, target, free)
	c.writeTeams(t, target, used)
	c.mu.Unlock()
	done, _, err := c.commit(ctx, t, store.Decision)
	if done {
		for _, l := range said {
			c.log.Info("task placed", l...)
		}
	}
	return done || err == nil
}

// stopRound marks the tasks that have to leave their machines for others. The
// owner of the machine's part sees the mark and stops them.
func (c *Controller) stopRound(ctx context.Context) bool {
	now := c.now()
	c.mu.Lock()
	pl := c.plan(now)
	if len(pl.stops) == 0 {
		c.mu.Unlock()
		return false
	}
	t := newTxn()
	for p := range c.mine {
		c.guardOwn(t, p)
	}
	chunks := map[string]*job.Chunk{}
	var said [][]any
	for _, x := range pl.stops {
		key := chunkKey(x.uid, x.chunk)
		if chunks[key] == nil {
			if len(chunks) == c.cfg.Facts.State.TxnOps {
				break
			}
			old := c.m.jobs[x.uid].chunks[x.chunk]
			t.guard(key, old.stamp)
			chunks[key] = old.v.Copy()
		}
		chunks[key].Places[x.index].Stop = true
		said = append(said, []any{"job", x.uid, "task", x.index, "host", x.p.Host, "why", "preempted"})
	}
	for key, ch := range chunks {
		t.write(key, ch)
	}
	c.mu.Unlock()
	done, _, _ := c.commit(ctx, t, store.Decision)
	if done {
		for _, l := range said {
			c.log.Info("task is to leave", l...)
		}
	}
	return done
}

// upkeepRound writes an own part's record when its machines have changed.
func (c *Controller) upkeepRound(ctx context.Context) bool {
	now := c.now()
	c.mu.Lock()
	for p := range c.mine {
		rec := c.m.parts[p]
		if c.owned(p) == nil || rec.v == nil || len(c.flavors) == 0 {
			continue
		}
		free := c.freeOf(p, now)
		same := len(free) == len(rec.v.Free) && (!rec.v.Doubt || !now.After(c.mine[p].answered))
		for h, r := range free {
			v, ok := rec.v.Free[h]
			same = same && ok && part.Unvec(v).Near(r)
		}
		if same {
			continue
		}
		t := newTxn()
		c.guardOwn(t, p)
		c.writePart(t, p, free)
		c.mu.Unlock()
		done, _, _ := c.commit(ctx, t, store.Decision)
		return done
	}
	c.mu.Unlock()
	return false
}

// recordStrangers records machines that reported or were rented or listed
// without a record, each in one part, by a conditional write.
func (c *Controller) recordStrangers(ctx context.Context) bool {
	c.mu.Lock()
	t := newTxn()
	var names []string
	for host, m := range c.adopt {
		if c.m.hosts[host].v != nil {
			delete(c.adopt, host)
			continue
		}
		if len(names) == c.cfg.Facts.State.TxnOps {
			break
		}
		m.Part = c.partFor(m.Site, names)
		m.AtMS = c.now().UnixMilli()
		t.guard(hostKey+host, 0)
		t.write(hostKey+host, m)
		names = append(names, host)
	}
	c.mu.Unlock()
	if len(names) == 0 {
		return false
	}
	done, failed, err := c.commit(ctx, t, store.Decision)
	c.mu.Lock()
	defer c.mu.Unlock()
	if done {
		c.log.Info("machines recorded", "hosts", names)
	}
	for _, h := range names {
		if done || err == nil && contains(failed, hostKey+h) {
			delete(c.adopt, h)
		}
	}
	return done
}

// partFor chooses the part for a machine: one whose home controller is in the
// machine's zone, so that a zone cut off keeps its owner; of those the smallest.
// Call with the lock held.
func (c *Controller) partFor(site string, also []string) string {
	count := map[string]int{}
	for _, m := range c.m.hosts {
		count[m.v.Part]++
	}
	zone := map[string]string{c.cfg.HostName: c.cfg.Site}
	for _, m := range c.cfg.Members {
		zone[m.HostName] = m.Site
	}
	best, bestN := "", 0
	for _, p := range c.parts {
		n := count[p]
		if zone[p] != site {
			n += 1 << 20
		}
		if n >= c.partRoom() {
			n += 1 << 22
		}
		if best == "" || n < bestN {
			best, bestN = p, n
		}
	}
	if len(also) > 0 { // several at once go to the parts of the zone in turn
		var same []string
		for _, p := range c.parts {
			if zone[p] == site {
				same = append(same, p)
			}
		}
		if len(same) > 0 {
			return same[len(also)%len(same)]
		}
	}
	return best
}

// partRoom is the number of machines whose room fits a part's record.
func (c *Controller) partRoom() int {
	const entry = 64 // bytes of one machine's room at most
	return int(c.cfg.Facts.State.ValueKB * 1024 * 7 / 8 / entry)
}

// forgetRound drops the record of a machine that is gone and empty.
func (c *Controller) forgetRound(ctx context.Context) bool {
	c.mu.Lock()
	for host, s := range c.sessions {
		m := c.m.hosts[host]
		if !s.Gone || m.v == nil || c.owned(m.v.Part) == nil || len(c.m.onHost[host]) > 0 {
			continue
		}
		if _, in := c.m.parts[m.v.Part].v.Free[host]; in {
			continue // upkeep comes first: no thief may still put a task there
		}
		t := newTxn()
		c.guardOwn(t, m.v.Part)
		t.guard(hostKey+host, m.stamp)
		t.guard(partKey+m.v.Part, c.m.parts[m.v.Part].stamp)
		t.drop(hostKey + host)
		c.mu.Unlock()
		done, _, _ := c.commit(ctx, t, store.Decision)
		if done {
			c.mu.Lock()
			delete(c.sessions, host)
			c.mu.Unlock()
			c.log.Info("machine forgotten", "host", host)
		}
		return done
	}
	c.mu.Unlock()
	return false
}
