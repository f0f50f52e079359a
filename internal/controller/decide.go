package controller

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"violetturn/internal/config"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
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
	steps := []func(context.Context) bool{
		c.zoneRound, c.recordStrangers, c.gangRound, c.releaseRound, c.retireRound, c.placeRound, c.upkeepRound,
		c.forgetRound, c.divideRound,
	}
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
func (c *Controller) writePart(t *txn, p string, free shard.Free, use map[string][3]float64) {
	rec := c.replica.parts[p]
	t.guard(partKey+p, rec.stamp)
	r := shard.Record{Term: rec.v.Term, By: rec.v.By, Doubt: rec.v.Doubt, Free: free, Use: use}
	if o := c.owned(p); o != nil && c.now().After(o.answered) {
		r.Doubt = false // the grace of whoever came before us is over
	}
	if n := c.trimOffer(r.Free, use, c.now()); n > 0 {
		c.log.Info(
			"machines not offered to peers", "part", p, "machines", n, "why",
			"they don't fit the part's record; those are left out that peers are least likely to take",
		)
	}
	t.writePart(partKey+p, &r)
}

// valueRoom is how many bytes of a value records may use.
func (c *Controller) valueRoom() int { return int(c.cfg.Lowest().ValueKB * 1024 * 7 / 8) }

// pageRoom is the same for pages, which the version before makes of today's size. Call
// with the lock held.
func (c *Controller) pageRoom() int {
	if c.upgraded() || c.limitsLowered {
		return c.valueRoom()
	}
	return int(c.cfg.Facts.State.ValueKB * 1024 * 7 / 8)
}

// useOf sums what limited teams' tasks hold in a part, ended ones that are not
// yet committed as such included: another owner might start them anew. Call with
// the lock held.
func (c *Controller) useOf(p string) map[string][3]float64 {
	sum := map[string]sched.Resources{}
	if !c.cfg.LimitsTeams() {
		return map[string][3]float64{}
	}
	for host, on := range c.replica.onHost {
		if m := c.replica.hosts[host]; m == nil || m.Part != p {
			continue
		}
		for _, pl := range on {
			if j := c.replica.jobs[pl.uid]; j != nil {
				sum[j.main.Spec.Team] = sum[j.main.Spec.Team].Add(need(&j.main.Spec))
			}
		}
	}
	use := map[string][3]float64{}
	for _, t := range c.cfg.Facts.Teams {
		if r, ok := sum[t.Name]; ok && t.Limited() {
			use[t.Name] = shard.Vec(r)
		}
	}
	return use
}

func limitOf(t config.Team) sched.Resources { return sched.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax} }

// shareOf gives what a part holds of a team's limit, and what the others hold.
// Call with the lock held.
func (c *Controller) shareOf(team, p string) (held, others sched.Resources) {
	if u := c.replica.teams[teamID(team)].v; u != nil {
		for q, v := range u.Held {
			if q == p {
				held = shard.Unvec(v)
			} else {
				others = others.Add(shard.Unvec(v))
			}
		}
	}
	return held, others
}

// writeShares writes what parts hold of teams' limits from now on. It goes only
// with writes of those parts' records. Call with the lock held.
func (c *Controller) writeShares(t *txn, shares map[string]map[string]sched.Resources) {
	teams := map[string]shard.Usage{}
	for p, byTeam := range shares {
		for name, r := range byTeam {
			id := teamID(name)
			u, ok := teams[id]
			if !ok {
				u = shard.Usage{Held: map[string][3]float64{}}
				if old := c.replica.teams[id].v; old != nil {
					maps.Copy(u.Held, old.Held)
				}
				teams[id] = u
			}
			u.Held[p] = shard.Vec(r)
		}
	}
	for id, u := range teams {
		t.guard(teamKey+id, c.replica.teams[id].stamp)
		t.write(teamKey+id, u)
	}
}

// atLeast tells whether every machine that is offered has the room that it is offered
// with.
func atLeast(now, offered shard.Free) bool {
	for h, v := range offered {
		if r, ok := now[h]; !ok || !shard.Unvec(r).Fits(shard.Unvec(v)) {
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
		rec := c.replica.parts[p]
		if c.owned(p) == nil || rec.v == nil || len(c.machineTypes) == 0 || now.Sub(o.kept) < 6*c.cfg.Pause() {
			continue
		}
		free := shard.Free{}
		for h, r := range c.freeOf(p, now) {
			free[h] = shard.Vec(r)
		}
		use := c.useOf(p)
		shares := map[string]sched.Resources{}
		for _, team := range c.cfg.Facts.Teams {
			held, others := c.shareOf(team.Name, p)
			if u := shard.Unvec(use[team.Name]); team.Limited() && sched.Excess(limitOf(team), others, held, u) {
				if less, ok := sched.Share(limitOf(team), others, u); ok {
					shares[team.Name] = less
				}
			}
		}
		out := free
		if len(rec.v.Free) < len(free) { // as it would be recorded
			out = maps.Clone(free)
			c.trimOffer(out, use, now)
		}
		if maps.Equal(out, rec.v.Free) && maps.Equal(use, rec.v.Use) && len(shares) == 0 && (!rec.v.Doubt || !now.After(o.answered)) {
			continue
		}
		// More room than the record says is news for peers only, and while own jobs wait
		// for room they take it first: that is told less often, and so is another choice of
		// machines where not all can be named. Less is told at once.
		if len(shares) == 0 && now.Sub(o.kept) < 24*c.cfg.Pause() && c.waiting() && atLeast(free, rec.v.Free) {
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
		c.writeShares(t, map[string]map[string]sched.Resources{p: shares})
		c.mu.Unlock()
		done, _, _ := c.commit(ctx, "upkeep", t, store.Decision)
		return done
	}
	c.mu.Unlock()
	return false
}
