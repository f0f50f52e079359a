package storesync

import (
	"context"
	"errors"
	"time"

	"violetturn/internal/external"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// Sync keeps the cache in step with the state service and commits transactions.
type Sync struct {
	node     *node.Info
	guard    *state.Guard
	services *external.Services
	wake     notify.Signal

	LeaderlessShard notify.Signal // a shard has no leader
	barriers        readBarriers
}

func New(info *node.Info, guard *state.Guard, services *external.Services, wake notify.Signal) *Sync {
	return &Sync{node: info, guard: guard, services: services, wake: wake, LeaderlessShard: notify.NewSignal()}
}

// WritesPerSecond is this controller's share of the changes of a second.
func (y *Sync) WritesPerSecond() int {
	state := y.guard.Lock()
	defer y.guard.Unlock()
	return max(2, int(y.node.Settings.LowestLimits().WriteRPS/float64(state.Leadership.RateSharers())))
}

func (y *Sync) MayActNow() bool {
	state := y.guard.Lock()
	defer y.guard.Unlock()
	return state.Leadership.MayAct(y.node.Now())
}

// Load reads all that lives.
func (y *Sync) Load(ctx context.Context) error {
	sent := y.node.Now()
	items, revision, err := y.services.Store.List(ctx, statecache.LivePrefix)
	if err != nil {
		return err
	}
	state := y.guard.Lock()
	state.Cache.Reload(items, revision, sent)
	y.guard.Unlock()
	y.node.Log.Info("replica loaded", "keys", len(items), "revision", revision)
	y.wake.Notify()
	y.WakeLeaseLoop() // after a restart ours wait to be taken, and leases run
	return nil
}

// ApplyChanges applies the changes after a revision; it waits up to block for some.
func (y *Sync) ApplyChanges(ctx context.Context, since uint64, block time.Duration) error {
	sent := y.node.Now()
	log, revision, err := y.services.Store.Changes(ctx, statecache.LivePrefix, since, block)
	if errors.Is(err, store.ErrTooOld) {
		state := y.guard.Lock()
		state.Cache.Unload()
		y.guard.Unlock()
		return err
	}
	if err != nil {
		return err
	}
	state := y.guard.Lock()
	state.Cache.ApplyChanges(log, revision, sent)
	orphan := false
	for _, p := range y.node.Shards {
		orphan = orphan || state.Cache.Leaders[p].Record == nil
	}
	y.guard.Unlock()
	if len(log) > 0 {
		y.wake.Notify()
	}
	if orphan {
		y.WakeLeaseLoop()
	}
	return nil
}

// WakeLeaseLoop has the shards tended now, not with the next renewal of the lease.
func (y *Sync) WakeLeaseLoop() {
	select {
	case y.LeaderlessShard <- struct{}{}:
	default:
	}
}

// ReadNewest brings the replica up to now for a decision, which need not share its
// read with users.
func (y *Sync) ReadNewest(ctx context.Context) error {
	state := y.guard.Lock()
	loaded, since := state.Cache.Loaded, state.Cache.Revision
	y.guard.Unlock()
	if !loaded {
		return store.ErrRefused
	}
	return y.ApplyChanges(ctx, since, 0)
}
