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
	"violetturn/internal/timing"
)

// Sync keeps the cache up to date with the state service and commits transactions. Create it with
// New. Its methods may be called from any goroutine.
type Sync struct {
	node            *node.Info
	guard           *state.Guard
	services        *external.Services
	wake            notify.Signal
	leaderlessShard notify.Signal
	barriers        readBarriers
}

// New returns a Sync that notifies wake when the cache has changed.
func New(info *node.Info, guard *state.Guard, services *external.Services, wake notify.Signal) *Sync {
	return &Sync{node: info, guard: guard, services: services, wake: wake, leaderlessShard: notify.NewSignal()}
}

// LeaderlessShardSignal returns the signal that a shard may have no leader. Its receiver checks
// immediately, instead of with the next lease renewal, whether to acquire the shard.
func (s *Sync) LeaderlessShardSignal() notify.Signal { return s.leaderlessShard }

// NotifyLeaderlessShard notifies the signal that LeaderlessShardSignal returns.
func (s *Sync) NotifyLeaderlessShard() { s.leaderlessShard.Notify() }

// minWritesPerSecond is the lower bound of WritesPerSecond, however small the controller's share is.
const minWritesPerSecond = 2

// WritesPerSecond returns this controller's share of the writes per second that the state service
// accepts.
func (s *Sync) WritesPerSecond() int {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	share := s.node.Settings.LowestLimits().WriteRPS / float64(state.Leadership.Rates().ControllerCount())
	return max(minWritesPerSecond, int(share))
}

// MayActNow reports whether this controller may now commit transactions for the shards that it
// leads.
func (s *Sync) MayActNow() bool {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	return state.Leadership.MayAct(s.node.Now())
}

// Watch keeps the cache up to date until ctx is done. After each successful read of changes it calls
// changed, which corresponds to the state change callback of the paper
// (see internal/scheduler).
func (s *Sync) Watch(ctx context.Context, changed func(context.Context)) {
	for ctx.Err() == nil {
		s.watchOnce(ctx, changed)
	}
}

// retriesPerLease is how often a failed read is retried during the TTL of a controller's lease.
const retriesPerLease = 8

// watchOnce loads the cache if it is not loaded, and otherwise waits for changes and applies them.
func (s *Sync) watchOnce(ctx context.Context, changed func(context.Context)) {
	retryDelay := s.node.Settings.ControllerLeaseTTL() / retriesPerLease
	loaded, since := s.progress()
	if !loaded {
		if err := s.Load(ctx); err != nil {
			s.node.Log.Debug("replica not loaded", "err", err)
			timing.Sleep(ctx, retryDelay)
		}
		return
	}
	if err := s.ApplyChanges(ctx, since, s.node.Settings.WorkerLease()/2); err != nil {
		timing.Sleep(ctx, retryDelay)
		return
	}
	changed(ctx)
	timing.Sleep(ctx, s.node.Settings.DecisionInterval())
}

// progress returns whether the cache is loaded, and the revision up to which it has all changes.
func (s *Sync) progress() (loaded bool, revision uint64) {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	return state.Cache.Loaded, state.Cache.Revision
}

// Load reads all live records into the cache.
func (s *Sync) Load(ctx context.Context) error {
	requestedAt := s.node.Now()
	items, revision, err := s.services.Store.List(ctx, statecache.LivePrefix)
	if err != nil {
		return err
	}
	state := s.guard.Lock()
	state.Cache.Reload(items, revision, requestedAt)
	s.guard.Unlock()
	s.node.Log.Info("replica loaded", "keys", len(items), "revision", revision)
	s.wake.Notify()
	s.NotifyLeaderlessShard() // after a restart, this controller's shards must be acquired before the workers' leases expire
	return nil
}

// ApplyChanges reads the changes after a revision and applies them to the cache. If there are none,
// it waits for some, up to maxWait. If the state service no longer has all of these changes, it marks
// the cache as not loaded and returns store.ErrChangesUnavailable.
func (s *Sync) ApplyChanges(ctx context.Context, since uint64, maxWait time.Duration) error {
	requestedAt := s.node.Now()
	changes, revision, err := s.services.Store.Changes(ctx, statecache.LivePrefix, since, maxWait)
	if errors.Is(err, store.ErrChangesUnavailable) {
		state := s.guard.Lock()
		state.Cache.MarkNotLoaded()
		s.guard.Unlock()
		return err
	}
	if err != nil {
		return err
	}
	state := s.guard.Lock()
	state.Cache.ApplyChanges(changes, revision, requestedAt)
	leaderless := s.hasLeaderlessShard(state)
	s.guard.Unlock()
	if len(changes) > 0 {
		s.wake.Notify()
	}
	if leaderless {
		s.NotifyLeaderlessShard()
	}
	return nil
}

// hasLeaderlessShard reports whether some shard has no leader.
func (s *Sync) hasLeaderlessShard(state *state.State) bool {
	for _, name := range s.node.Shards {
		if state.Cache.Leaders[name].Record == nil {
			return true
		}
	}
	return false
}

// RefreshCache applies all changes up to now before a decision. Unlike AwaitReadBarrier it does not
// share its read with other callers. It returns store.ErrRefused if the cache is not loaded.
func (s *Sync) RefreshCache(ctx context.Context) error {
	loaded, since := s.progress()
	if !loaded {
		return store.ErrRefused
	}
	return s.ApplyChanges(ctx, since, 0)
}
