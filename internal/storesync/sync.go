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

// Sync keeps the cache in step with the state service and commits transactions. Use New. Its
// methods may be called from any goroutine.
type Sync struct {
	node       *node.Info
	guard      *state.Guard
	services   *external.Services
	wake       notify.Signal
	leaderless notify.Signal
	barriers   readBarriers
}

// New makes a Sync. It gives wake when the cache has changed.
func New(info *node.Info, guard *state.Guard, services *external.Services, wake notify.Signal) *Sync {
	return &Sync{node: info, guard: guard, services: services, wake: wake, leaderless: notify.NewSignal()}
}

// LeaderlessShardSignal returns the signal that a shard may have no leader: it is to be looked at
// now, not with the next renewal of the lease.
func (s *Sync) LeaderlessShardSignal() notify.Signal { return s.leaderless }

// NotifyLeaderlessShard gives the signal of LeaderlessShardSignal.
func (s *Sync) NotifyLeaderlessShard() { s.leaderless.Notify() }

// minWritesPerSecond is what a controller counts with however small its share is.
const minWritesPerSecond = 2

// WritesPerSecond returns this controller's share of the changes of a second.
func (s *Sync) WritesPerSecond() int {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	share := s.node.Settings.LowestLimits().WriteRPS / float64(state.Leadership.Rates().ControllerCount())
	return max(minWritesPerSecond, int(share))
}

// MayActNow reports whether this controller may commit for the shards that it leads.
func (s *Sync) MayActNow() bool {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	return state.Leadership.MayAct(s.node.Now())
}

// Watch keeps the cache in step until ctx ends: the paper's state change callback. It calls
// changed after each round of changes.
func (s *Sync) Watch(ctx context.Context, changed func(context.Context)) {
	for ctx.Err() == nil {
		s.watchOnce(ctx, changed)
	}
}

// retriesPerLease is into how many parts of a controller's lease failed reads are spaced.
const retriesPerLease = 8

// watchOnce loads the cache if it is not loaded, or else waits for changes and applies them.
func (s *Sync) watchOnce(ctx context.Context, changed func(context.Context)) {
	retry := s.node.Settings.ControllerLeaseTTL() / retriesPerLease
	loaded, since := s.progress()
	if !loaded {
		if err := s.Load(ctx); err != nil {
			s.node.Log.Debug("replica not loaded", "err", err)
			timing.Sleep(ctx, retry)
		}
		return
	}
	if err := s.ApplyChanges(ctx, since, s.node.Settings.WorkerLease()/2); err != nil {
		timing.Sleep(ctx, retry)
		return
	}
	changed(ctx)
	timing.Sleep(ctx, s.node.Settings.DecisionInterval())
}

// progress returns whether the cache is loaded and up to which revision it has all changes.
func (s *Sync) progress() (loaded bool, revision uint64) {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	return state.Cache.Loaded, state.Cache.Revision
}

// Load reads all live records.
func (s *Sync) Load(ctx context.Context) error {
	sent := s.node.Now()
	items, revision, err := s.services.Store.List(ctx, statecache.LivePrefix)
	if err != nil {
		return err
	}
	state := s.guard.Lock()
	state.Cache.Reload(items, revision, sent)
	s.guard.Unlock()
	s.node.Log.Info("replica loaded", "keys", len(items), "revision", revision)
	s.wake.Notify()
	s.NotifyLeaderlessShard() // after a restart ours wait to be acquired, and workers' leases run
	return nil
}

// ApplyChanges takes in the changes after a revision; it waits up to block for some.
func (s *Sync) ApplyChanges(ctx context.Context, since uint64, block time.Duration) error {
	sent := s.node.Now()
	changes, revision, err := s.services.Store.Changes(ctx, statecache.LivePrefix, since, block)
	if errors.Is(err, store.ErrTooOld) {
		state := s.guard.Lock()
		state.Cache.MarkNotLoaded()
		s.guard.Unlock()
		return err
	}
	if err != nil {
		return err
	}
	state := s.guard.Lock()
	state.Cache.ApplyChanges(changes, revision, sent)
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

// RefreshCache brings the cache up to now for a decision, which need not share its read with
// users. It returns store.ErrRefused if the cache is not loaded.
func (s *Sync) RefreshCache(ctx context.Context) error {
	loaded, since := s.progress()
	if !loaded {
		return store.ErrRefused
	}
	return s.ApplyChanges(ctx, since, 0)
}
