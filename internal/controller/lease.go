package controller

import (
	"context"
	"errors"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// maintainLeaderships registers this node, takes shards without a leader and hands shards
// back to their home controllers.
func (k *leaseKeeper) maintainLeaderships(ctx context.Context) {
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
		k.services.store.SetControllers(sharers)
	}
	k.commands.probe(ctx, probes)
	if registration != nil {
		if _, _, err := k.sync.commit(ctx, "node", registration, store.PriorityLease); errors.Is(err, store.ErrNoLease) {
			return
		}
	}
	for _, p := range tending.Release {
		k.releaseShard(ctx, p)
	}
	for _, p := range tending.Acquire {
		k.acquireShard(ctx, p, tending.LeaderVersions[p])
	}
}

// leaseLoop keeps this node's lease and with it the shards it owns.
func (k *leaseKeeper) leaseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		t := time.NewTimer(k.maintainLease(ctx))
		select {
		case <-t.C:
		case <-k.sync.leaderlessShard: // its turn may be ours
			sleep(ctx, k.node.Settings.ControllerLeaseTTL()/32)
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// maintainLease makes or renews the lease and tends the shards. It tells how long to
// wait before the next step.
func (k *leaseKeeper) maintainLease(ctx context.Context) time.Duration {
	ttl := k.node.Settings.ControllerLeaseTTL()
	state := k.guard.Lock()
	leaseID := state.Leadership.LeaseID
	k.guard.Unlock()
	sent := k.node.Now()
	var err error
	if leaseID == 0 {
		if leaseID, err = k.services.store.GrantLease(ctx, ttl); err == nil {
			k.node.Log.Info("lease granted", "lease", leaseID)
			state = k.guard.Lock()
			state.Leadership.LeaseID = leaseID
			k.guard.Unlock()
		}
	} else if err = k.services.store.RenewLease(ctx, leaseID); errors.Is(err, store.ErrNoLease) {
		k.node.Log.Info("lease lost", "lease", leaseID)
		state = k.guard.Lock()
		state.Leadership.LeaseID, state.Leadership.LeaseValidUntil = 0, time.Time{}
		clear(state.Leadership.ByShard)
		clear(state.Agents.ByHost)
		clear(state.Cache.Loads)
		k.guard.Unlock()
		return 0
	}
	if err == nil {
		state = k.guard.Lock()
		// Our clock may run slow against the service's: count a little less.
		state.Leadership.LeaseValidUntil = sent.Add(ttl - ttl/256)
		stale := state.Cache.Loaded && sent.Sub(state.Cache.ChangesReadAt) > ttl/4
		k.guard.Unlock()
		if stale { // how long we may answer once we are cut off counts from the last read
			_ = k.sync.readNewest(ctx)
		}
		k.maintainLeaderships(ctx)
		return ttl / 4
	}
	return ttl / 10
}

// acquireShard takes a shard: its leader's key under our lease, and a term above all
// that were ever given out, which is the shard's fencing token.
func (k *leaseKeeper) acquireShard(ctx context.Context, p string, seen uint64) {
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
	t.Require(statecache.LeaderPrefix+p, old.Version)
	t.Require(statecache.TermKey, state.Cache.Versions[statecache.TermKey])
	t.Require(statecache.CapacityPrefix+p, rec.Version)
	t.Put(statecache.TermKey, term)
	t.Put(statecache.LeaderPrefix+p, shard.LeaderRecord{Node: me, Incarnation: k.node.Incarnation, Term: term})
	t.Leases[statecache.LeaderPrefix+p] = state.Leadership.LeaseID
	// An earlier life of this process has ended, and one that released the shard
	// has stopped answering; any other may go on for its grace. So may one before
	// those, if they did not live to see its grace out: the doubt stays with the
	// record, or a quick restart of ours would forget it.
	clean := rec.Record == nil || (rec.Record.Leader == me || rec.Record.Released) && !rec.Record.PredecessorInDoubt
	t.Put(
		statecache.CapacityPrefix+p,
		shard.CapacityRecord{Term: term, Leader: me, PredecessorInDoubt: !clean, Free: shard.FreeCapacity{}, QuotaUse: state.Capacity.QuotaUseOf(p)},
	)
	k.guard.Unlock()
	done, _, err := k.sync.commit(ctx, "part", t, store.PriorityLease)
	if !done {
		k.node.Log.Debug("shard not acquired", "shard", p, "err", err)
		if err == nil {
			// Overtaken, by another's take that raised the term as a rule: after
			// the end of all they come at once, and leases run meanwhile.
			k.sync.wakeLeaseLoop()
		}
		return
	}
	state = k.guard.Lock()
	fences := state.Agents.BeginLeadership(p, term, clean, had)
	k.guard.Unlock()
	k.commands.send(ctx, fences)
}

// releaseShard returns a shard back to its home controller in an orderly way: answers
// stop first, then the release is committed.
func (k *leaseKeeper) releaseShard(ctx context.Context, p string) {
	state := k.guard.Lock()
	o, rec := state.Leadership.ByShard[p], state.Cache.Capacities[p]
	if o == nil || rec.Record == nil {
		k.guard.Unlock()
		return
	}
	o.Releasing = true
	t := statecache.NewTransaction()
	t.Require(statecache.LeaderPrefix+p, o.Version)
	t.Require(statecache.CapacityPrefix+p, rec.Version)
	t.Delete(statecache.LeaderPrefix + p)
	r := *rec.Record
	r.Released = true
	t.Put(statecache.CapacityPrefix+p, r)
	k.guard.Unlock()
	done, _, err := k.sync.commit(ctx, "part", t, store.PriorityLease)
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

// send sends prepared commands, each in a goroutine of its own that ends with the
// answer or the client's deadline.
func (c *commandSender) send(ctx context.Context, commands []agent.DirectCommand) {
	for _, command := range commands {
		c.node.RunAsync(func() { c.sendOne(ctx, command) })
	}
}

// sendOne sends commands to a worker and takes in the heartbeat that it answers with. A
// worker of another agent epoch refuses them and is asked once more with the epoch it named.
func (c *commandSender) sendOne(ctx context.Context, command agent.DirectCommand) {
	defer func() { <-command.Slots }()
	for range 2 {
		r, done, err := c.services.workers.SendCommands(ctx, command.Addr, command.Batch)
		if err != nil {
			c.node.Log.Debug("direct commands not answered", "host", command.Host, "err", err)
			return
		}
		state := c.guard.Lock()
		state.Agents.AcceptAnswer(command.Host, command.Term, r)
		c.guard.Unlock()
		if done || shard.TokenTerm(r.Token) >= command.Term {
			return
		}
		command.Batch.AgentEpoch = r.AgentEpoch
	}
}

// requestHeartbeats has workers report at once for whom there is something new: a start
// goes only in an answer to a heartbeat, and the next one may be a whole round
// away. A direct command that stops tasks or raises the worker's token makes it
// report; neither does harm whenever it is carried out. (One that only clears
// ended tasks does not make it report.)
func (c *commandSender) requestHeartbeats(ctx context.Context) {
	state := c.guard.Lock()
	commands := state.Agents.DueHeartbeatRequests(c.node.Now())
	c.guard.Unlock()
	c.send(ctx, commands)
}
