package election

import (
	"context"
	"errors"
	"time"

	"violetturn/internal/commands"
	"violetturn/internal/external"
	"violetturn/internal/logkey"
	"violetturn/internal/node"
	"violetturn/internal/state"
	"violetturn/internal/store"
	"violetturn/internal/storesync"
	"violetturn/internal/timing"
)

// Intervals of the lease's loop, as parts of the lease's time.
const (
	stepsPerLease   = 4   // steps while the state service answers
	retriesPerLease = 10  // steps while it doesn't
	turnsPerLease   = 32  // pauses before a step for a shard that has become leaderless
	clockMargin     = 256 // part of the lease that is not counted on, as our clock may run slow against the service's
)

// revokeTimeout bounds how long a shutdown waits for the end of the lease.
const revokeTimeout = time.Second

// Elector keeps this controller's lease, and acquires and releases shards. One goroutine uses it;
// what it knows is in the guarded state.
type Elector struct {
	node     *node.Info
	guard    *state.Guard
	services *external.Services
	sync     *storesync.Sync
	commands *commands.Sender
}

// NewElector makes a keeper that has no lease yet.
func NewElector(
	info *node.Info, guard *state.Guard, services *external.Services, sync *storesync.Sync, commands *commands.Sender,
) *Elector {
	return &Elector{node: info, guard: guard, services: services, sync: sync, commands: commands}
}

// LeaseLoop keeps this node's lease and with it the shards that it leads, until ctx is done.
func (k *Elector) LeaseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(k.MaintainLease(ctx))
		select {
		case <-timer.C:
		case <-k.sync.LeaderlessShardSignal(): // its turn may be ours
			timing.Sleep(ctx, k.node.Settings.ControllerLeaseTTL()/turnsPerLease)
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// MaintainLease takes one step: it has the lease granted or renews it, and then acquires and
// releases shards. It returns how long to wait before the next step.
func (k *Elector) MaintainLease(ctx context.Context) time.Duration {
	ttl := k.node.Settings.ControllerLeaseTTL()
	sent := k.node.Now()
	err := k.keepLease(ctx, ttl)
	if errors.Is(err, store.ErrNoLease) {
		return 0
	}
	if err != nil {
		return ttl / retriesPerLease
	}
	if k.extendLease(sent, ttl) { // how long we may answer once we are cut off counts from the last read
		_ = k.sync.RefreshCache(ctx)
	}
	k.maintainLeaderships(ctx)
	return ttl / stepsPerLease
}

// keepLease renews the lease, or has one granted if there is none. It returns store.ErrNoLease if
// the lease was lost.
func (k *Elector) keepLease(ctx context.Context, ttl time.Duration) error {
	state := k.guard.Lock()
	leaseID := state.Leadership.LeaseID()
	k.guard.Unlock()
	if leaseID == 0 {
		return k.grantLease(ctx, ttl)
	}
	err := k.services.Store.RenewLease(ctx, leaseID)
	if errors.Is(err, store.ErrNoLease) {
		k.loseLease(leaseID)
	}
	return err
}

// grantLease has a lease granted. Its errors are never store.ErrNoLease.
func (k *Elector) grantLease(ctx context.Context, ttl time.Duration) error {
	leaseID, err := k.services.Store.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	k.node.Log.Info("lease granted", logkey.Lease(leaseID))
	state := k.guard.Lock()
	state.Leadership.BeginLease(leaseID)
	k.guard.Unlock()
	return nil
}

// loseLease drops all that this node held under a lease that has ended: others may lead its shards
// already.
func (k *Elector) loseLease(leaseID uint64) {
	k.node.Log.Info("lease lost", logkey.Lease(leaseID))
	state := k.guard.Lock()
	state.Leadership.DropExpiredLease()
	state.Agents.DropAll()
	k.guard.Unlock()
}

// extendLease notes that the lease was granted or renewed by a request that was sent at the given
// time. It reports whether the replica is to be brought up to date.
func (k *Elector) extendLease(sent time.Time, ttl time.Duration) (stale bool) {
	state := k.guard.Lock()
	defer k.guard.Unlock()
	state.Leadership.ExtendLease(sent.Add(ttl - ttl/clockMargin))
	return state.Cache.Loaded && sent.Sub(state.Cache.ChangesReadAt) > ttl/stepsPerLease
}

// RevokeLease ends the lease in an orderly shutdown, so that others take over at once.
func (k *Elector) RevokeLease() {
	state := k.guard.Lock()
	leaseID := state.Leadership.ClearLease()
	k.guard.Unlock()
	if leaseID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := k.services.Store.RevokeLease(ctx, leaseID); err != nil {
		k.node.Log.Info("lease not revoked", logkey.Err(err))
	}
}
