package capacity

import (
	"maps"

	"violetturn/internal/config"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// quotaShareFor reports whether a team may use so much in a shard, by the share of its
// limit that the shard holds, or will hold after growing it; with other shards'
// growth in the same transaction.
func (acc *Accounts) quotaShareFor(
	team, p string, use sched.Resources, grown map[string]sched.Resources, claims map[string]*Claim,
) (sched.Resources, bool, bool) {
	x, _ := acc.node.Settings.Team(team)
	if !x.Limited() {
		return sched.Resources{}, false, true
	}
	held, others := acc.QuotaShares(team, p)
	for q, cl := range claims {
		if g, ok := cl.QuotaShares[team]; ok && q != p {
			was, _ := acc.QuotaShares(team, q)
			others = others.Add(g).Sub(was)
		}
	}
	if g, ok := grown[team]; ok {
		held = g
	}
	if sched.WithinQuota(QuotaLimitOf(x), held, use) {
		return held, false, true
	}
	more, ok := sched.QuotaShare(QuotaLimitOf(x), others, use)
	return more, true, ok
}

// QuotaUseOf sums what limited teams' tasks hold in a shard, ended ones that are not
// yet committed as such included: another leader might start them anew.
func (acc *Accounts) QuotaUseOf(p string) map[string][3]float64 {
	sum := map[string]sched.Resources{}
	if !acc.node.Settings.HasTeamLimits() {
		return map[string][3]float64{}
	}
	for host, on := range acc.cache.Placements {
		if m := acc.cache.Machines[host]; m == nil || m.Shard != p {
			continue
		}
		for _, pl := range on {
			if j := acc.cache.Jobs[pl.UID]; j != nil {
				sum[j.Record.Spec.Team] = sum[j.Record.Spec.Team].Add(statecache.ResourcesOf(&j.Record.Spec))
			}
		}
	}
	use := map[string][3]float64{}
	for _, t := range acc.node.Settings.Facts.Teams {
		if r, ok := sum[t.Name]; ok && t.Limited() {
			use[t.Name] = shard.Vec(r)
		}
	}
	return use
}

func QuotaLimitOf(t config.Team) sched.Resources {
	return sched.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
}

// QuotaShares returns what a shard holds of a team's limit, and what the others hold.
func (acc *Accounts) QuotaShares(team, p string) (held, others sched.Resources) {
	if u := acc.cache.Quotas[statecache.QuotaID(team)].Record; u != nil {
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

// PutQuotaShares writes what shards hold of teams' limits from now on. It goes only
// with writes of those shards' capacity records.
func (acc *Accounts) PutQuotaShares(t *statecache.Transaction, shares map[string]map[string]sched.Resources) {
	teams := map[string]shard.QuotaRecord{}
	for p, byTeam := range shares {
		for name, r := range byTeam {
			u, ok := teams[name]
			if !ok {
				u = shard.QuotaRecord{Held: map[string][3]float64{}}
				if old := acc.cache.Quotas[statecache.QuotaID(name)].Record; old != nil {
					maps.Copy(u.Held, old.Held)
				}
				teams[name] = u
			}
			u.Held[p] = shard.Vec(r)
		}
	}
	for name, u := range teams {
		t.Require(statecache.QuotaKey(name), acc.cache.Quotas[statecache.QuotaID(name)].Version)
		t.Put(statecache.QuotaKey(name), u)
	}
}

// CountsAgainstQuota reports whether what a gang's tasks use counts against a limit: the place of one
// on a machine that says nothing may still be taken, done or not, so its record is kept
// until all have been heard of.
func (acc *Accounts) CountsAgainstQuota(j *statecache.Job) bool {
	team, _ := acc.node.Settings.Team(j.Record.Spec.Team)
	return team.Limited()
}

// TeamUse is what a team's tasks hold in all, by the shards' capacity records.
func (acc *Accounts) TeamUse(name string) sched.Resources {
	var r sched.Resources
	for _, p := range acc.cache.Capacities {
		r = r.Add(shard.Unvec(p.Record.QuotaUse[name]))
	}
	return r
}
