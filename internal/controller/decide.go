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
// It runs when something has changed and at least twice in a heartbeat interval, and
// leaves some time between: what comes together is committed together, and a
// slow processor has most of its time for reports.
func (c *Controller) decideLoop(ctx context.Context) {
	for {
		t := time.NewTimer(c.node.settings.HeartbeatInterval() / 2)
		select {
		case <-c.wake:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
		c.decide(ctx)
		state := c.guard.Lock()
		spent := state.scheduler.planningTime
		state.scheduler.planningTime = 0
		c.guard.Unlock()
		if !sleep(ctx, max(c.node.settings.DecisionInterval(), 3*spent)) {
			return
		}
	}
}

func (c *Controller) decide(ctx context.Context) {
	// Under load the budget of changes sets the pace: what comes together while
	// it fills goes into few large transactions instead of many small ones.
	if !c.mayActNow() || c.store.AwaitWrites(ctx, min(c.node.settings.LowestLimits().TxnOps, c.writesPerSecond()), store.PriorityDecision) < 2 ||
		c.readNewest(ctx) != nil {
		return
	}
	steps := []func(context.Context) bool{
		c.updateZones, c.registerMachines, c.updateGangs, c.commitEnds, c.archiveJobs, c.placeTasks, c.refreshCapacityRecord,
		c.deregisterMachines, c.splitRecords,
	}
	for _, step := range steps {
		for range 16 { // each step commits one transaction at a time
			if !c.mayActNow() || ctx.Err() != nil {
				return
			}
			more := step(ctx)
			c.placeNewGangs(ctx)
			if !more {
				break
			}
		}
	}
	c.requestHeartbeats(ctx)
}

// writesPerSecond is this controller's share of the changes of a second.
func (c *Controller) writesPerSecond() int {
	state := c.guard.Lock()
	defer c.guard.Unlock()
	return max(2, int(c.node.settings.LowestLimits().WriteRPS/float64(state.leadership.rateSharers)))
}

func (c *Controller) mayActNow() bool {
	state := c.guard.Lock()
	defer c.guard.Unlock()
	return state.leadership.mayAct(c.node.now())
}

// require makes a transaction conditional on this node's leadership of a shard: a leader
// that was superseded commits nothing more.
func (l *leadershipTable) require(t *transaction, p string) bool {
	o := l.of(p)
	if o == nil {
		return false
	}
	t.require(leaderPrefix+p, o.version)
	return true
}

// putCapacityRecord writes a shard's capacity record.
func (acc *capacityAccounts) putCapacityRecord(t *transaction, p string, free shard.FreeCapacity, use map[string][3]float64) {
	rec := acc.cache.capacities[p]
	t.require(capacityPrefix+p, rec.version)
	r := shard.CapacityRecord{
		Term:               rec.record.Term,
		Leader:             rec.record.Leader,
		PredecessorInDoubt: rec.record.PredecessorInDoubt,
		Free:               free,
		QuotaUse:           use,
	}
	if o := acc.leadership.of(p); o != nil && acc.node.now().After(o.predecessorAnswersUntil) {
		r.PredecessorInDoubt = false // the grace of whoever came before us is over
	}
	if n := acc.trimCapacity(r.Free, use, acc.node.now()); n > 0 {
		acc.node.log.Info(
			"machines not offered to peers", "shard", p, "machines", n, "why",
			"the capacity record is full; left out are those that peers are least likely to use",
		)
	}
	t.putCapacity(capacityPrefix+p, &r)
}

// maxValueBytes is how many bytes of a value records may use.
func (s *schemaState) maxValueBytes() int {
	return int(s.node.settings.LowestLimits().ValueKB * 1024 * 7 / 8)
}

// maxPageBytes is the same for pages, which the version before makes of today's size.
func (s *schemaState) maxPageBytes() int {
	if s.upgraded() || s.limitsLowered {
		return s.maxValueBytes()
	}
	return int(s.node.settings.Facts.State.ValueKB * 1024 * 7 / 8)
}

// quotaUseOf sums what limited teams' tasks hold in a shard, ended ones that are not
// yet committed as such included: another leader might start them anew.
func (acc *capacityAccounts) quotaUseOf(p string) map[string][3]float64 {
	sum := map[string]sched.Resources{}
	if !acc.node.settings.HasTeamLimits() {
		return map[string][3]float64{}
	}
	for host, on := range acc.cache.placements {
		if m := acc.cache.machines[host]; m == nil || m.Shard != p {
			continue
		}
		for _, pl := range on {
			if j := acc.cache.jobs[pl.uid]; j != nil {
				sum[j.record.Spec.Team] = sum[j.record.Spec.Team].Add(resourcesOf(&j.record.Spec))
			}
		}
	}
	use := map[string][3]float64{}
	for _, t := range acc.node.settings.Facts.Teams {
		if r, ok := sum[t.Name]; ok && t.Limited() {
			use[t.Name] = shard.Vec(r)
		}
	}
	return use
}

func quotaLimitOf(t config.Team) sched.Resources {
	return sched.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
}

// quotaShares returns what a shard holds of a team's limit, and what the others hold.
func (acc *capacityAccounts) quotaShares(team, p string) (held, others sched.Resources) {
	if u := acc.cache.quotas[quotaID(team)].record; u != nil {
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

// putQuotaShares writes what shards hold of teams' limits from now on. It goes only
// with writes of those shards' capacity records.
func (acc *capacityAccounts) putQuotaShares(t *transaction, shares map[string]map[string]sched.Resources) {
	teams := map[string]shard.QuotaRecord{}
	for p, byTeam := range shares {
		for name, r := range byTeam {
			id := quotaID(name)
			u, ok := teams[id]
			if !ok {
				u = shard.QuotaRecord{Held: map[string][3]float64{}}
				if old := acc.cache.quotas[id].record; old != nil {
					maps.Copy(u.Held, old.Held)
				}
				teams[id] = u
			}
			u.Held[p] = shard.Vec(r)
		}
	}
	for id, u := range teams {
		t.require(quotaPrefix+id, acc.cache.quotas[id].version)
		t.put(quotaPrefix+id, u)
	}
}

// stillOffered reports whether every machine that is offered has the room that it is offered
// with.
func stillOffered(now, offered shard.FreeCapacity) bool {
	for h, v := range offered {
		if r, ok := now[h]; !ok || !shard.Unvec(r).Fits(shard.Unvec(v)) {
			return false
		}
	}
	return true
}

// refreshCapacityRecord writes an own shard's capacity record when its machines or their room have
// changed, at intervals: placements there write it anyway.
func (c *Controller) refreshCapacityRecord(ctx context.Context) bool {
	now := c.node.now()
	state := c.guard.Lock()
	for p, o := range state.leadership.byShard {
		rec := state.cache.capacities[p]
		if state.leadership.of(p) == nil || rec.record == nil || len(state.catalog.machineTypes) == 0 ||
			now.Sub(o.capacityRecordedAt) < 6*c.node.settings.DecisionInterval() {
			continue
		}
		free := shard.FreeCapacity{}
		for h, r := range state.room.freeInShard(p, now) {
			free[h] = shard.Vec(r)
		}
		use := state.capacity.quotaUseOf(p)
		shares := map[string]sched.Resources{}
		for _, team := range c.node.settings.Facts.Teams {
			held, others := state.capacity.quotaShares(team.Name, p)
			if u := shard.Unvec(use[team.Name]); team.Limited() && sched.HoldsExcessQuota(quotaLimitOf(team), others, held, u) {
				if less, ok := sched.QuotaShare(quotaLimitOf(team), others, u); ok {
					shares[team.Name] = less
				}
			}
		}
		out := free
		if len(rec.record.Free) < len(free) { // as it would be recorded
			out = maps.Clone(free)
			state.capacity.trimCapacity(out, use, now)
		}
		if maps.Equal(out, rec.record.Free) && maps.Equal(use, rec.record.QuotaUse) && len(shares) == 0 &&
			(!rec.record.PredecessorInDoubt || !now.After(o.predecessorAnswersUntil)) {
			continue
		}
		// More room than the record says is news for peers only, and while own jobs wait
		// for room they take it first: that is told less often, and so is another choice of
		// machines where not all can be named. Less is told at once.
		if len(shares) == 0 && now.Sub(o.capacityRecordedAt) < 24*c.node.settings.DecisionInterval() && state.scheduler.hasPendingTasks() &&
			stillOffered(free, rec.record.Free) {
			continue
		}
		for name := range shares { // the record and as many teams' as a transaction takes
			if len(shares) < state.schema.transactionLimits().TxnOps {
				break
			}
			delete(shares, name)
		}
		o.capacityRecordedAt = now
		t := newTransaction()
		state.leadership.require(t, p)
		state.capacity.putCapacityRecord(t, p, free, use)
		state.capacity.putQuotaShares(t, map[string]map[string]sched.Resources{p: shares})
		c.guard.Unlock()
		done, _, _ := c.commit(ctx, "upkeep", t, store.PriorityDecision)
		return done
	}
	c.guard.Unlock()
	return false
}
