package capacity

import (
	"maps"
	"time"

	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// Claim is what a transaction takes of a shard's room.
type Claim struct {
	free        shard.FreeCapacity
	QuotaUse    map[string][3]float64
	QuotaShares map[string]sched.Resources
}

// OpenClaim opens a shard for placements: an own one with its room as it is, a
// peer's as its record says.
func (acc *Accounts) OpenClaim(p string, now time.Time) *Claim {
	rec := acc.cache.Capacities[p]
	if rec.Record == nil || acc.cache.Leaders[p].Record == nil {
		return nil
	}
	x := &Claim{free: shard.FreeCapacity{}, QuotaShares: map[string]sched.Resources{}}
	if acc.leadership.Leads(p) {
		for h, r := range acc.room.FreeInShard(p, now) {
			x.free[h] = shard.Vec(r)
		}
		x.QuotaUse = acc.QuotaUseOf(p)
		return x
	}
	maps.Copy(x.free, rec.Record.Free)
	x.QuotaUse = map[string][3]float64{}
	maps.Copy(x.QuotaUse, rec.Record.QuotaUse)
	return x
}

// Claims are the shards that a transaction takes room of.
type Claims struct {
	Accounts     *Accounts
	ByShard      map[string]*Claim
	OtherChanges int // changes of other records than jobs'
}

// TryClaim checks one placement against what there is now and claims its room; cost
// is how many changes it adds besides the jobs' own. Nothing is claimed before
// ok is called.
func (x *Claims) TryClaim(pl Placement, now time.Time) (j *statecache.Job, cost int, ok func()) {
	j = x.Accounts.cache.Jobs[pl.UID]
	if j == nil || j.Record.Cancelled || j.Record.RangeFinished(pl.RangeIndex) || !x.Accounts.leadership.Leads(j.Record.Shard) || x.Accounts.schema.IsBlocked(j) {
		return nil, 0, nil
	}
	old := j.Ranges[pl.RangeIndex].Record
	if old.PlacementOf(pl.Index) != nil || old.Done(pl.Index) {
		return nil, 0, nil
	}
	p := pl.Host.Shard
	cl, open := x.ByShard[p], true
	if cl == nil {
		if cl, open = x.Accounts.OpenClaim(p, now), false; cl == nil {
			return nil, 0, nil
		}
		cost++
	}
	r := &j.Record.Spec
	n := statecache.ResourcesOf(r)
	f, in := cl.free[pl.Host.Name]
	fits := len(pl.Victims) == 0
	if fits && (!in || !shard.Unvec(f).Fits(n)) {
		return nil, 0, nil // the record has moved on
	}
	use := shard.Unvec(cl.QuotaUse[r.Team]).Add(n)
	share, grown, within := x.Accounts.quotaShareFor(r.Team, p, use, cl.QuotaShares, x.ByShard)
	if !within {
		x.Accounts.QuotaShortages[r.Team] = true
		return nil, 0, nil // the team's limit
	}
	if grown {
		cost++
	}
	return j, cost, func() {
		if !open {
			x.ByShard[p] = cl
			x.OtherChanges++
		}
		if team, _ := x.Accounts.node.Settings.Team(r.Team); team.Limited() {
			cl.QuotaUse[r.Team] = shard.Vec(use)
			if grown {
				cl.QuotaShares[r.Team] = share
				x.OtherChanges++
			}
		}
		if fits {
			cl.free[pl.Host.Name] = shard.Vec(shard.Unvec(f).Sub(n))
		} else {
			delete(cl.free, pl.Host.Name) // its leader tells what is free when the others have left
		}
	}
}

// Write writes the shards' capacity records and shares.
func (x *Claims) Write(t *statecache.Transaction) {
	shares := map[string]map[string]sched.Resources{}
	for p, cl := range x.ByShard {
		x.Accounts.PutCapacityRecord(t, p, cl.free, cl.QuotaUse)
		shares[p] = cl.QuotaShares
	}
	x.Accounts.PutQuotaShares(t, shares)
}

// Placement is a task and the machine it is to go to.
type Placement struct {
	UID        string
	RangeIndex int
	Index      int
	Host       *sched.Host

	Victims []*statecache.PlacedTask // tasks that have to leave the machine for it
}
