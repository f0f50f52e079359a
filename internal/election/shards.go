package election

import (
	"context"
	"errors"

	"violetturn/internal/agent"
	"violetturn/internal/leadership"
	"violetturn/internal/logkey"
	"violetturn/internal/shard"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// Purposes of the commits of this package, as shown in the log summary.
const (
	commitNode  = "node"
	commitShard = "shard"
)

// maintainLeaderships registers this controller, releases shards to their home controllers, and
// acquires shards without a leader.
func (e *Elector) maintainLeaderships(ctx context.Context) {
	plan, ok := e.planLeaderships()
	if !ok {
		return
	}
	if plan.controllerCountChanged {
		e.services.Store.SetControllerCount(plan.controllerCount)
	}
	e.commands.ProbeWorkers(ctx, plan.probes)
	if plan.registration != nil {
		_, _, err := e.sync.Commit(ctx, commitNode, plan.registration, store.PriorityLease)
		if errors.Is(err, store.ErrLeaseEnded) {
			return
		}
	}
	for _, shard := range plan.shards.Release {
		e.releaseShard(ctx, shard)
	}
	for _, acquisition := range plan.shards.Acquire {
		e.AcquireShard(ctx, acquisition.Shard, acquisition.LeaderVersion)
	}
}

// leadershipPlan is what one call of MaintainLease does after it has renewed the lease.
type leadershipPlan struct {
	controllerCount        int // controllers that share the state service's rate limits
	controllerCountChanged bool
	probes                 []string                // addresses of workers to be probed
	registration           *statecache.Transaction // nil if this controller's records are up to date
	shards                 leadership.Plan
}

// planLeaderships decides under the lock what to do. ok is false while the cache is not fully
// loaded.
func (e *Elector) planLeaderships() (plan leadershipPlan, ok bool) {
	now := e.node.Now()
	state := e.guard.Lock()
	defer e.guard.Unlock()
	if !state.Cache.Loaded {
		return plan, false
	}
	state.Agents.EndLostLeaderships()
	plan.controllerCountChanged = state.Leadership.Rates().Update(now)
	plan.controllerCount = state.Leadership.Rates().ControllerCount()
	releaseAll, probes := state.DirectCommands.CheckWorkerContact(now)
	plan.probes = probes
	plan.registration = state.Leadership.Registration()
	plan.shards = state.Leadership.Planner().Plan(now, releaseAll)
	return plan, true
}

// acquisition is the transaction that acquires a shard, and the leadership that begins with it.
type acquisition struct {
	txn      *statecache.Transaction
	acquired agent.AcquiredShard
}

// AcquireShard acquires a shard: it writes the leader's key under the lease, with a term above
// all terms that were ever issued, which is the shard's fencing token. leaderVersion is the
// version of the leader's key on which the decision was based, or 0.
func (e *Elector) AcquireShard(ctx context.Context, shard string, leaderVersion uint64) {
	state := e.guard.Lock()
	if state.Cache.Leaders[shard].Version != leaderVersion {
		// A peer has acquired the shard since. A precondition on the newer version
		// would hold, and the shard would be taken from a running leader.
		e.guard.Unlock()
		return
	}
	prepared := e.prepareAcquisition(state, shard)
	e.guard.Unlock()
	committed, _, err := e.sync.Commit(ctx, commitShard, prepared.txn, store.PriorityLease)
	if !committed {
		e.node.Log.Debug("shard not acquired", logkey.Shard(shard), logkey.Err(err))
		if err == nil {
			// A conflict, usually with an acquisition of another shard that raised the term.
			// After all controllers have failed, many shards are acquired at the same time.
			// Retry soon, since the workers' leases expire meanwhile.
			e.sync.NotifyLeaderlessShard()
		}
		return
	}
	state = e.guard.Lock()
	var fences []*agent.DirectCommand
	if state.Agents.BeginLeadership(prepared.acquired) {
		fences = state.DirectCommands.PrepareShardFences(shard)
	}
	e.guard.Unlock()
	e.commands.SendAll(ctx, fences)
}

// prepareAcquisition builds the transaction that acquires a shard.
func (e *Elector) prepareAcquisition(state *state.State, name string) acquisition {
	self := e.node.Settings.HostName
	leader, hadLeader := state.Cache.Leaders[name]
	capacity := state.Cache.Capacities[name]
	term := state.Cache.HighestTerm() + 1
	predecessorsStopped := havePredecessorsStopped(capacity.Record, self)
	txn := statecache.NewTransaction()
	txn.Require(statecache.LeaderKey(name), leader.Version)
	txn.Require(statecache.TermKey, state.Cache.Versions[statecache.TermKey])
	txn.Require(statecache.CapacityKey(name), capacity.Version)
	txn.Put(statecache.TermKey, term)
	leaderRecord := shard.LeaderRecord{Node: self, Incarnation: e.node.Incarnation, Term: term}
	txn.PutWithLease(statecache.LeaderKey(name), leaderRecord, state.Leadership.LeaseID())
	txn.Put(statecache.CapacityKey(name), shard.CapacityRecord{
		Term:                 term,
		Leader:               self,
		PredecessorMayAnswer: !predecessorsStopped,
		Free:                 shard.FreeCapacity{},
		QuotaUse:             state.Accounting.QuotaUseOf(name),
	})
	return acquisition{
		txn:      txn,
		acquired: agent.AcquiredShard{Shard: name, Term: term, PredecessorsStopped: predecessorsStopped, HadLeader: hadLeader},
	}
}

// havePredecessorsStopped reports whether all earlier leaders of a shard have certainly stopped
// answering its workers, according to its capacity record. It guards against a new leader that
// treats a worker's lease as expired while an earlier leader still renews it.
//
// An earlier incarnation of this controller has ended, and a leader that released the shard has
// stopped answering. Any other leader may continue to answer for its grace period. So may a leader
// before those, if its successors did not last until its grace period had ended. Therefore the
// record keeps PredecessorMayAnswer; otherwise a quick restart of this controller would lose it.
func havePredecessorsStopped(capacity *shard.CapacityRecord, self string) bool {
	if capacity == nil {
		return true // it was never led
	}
	return (capacity.Leader == self || capacity.Released) && !capacity.PredecessorMayAnswer
}

// releaseShard releases a shard in an orderly way: the responses to its workers stop first, then
// the release is committed.
func (e *Elector) releaseShard(ctx context.Context, shard string) {
	state := e.guard.Lock()
	released, txn := prepareRelease(state, shard)
	e.guard.Unlock()
	if released == nil {
		return
	}
	committed, _, err := e.sync.Commit(ctx, commitShard, txn, store.PriorityLease)
	state = e.guard.Lock()
	defer e.guard.Unlock()
	if committed {
		e.node.Log.Info("shard released", logkey.Shard(shard), logkey.Term(released.Term))
		state.Agents.EndLeadership(shard)
		return
	}
	// If the outcome is unknown, workers stay unanswered until the cache shows the shard's leader.
	if !errors.Is(err, store.ErrOutcomeUnknown) {
		released.CancelRelease()
	}
}

// prepareRelease stops the responses to a shard's workers and builds the transaction that releases
// the shard. It returns nil if there is nothing to release.
func prepareRelease(state *state.State, shard string) (*leadership.Leadership, *statecache.Transaction) {
	leadership, capacity := state.Leadership.Lookup(shard), state.Cache.Capacities[shard]
	if leadership == nil || capacity.Record == nil {
		return nil, nil
	}
	leadership.BeginRelease()
	record := *capacity.Record
	record.Released = true
	txn := statecache.NewTransaction()
	txn.Require(statecache.LeaderKey(shard), leadership.Version)
	txn.Require(statecache.CapacityKey(shard), capacity.Version)
	txn.Delete(statecache.LeaderKey(shard))
	txn.Put(statecache.CapacityKey(shard), record)
	return leadership, txn
}
