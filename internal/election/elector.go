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

// Intervals of the lease loop, as fractions of the lease time.
const (
	renewalsPerLease         = 4   // interval between renewals while the state service responds
	retriesPerLease          = 10  // interval between attempts while it does not
	leaderlessPausesPerLease = 32  // pause before an early renewal when a shard has become leaderless
	clockMarginDivisor       = 256 // safety margin, since this controller's clock may run slower than the state service's
)

// revokeTimeout limits how long a shutdown waits for the lease to be revoked.
const revokeTimeout = time.Second

// Elector maintains this controller's lease, and acquires and releases shards. Only one goroutine
// uses it. It has no state of its own: the lease and the leaderships are in the guarded state.
type Elector struct {
	node     *node.Info
	guard    *state.Guard
	services *external.Services
	sync     *storesync.Sync
	commands *commands.Sender
}

// NewElector creates an elector that has no lease yet.
func NewElector(
	info *node.Info, guard *state.Guard, services *external.Services, sync *storesync.Sync, commands *commands.Sender,
) *Elector {
	return &Elector{node: info, guard: guard, services: services, sync: sync, commands: commands}
}

// LeaseLoop maintains this controller's lease, and with it the shards that the controller leads,
// until ctx is done.
func (e *Elector) LeaseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(e.MaintainLease(ctx))
		select {
		case <-timer.C:
		case <-e.sync.LeaderlessShardSignal(): // this controller may be the next to acquire the shard
			timing.Sleep(ctx, e.node.Settings.ControllerLeaseTTL()/leaderlessPausesPerLease)
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// MaintainLease requests or renews the lease once, and then acquires and releases shards. It
// returns how long to wait before the next call.
func (e *Elector) MaintainLease(ctx context.Context) time.Duration {
	ttl := e.node.Settings.ControllerLeaseTTL()
	sentAt := e.node.Now()
	err := e.ensureLease(ctx, ttl)
	if errors.Is(err, store.ErrLeaseEnded) {
		return 0
	}
	if err != nil {
		return ttl / retriesPerLease
	}
	if e.extendLease(sentAt, ttl) { // if the state service becomes unreachable, MaxStaleness counts from the last read
		_ = e.sync.RefreshCache(ctx)
	}
	e.maintainLeaderships(ctx)
	return ttl / renewalsPerLease
}

// ensureLease renews the lease, or requests one if there is none. It returns store.ErrLeaseEnded if
// the lease was lost.
func (e *Elector) ensureLease(ctx context.Context, ttl time.Duration) error {
	state := e.guard.Lock()
	leaseID := state.Leadership.LeaseID()
	e.guard.Unlock()
	if leaseID == 0 {
		return e.grantLease(ctx, ttl)
	}
	err := e.services.Store.RenewLease(ctx, leaseID)
	if errors.Is(err, store.ErrLeaseEnded) {
		e.handleLostLease(leaseID)
	}
	return err
}

// grantLease requests a new lease. Its errors are never store.ErrLeaseEnded.
func (e *Elector) grantLease(ctx context.Context, ttl time.Duration) error {
	leaseID, err := e.services.Store.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	e.node.Log.Info("lease granted", logkey.Lease(leaseID))
	state := e.guard.Lock()
	state.Leadership.BeginLease(leaseID)
	e.guard.Unlock()
	return nil
}

// handleLostLease removes all state that this controller held under a lease that has ended, since
// peers may lead its shards already.
func (e *Elector) handleLostLease(leaseID uint64) {
	e.node.Log.Info("lease lost", logkey.Lease(leaseID))
	state := e.guard.Lock()
	state.Leadership.EndLease()
	state.Agents.RemoveAll()
	e.guard.Unlock()
}

// extendLease records that the lease was granted or renewed by a request sent at sentAt. It reports
// whether the cache was last brought up to date so long ago that it should be refreshed.
func (e *Elector) extendLease(sentAt time.Time, ttl time.Duration) (cacheStale bool) {
	state := e.guard.Lock()
	defer e.guard.Unlock()
	state.Leadership.ExtendLease(sentAt.Add(ttl - ttl/clockMarginDivisor))
	return state.Cache.Loaded && sentAt.Sub(state.Cache.ChangesReadAt) > ttl/renewalsPerLease
}

// RevokeLease ends the lease during an orderly shutdown, so that peers take over at
// once.
func (e *Elector) RevokeLease() {
	state := e.guard.Lock()
	leaseID := state.Leadership.ClearLease()
	e.guard.Unlock()
	if leaseID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := e.services.Store.RevokeLease(ctx, leaseID); err != nil {
		e.node.Log.Info("lease not revoked", logkey.Err(err))
	}
}
