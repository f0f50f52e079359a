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

// What the commits of this package are for, in the log's summary.
const (
	commitNode  = "node"
	commitShard = "shard"
)

// maintainLeaderships registers this node, acquires shards without a leader and releases shards
// to their home controllers.
func (k *Elector) maintainLeaderships(ctx context.Context) {
	step, ok := k.planStep()
	if !ok {
		return
	}
	if step.sharersChanged {
		k.services.Store.SetControllers(step.sharers)
	}
	k.commands.ProbeWorkers(ctx, step.probes)
	if step.registration != nil {
		_, _, err := k.sync.Commit(ctx, commitNode, step.registration, store.PriorityLease)
		if errors.Is(err, store.ErrNoLease) {
			return
		}
	}
	for _, shard := range step.changes.Release {
		k.releaseShard(ctx, shard)
	}
	for _, acquisition := range step.changes.Acquire {
		k.AcquireShard(ctx, acquisition.Shard, acquisition.LeaderVersion)
	}
}

// leadershipStep is what a step of the lease does besides keeping it.
type leadershipStep struct {
	sharers        int // controllers that share the state service's rates
	sharersChanged bool
	probes         []string                // addresses of workers to be asked whether they hear this node
	registration   *statecache.Transaction // nil: this node's records are right
	changes        leadership.Changes
}

// planStep decides what to do under the lock. ok is false while the replica is not whole.
func (k *Elector) planStep() (step leadershipStep, ok bool) {
	now := k.node.Now()
	state := k.guard.Lock()
	defer k.guard.Unlock()
	if !state.Cache.Loaded {
		return step, false
	}
	state.Agents.DropLostLeaderships()
	step.sharersChanged = state.Leadership.Rates().Update(now)
	step.sharers = state.Leadership.Rates().ControllerCount()
	leave, probes := state.DirectCommands.CheckWorkerContact(now)
	step.probes = probes
	step.registration = state.Leadership.Registration()
	step.changes = state.Leadership.Planner().Plan(now, leave)
	return step, true
}

// acquisition is the transaction that acquires a shard, and what begins with it.
type acquisition struct {
	txn      *statecache.Transaction
	acquired agent.AcquiredShard
}

// AcquireShard acquires a shard: its leader's key under our lease, and a term above all
// that were ever given out, which is the shard's fencing token. leaderVersion is the version of
// the leader's key, or 0, that the decision rests on.
func (k *Elector) AcquireShard(ctx context.Context, shard string, leaderVersion uint64) {
	state := k.guard.Lock()
	if state.Cache.Leaders[shard].Version != leaderVersion {
		// Somebody acquired it since: with the newer version the precondition would hold,
		// and the shard be taken from a living leader.
		k.guard.Unlock()
		return
	}
	prepared := k.prepareAcquisition(state, shard)
	k.guard.Unlock()
	done, _, err := k.sync.Commit(ctx, commitShard, prepared.txn, store.PriorityLease)
	if !done {
		k.node.Log.Debug("shard not acquired", logkey.Shard(shard), logkey.Err(err))
		if err == nil {
			// Overtaken, by another's acquisition that raised the term as a rule: after
			// the end of all they come at once, and leases run meanwhile.
			k.sync.NotifyLeaderlessShard()
		}
		return
	}
	state = k.guard.Lock()
	var fences []*agent.DirectCommand
	if state.Agents.BeginLeadership(prepared.acquired) {
		fences = state.DirectCommands.PrepareShardFences(shard)
	}
	k.guard.Unlock()
	k.commands.SendAll(ctx, fences)
}

// prepareAcquisition puts together the transaction that acquires a shard.
func (k *Elector) prepareAcquisition(state *state.State, name string) acquisition {
	me := k.node.Settings.HostName
	leader, hadLeader := state.Cache.Leaders[name]
	capacity := state.Cache.Capacities[name]
	term := state.Cache.HighestTerm + 1
	clean := stoppedAnswering(capacity.Record, me)
	txn := statecache.NewTransaction()
	txn.Require(statecache.LeaderKey(name), leader.Version)
	txn.Require(statecache.TermKey, state.Cache.Versions[statecache.TermKey])
	txn.Require(statecache.CapacityKey(name), capacity.Version)
	txn.Put(statecache.TermKey, term)
	leaderRecord := shard.LeaderRecord{Node: me, Incarnation: k.node.Incarnation, Term: term}
	txn.PutWithLease(statecache.LeaderKey(name), leaderRecord, state.Leadership.LeaseID())
	txn.Put(statecache.CapacityKey(name), shard.CapacityRecord{
		Term:                 term,
		Leader:               me,
		PredecessorMayAnswer: !clean,
		Free:                 shard.FreeCapacity{},
		QuotaUse:             state.Capacity.QuotaUseOf(name),
	})
	return acquisition{
		txn:      txn,
		acquired: agent.AcquiredShard{Shard: name, Term: term, PredecessorsStopped: clean, HadLeader: hadLeader},
	}
}

// stoppedAnswering reports whether all earlier leaders of a shard have surely stopped answering
// its workers, as its capacity record tells. It guards against a new leader that counts a
// worker's lease as over while an earlier one still renews it.
//
// An earlier life of this process has ended, and a leader that released the shard
// has stopped answering; any other may go on for its grace. So may one before
// those, if they did not live to see its grace out: the doubt stays with the
// record, or a quick restart of ours would drop it.
func stoppedAnswering(capacity *shard.CapacityRecord, me string) bool {
	if capacity == nil {
		return true // it was never led
	}
	return (capacity.Leader == me || capacity.Released) && !capacity.PredecessorMayAnswer
}

// releaseShard releases a shard to its home controller in an orderly way: answers
// stop first, then the release is committed.
func (k *Elector) releaseShard(ctx context.Context, shard string) {
	state := k.guard.Lock()
	released, txn := prepareRelease(state, shard)
	k.guard.Unlock()
	if released == nil {
		return
	}
	done, _, err := k.sync.Commit(ctx, commitShard, txn, store.PriorityLease)
	state = k.guard.Lock()
	defer k.guard.Unlock()
	if done {
		k.node.Log.Info("shard released", logkey.Shard(shard), logkey.Term(released.Term))
		state.Agents.DropLeadership(shard)
		return
	}
	// In doubt it stays unanswered until the replica shows who leads it.
	if !errors.Is(err, store.ErrUnknown) {
		released.CancelRelease()
	}
}

// prepareRelease stops the answers to a shard's workers and puts together the transaction that
// releases the shard. It returns nil if there is nothing to release.
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
