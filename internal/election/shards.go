package election

import (
	"context"
	"errors"

	"violetturn/internal/shard"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// maintainLeaderships registers this node, takes shards without a leader and hands shards
// back to their home controllers.
func (k *Keeper) maintainLeaderships(ctx context.Context) {
	now := k.node.Now()
	state := k.guard.Lock()
	if !state.Cache.Loaded {
		k.guard.Unlock()
		return
	}
	state.Agents.DropLostLeaderships()
	sharers, sharersChanged := state.Leadership.UpdateRateSharing(now)
	unreachable, probes := state.Agents.CheckWorkerContact(now)
	registration := state.Leadership.Registration()
	state.Leadership.NotePeersReachable(now)
	tending := state.Leadership.PlanChanges(now, unreachable)
	k.guard.Unlock()
	if sharersChanged {
		k.services.Store.SetControllers(sharers)
	}
	k.commands.Probe(ctx, probes)
	if registration != nil {
		if _, _, err := k.sync.Commit(ctx, "node", registration, store.PriorityLease); errors.Is(err, store.ErrNoLease) {
			return
		}
	}
	for _, p := range tending.Release {
		k.releaseShard(ctx, p)
	}
	for _, p := range tending.Acquire {
		k.AcquireShard(ctx, p, tending.LeaderVersions[p])
	}
}

// AcquireShard takes a shard: its leader's key under our lease, and a term above all
// that were ever given out, which is the shard's fencing token.
func (k *Keeper) AcquireShard(ctx context.Context, p string, seen uint64) {
	me := k.node.Settings.HostName
	state := k.guard.Lock()
	old, had := state.Cache.Leaders[p]
	if old.Version != seen {
		// Somebody took it since: with the newer version the precondition would hold,
		// and the shard be taken from a living leader.
		k.guard.Unlock()
		return
	}
	rec := state.Cache.Capacities[p]
	term := state.Cache.Term + 1
	t := statecache.NewTransaction()
	t.Require(statecache.LeaderKey(p), old.Version)
	t.Require(statecache.TermKey, state.Cache.Versions[statecache.TermKey])
	t.Require(statecache.CapacityKey(p), rec.Version)
	t.Put(statecache.TermKey, term)
	t.PutWithLease(statecache.LeaderKey(p), shard.LeaderRecord{Node: me, Incarnation: k.node.Incarnation, Term: term}, state.Leadership.LeaseID)
	// An earlier life of this process has ended, and one that released the shard
	// has stopped answering; any other may go on for its grace. So may one before
	// those, if they did not live to see its grace out: the doubt stays with the
	// record, or a quick restart of ours would forget it.
	clean := rec.Record == nil || (rec.Record.Leader == me || rec.Record.Released) && !rec.Record.PredecessorInDoubt
	t.Put(
		statecache.CapacityKey(p),
		shard.CapacityRecord{Term: term, Leader: me, PredecessorInDoubt: !clean, Free: shard.FreeCapacity{}, QuotaUse: state.Capacity.QuotaUseOf(p)},
	)
	k.guard.Unlock()
	done, _, err := k.sync.Commit(ctx, "part", t, store.PriorityLease)
	if !done {
		k.node.Log.Debug("shard not acquired", "shard", p, "err", err)
		if err == nil {
			// Overtaken, by another's take that raised the term as a rule: after
			// the end of all they come at once, and leases run meanwhile.
			k.sync.WakeLeaseLoop()
		}
		return
	}
	state = k.guard.Lock()
	fences := state.Agents.BeginLeadership(p, term, clean, had)
	k.guard.Unlock()
	k.commands.Send(ctx, fences)
}

// releaseShard returns a shard back to its home controller in an orderly way: answers
// stop first, then the release is committed.
func (k *Keeper) releaseShard(ctx context.Context, p string) {
	state := k.guard.Lock()
	o, rec := state.Leadership.ByShard[p], state.Cache.Capacities[p]
	if o == nil || rec.Record == nil {
		k.guard.Unlock()
		return
	}
	o.Releasing = true
	t := statecache.NewTransaction()
	t.Require(statecache.LeaderKey(p), o.Version)
	t.Require(statecache.CapacityKey(p), rec.Version)
	t.Delete(statecache.LeaderKey(p))
	r := *rec.Record
	r.Released = true
	t.Put(statecache.CapacityKey(p), r)
	k.guard.Unlock()
	done, _, err := k.sync.Commit(ctx, "part", t, store.PriorityLease)
	state = k.guard.Lock()
	defer k.guard.Unlock()
	if done {
		k.node.Log.Info("shard released", "shard", p, "term", o.Term)
		state.Agents.DropLeadership(p)
		return
	}
	// In doubt it stays unanswered until the replica shows who owns it.
	if !errors.Is(err, store.ErrUnknown) {
		o.Releasing = false
	}
}
