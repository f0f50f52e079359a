package controller

import (
	"maps"
	"time"

	"violetturn/internal/sched"
	"violetturn/internal/shard"
)

// claim is what a transaction takes of a part's room.
type claim struct {
	free   shard.Free
	use    map[string][3]float64
	shares map[string]sched.Resources
}

// claimOn opens a part for placements: an own one with its room as it is, a
// peer's as its record says. Call with the lock held.
func (c *Controller) claimOn(p string, now time.Time) *claim {
	rec := c.replica.parts[p]
	if rec.v == nil || c.replica.owns[p].v == nil {
		return nil
	}
	x := &claim{free: shard.Free{}, shares: map[string]sched.Resources{}}
	if c.owned(p) != nil {
		for h, r := range c.freeOf(p, now) {
			x.free[h] = shard.Vec(r)
		}
		x.use = c.useOf(p)
		return x
	}
	maps.Copy(x.free, rec.v.Free)
	x.use = map[string][3]float64{}
	maps.Copy(x.use, rec.v.Use)
	return x
}

// claims are the parts that a transaction takes room of.
type claims struct {
	c    *Controller
	by   map[string]*claim
	more int // changes of other records than jobs'
}

// take checks one placement against what there is now and claims its room; cost
// is how many changes it adds besides the jobs' own. Nothing is claimed before
// ok is called.
func (x *claims) take(pl placement, now time.Time) (j *liveJob, cost int, ok func()) {
	c := x.c
	j = c.replica.jobs[pl.uid]
	if j == nil || j.main.Cancelled || j.main.Finished(pl.chunk) || c.owned(j.main.Part) == nil || c.blocked(j) {
		return nil, 0, nil
	}
	old := j.chunks[pl.chunk].v
	if old.PlaceOf(pl.index) != nil || old.Done(pl.index) {
		return nil, 0, nil
	}
	p := pl.host.Part
	cl, open := x.by[p], true
	if cl == nil {
		if cl, open = c.claimOn(p, now), false; cl == nil {
			return nil, 0, nil
		}
		cost++
	}
	r := &j.main.Spec
	n := need(r)
	f, in := cl.free[pl.host.Name]
	fits := len(pl.victims) == 0
	if fits && (!in || !shard.Unvec(f).Fits(n)) {
		return nil, 0, nil // the record has moved on
	}
	use := shard.Unvec(cl.use[r.Team]).Add(n)
	share, grown, within := c.share(r.Team, p, use, cl.shares, x.by)
	if !within {
		c.short[r.Team] = true
		return nil, 0, nil // the team's limit
	}
	if grown {
		cost++
	}
	return j, cost, func() {
		if !open {
			x.by[p] = cl
			x.more++
		}
		if team, _ := c.cfg.Team(r.Team); team.Limited() {
			cl.use[r.Team] = shard.Vec(use)
			if grown {
				cl.shares[r.Team] = share
				x.more++
			}
		}
		if fits {
			cl.free[pl.host.Name] = shard.Vec(shard.Unvec(f).Sub(n))
		} else {
			delete(cl.free, pl.host.Name) // its owner tells what is free when the others have left
		}
	}
}

// write writes the parts' records and shares.
func (x *claims) write(t *txn) {
	shares := map[string]map[string]sched.Resources{}
	for p, cl := range x.by {
		x.c.writePart(t, p, cl.free, cl.use)
		shares[p] = cl.shares
	}
	x.c.writeShares(t, shares)
}

// share tells whether a team may use so much in a part, by the share of its
// limit that the part holds, or will hold after growing it; with other parts'
// growth in the same transaction. Call with the lock held.
func (c *Controller) share(
	team, p string, use sched.Resources, grown map[string]sched.Resources, claims map[string]*claim,
) (sched.Resources, bool, bool) {
	x, _ := c.cfg.Team(team)
	if !x.Limited() {
		return sched.Resources{}, false, true
	}
	held, others := c.shareOf(team, p)
	for q, cl := range claims {
		if g, ok := cl.shares[team]; ok && q != p {
			was, _ := c.shareOf(team, q)
			others = others.Add(g).Sub(was)
		}
	}
	if g, ok := grown[team]; ok {
		held = g
	}
	if sched.Within(limitOf(x), held, use) {
		return held, false, true
	}
	more, ok := sched.Share(limitOf(x), others, use)
	return more, true, ok
}
