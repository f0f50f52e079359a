package controller

import (
	"context"

	"violetturn/internal/timing"
)

// watchLoop keeps the replica up to date: the paper's state change callback.
func (c *Controller) watchLoop(ctx context.Context) {
	pause := c.node.Settings.DecisionInterval()
	for ctx.Err() == nil {
		state := c.guard.Lock()
		loaded, since := state.Cache.Loaded, state.Cache.Revision
		c.guard.Unlock()
		if !loaded {
			if err := c.sync.Load(ctx); err != nil {
				c.node.Log.Debug("replica not loaded", "err", err)
				timing.Sleep(ctx, c.node.Settings.ControllerLeaseTTL()/8)
			}
			continue
		}
		err := c.sync.ApplyChanges(ctx, since, c.node.Settings.WorkerLease()/2)
		if err != nil {
			timing.Sleep(ctx, c.node.Settings.ControllerLeaseTTL()/8)
			continue
		}
		c.commands.RequestHeartbeats(ctx)
		timing.Sleep(ctx, pause)
	}
}
