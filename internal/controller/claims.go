package controller

import (
	"maps"
	"time"

	"violetturn/internal/sched"
	"violetturn/internal/shard"
)

// claim is what a transaction takes of a shard's room.
type claim struct {
	free        shard.FreeCapacity
	quotaUse    map[string][3]float64
	quotaShares map[string]sched.Resources
}

// openClaim opens a shard for placements: an own one with its room as it is, a
// peer's as its record says.
func (acc *capacityAccounts) openClaim(p string, now time.Time) *claim {
	rec := acc.cache.capacities[p]
	if rec.record == nil || acc.cache.leaders[p].record == nil {
		return nil
	}
	x := &claim{free: shard.FreeCapacity{}, quotaShares: map[string]sched.Resources{}}
	if acc.leadership.of(p) != nil {
		for h, r := range acc.room.freeInShard(p, now) {
			x.free[h] = shard.Vec(r)
		}
		x.quotaUse = acc.quotaUseOf(p)
		return x
	}
	maps.Copy(x.free, rec.record.Free)
	x.quotaUse = map[string][3]float64{}
	maps.Copy(x.quotaUse, rec.record.QuotaUse)
	return x
}

// claims are the shards that a transaction takes room of.
type claims struct {
	accounts     *capacityAccounts
	byShard      map[string]*claim
	otherChanges int // changes of other records than jobs'
}

// tryClaim checks one placement against what there is now and claims its room; cost
// is how many changes it adds besides the jobs' own. Nothing is claimed before
// ok is called.
func (x *claims) tryClaim(pl placement, now time.Time) (j *liveJob, cost int, ok func()) {
	j = x.accounts.cache.jobs[pl.uid]
	if j == nil || j.record.Cancelled || j.record.RangeFinished(pl.rangeIndex) || x.accounts.leadership.of(j.record.Shard) == nil || x.accounts.schema.isBlocked(j) {
		return nil, 0, nil
	}
	old := j.ranges[pl.rangeIndex].record
	if old.PlacementOf(pl.index) != nil || old.Done(pl.index) {
		return nil, 0, nil
	}
	p := pl.host.Shard
	cl, open := x.byShard[p], true
	if cl == nil {
		if cl, open = x.accounts.openClaim(p, now), false; cl == nil {
			return nil, 0, nil
		}
		cost++
	}
	r := &j.record.Spec
	n := resourcesOf(r)
	f, in := cl.free[pl.host.Name]
	fits := len(pl.victims) == 0
	if fits && (!in || !shard.Unvec(f).Fits(n)) {
		return nil, 0, nil // the record has moved on
	}
	use := shard.Unvec(cl.quotaUse[r.Team]).Add(n)
	share, grown, within := x.accounts.quotaShareFor(r.Team, p, use, cl.quotaShares, x.byShard)
	if !within {
		x.accounts.quotaShortages[r.Team] = true
		return nil, 0, nil // the team's limit
	}
	if grown {
		cost++
	}
	return j, cost, func() {
		if !open {
			x.byShard[p] = cl
			x.otherChanges++
		}
		if team, _ := x.accounts.node.settings.Team(r.Team); team.Limited() {
			cl.quotaUse[r.Team] = shard.Vec(use)
			if grown {
				cl.quotaShares[r.Team] = share
				x.otherChanges++
			}
		}
		if fits {
			cl.free[pl.host.Name] = shard.Vec(shard.Unvec(f).Sub(n))
		} else {
			delete(cl.free, pl.host.Name) // its leader tells what is free when the others have left
		}
	}
}

// write writes the shards' capacity records and shares.
func (x *claims) write(t *transaction) {
	shares := map[string]map[string]sched.Resources{}
	for p, cl := range x.byShard {
		x.accounts.putCapacityRecord(t, p, cl.free, cl.quotaUse)
		shares[p] = cl.quotaShares
	}
	x.accounts.putQuotaShares(t, shares)
}

// quotaShareFor reports whether a team may use so much in a shard, by the share of its
// limit that the shard holds, or will hold after growing it; with other shards'
// growth in the same transaction.
func (acc *capacityAccounts) quotaShareFor(
	team, p string, use sched.Resources, grown map[string]sched.Resources, claims map[string]*claim,
) (sched.Resources, bool, bool) {
	x, _ := acc.node.settings.Team(team)
	if !x.Limited() {
		return sched.Resources{}, false, true
	}
	held, others := acc.quotaShares(team, p)
	for q, cl := range claims {
		if g, ok := cl.quotaShares[team]; ok && q != p {
			was, _ := acc.quotaShares(team, q)
			others = others.Add(g).Sub(was)
		}
	}
	if g, ok := grown[team]; ok {
		held = g
	}
	if sched.WithinQuota(quotaLimitOf(x), held, use) {
		return held, false, true
	}
	more, ok := sched.QuotaShare(quotaLimitOf(x), others, use)
	return more, true, ok
}
