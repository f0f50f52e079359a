package election

import (
	"context"
	"errors"
	"time"

	"violetturn/internal/commands"
	"violetturn/internal/external"
	"violetturn/internal/node"
	"violetturn/internal/state"
	"violetturn/internal/store"
	"violetturn/internal/storesync"
	"violetturn/internal/timing"
)

// Keeper keeps this controller's lease, and acquires and releases shards.
type Keeper struct {
	node     *node.Info
	guard    *state.Guard
	services *external.Services
	sync     *storesync.Sync
	commands *commands.Sender
}

func NewKeeper(
	info *node.Info, guard *state.Guard, services *external.Services, sync *storesync.Sync, commands *commands.Sender,
) *Keeper {
	return &Keeper{node: info, guard: guard, services: services, sync: sync, commands: commands}
}

// RevokeLease ends the lease in an orderly shutdown, so that others take over at once.
func (k *Keeper) RevokeLease() {
	state := k.guard.Lock()
	leaseID := state.Leadership.LeaseID
	state.Leadership.LeaseID, state.Leadership.LeaseValidUntil = 0, time.Time{}
	k.guard.Unlock()
	if leaseID != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := k.services.Store.RevokeLease(ctx, leaseID); err != nil {
			k.node.Log.Info("lease not revoked", "err", err)
		}
	}
}

// LeaseLoop keeps this node's lease and with it the shards it owns.
func (k *Keeper) LeaseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		t := time.NewTimer(k.MaintainLease(ctx))
		select {
		case <-t.C:
		case <-k.sync.LeaderlessShard: // its turn may be ours
			timing.Sleep(ctx, k.node.Settings.ControllerLeaseTTL()/32)
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// MaintainLease makes or renews the lease and tends the shards. It tells how long to
// wait before the next step.
func (k *Keeper) MaintainLease(ctx context.Context) time.Duration {
	ttl := k.node.Settings.ControllerLeaseTTL()
	state := k.guard.Lock()
	leaseID := state.Leadership.LeaseID
	k.guard.Unlock()
	sent := k.node.Now()
	var err error
	if leaseID == 0 {
		if leaseID, err = k.services.Store.GrantLease(ctx, ttl); err == nil {
			k.node.Log.Info("lease granted", "lease", leaseID)
			state = k.guard.Lock()
			state.Leadership.LeaseID = leaseID
			k.guard.Unlock()
		}
	} else if err = k.services.Store.RenewLease(ctx, leaseID); errors.Is(err, store.ErrNoLease) {
		k.node.Log.Info("lease lost", "lease", leaseID)
		state = k.guard.Lock()
		state.Leadership.LeaseID, state.Leadership.LeaseValidUntil = 0, time.Time{}
		clear(state.Leadership.ByShard)
		clear(state.Agents.ByHost)
		state.Cache.InvalidateLoads()
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
			_ = k.sync.ReadNewest(ctx)
		}
		k.maintainLeaderships(ctx)
		return ttl / 4
	}
	return ttl / 10
}
