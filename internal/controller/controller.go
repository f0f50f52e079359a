// Package controller joins the shards of the service. It owns the locks; no
// lock is held across I/O.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"runtime"
	"slices"
	"sync"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/cloud"
	"violetturn/internal/commands"
	"violetturn/internal/config"
	"violetturn/internal/decisions"
	"violetturn/internal/election"
	"violetturn/internal/external"
	"violetturn/internal/features"
	"violetturn/internal/frontend"
	"violetturn/internal/httpwire"
	"violetturn/internal/membership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/peer"
	"violetturn/internal/scaling"
	"violetturn/internal/state"
	"violetturn/internal/store"
	"violetturn/internal/storesync"
	"violetturn/internal/timing"
	"violetturn/internal/transport"
	"violetturn/internal/worker"
)

// Controller is one node of the service.
type Controller struct {
	node     *node.Info
	guard    *state.Guard
	services *external.Services
	http     *transport.Client

	sync      *storesync.Sync
	commands  *commands.Sender
	election  *election.Keeper
	members   *membership.Membership
	frontend  *frontend.Frontend
	decisions *decisions.Loop
	scaling   *scaling.Loop

	server  *transport.Server // for users and workers
	cluster *transport.Server // for the peers
}

// New makes a controller.
func New(cfg *config.Settings, policy *config.Policy, on *features.Features, log *slog.Logger) (*Controller, error) {
	h, err := transport.NewClient(responseLimits(cfg))
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	n := float64(cfg.Facts.Size)
	c := newController(cfg, policy, log)
	c.node.Features = on
	c.http = h
	low := cfg.LowestLimits()
	c.services.Store = store.New(store.Options{
		HTTP:        h,
		Addr:        cfg.External.State,
		Deadline:    cfg.ControllerLeaseTTL() / 3,
		Limits:      store.Limits{RPS: cfg.Facts.State.RPS, WriteRPS: cfg.Facts.State.WriteRPS},
		Next:        store.Limits{RPS: low.RPS, WriteRPS: low.WriteRPS},
		Controllers: cfg.Facts.Size,
		OnAnswer:    c.sync.NoteStoreAnswer,
	})
	c.services.Cloud = cloud.New(h, cfg.External.Cloud, 3*time.Second, cfg.Facts.Cloud.RPS/n)
	c.services.Workers = worker.New(h, min(cfg.HeartbeatInterval(), agent.HeartbeatTimeout/2))
	c.services.Peers = peer.New(h)
	c.server = transport.NewServer(c.frontend.Handle, httpwire.RequestLimits, cfg.Facts.Limits.MaxSockets*5/8, 2*cfg.WorkerLease())
	// A peer's message holds a whole submission and a little more.
	lim := httpwire.RequestLimits
	lim.Body *= 2
	c.cluster = transport.NewServer(c.frontend.HandlePeer, lim, cfg.Facts.Limits.MaxSockets/16, 2*cfg.WorkerLease())
	return c, nil
}

// responseLimits bounds what an answer of an outside system may make a controller hold: a
// sixteenth of its memory. Only a watch that missed much can be larger, and whoever missed
// so much reads all records anew, in pages.
func responseLimits(cfg *config.Settings) httpwire.Limits {
	limits := httpwire.ResponseLimits
	limits.Body = max(1<<20, int(cfg.Facts.Limits.MemoryMB*(1<<20)/16))
	return limits
}

// newController makes a controller without its outside systems.
func newController(settings *config.Settings, policy *config.Policy, log *slog.Logger) *Controller {
	info := node.New(settings, policy, log)
	services := &external.Services{}
	wake, gangAccepted := notify.NewSignal(), notify.NewSignal()
	guard := state.NewGuard(state.New(info, wake, writeBudget{services}))
	c := &Controller{node: info, guard: guard, services: services}
	c.sync = storesync.New(info, guard, services, wake)
	c.commands = commands.NewSender(info, guard, services)
	c.election = election.NewKeeper(info, guard, services, c.sync, c.commands)
	c.members = membership.New(info, guard, services)
	c.frontend = frontend.New(frontend.Deps{
		Node: info, Guard: guard, Services: services, Sync: c.sync, Members: c.members, Wake: wake, GangAccepted: gangAccepted,
	})
	c.decisions = decisions.New(decisions.Deps{
		Node: info, Guard: guard, Services: services, Sync: c.sync, Commands: c.commands, Wake: wake, GangAccepted: gangAccepted,
	})
	c.scaling = scaling.New(scaling.Deps{
		Node: info, Guard: guard, Services: services, Commands: c.commands, Decisions: c.decisions, Wake: wake,
	})
	return c
}

// writeBudget is the budget of changes of a controller's state service.
type writeBudget struct{ services *external.Services }

// Available returns how many changes may be sent now.
func (b writeBudget) Available() int {
	return b.services.Store.AwaitWrites(context.Background(), 0, store.PriorityDecision)
}

// Run serves until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	failed := make(chan error, 2)
	go func() { failed <- c.server.Run(c.node.Settings.ServeOn) }()
	go func() { failed <- c.cluster.Run(c.node.Settings.ClusterListen) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){c.election.LeaseLoop, c.watchLoop, c.decisions.DecideLoop, c.decisions.GangLoop, c.scaling.AutoscaleLoop, c.members.PeerLoop, c.summaryLoop} {
		wg.Go(func() { f(ctx) })
	}
	select {
	case err := <-failed:
		cancel()
		wg.Wait()
		return fmt.Errorf("serving on %s and %s: %w", c.node.Settings.ServeOn, c.node.Settings.ClusterListen, err)
	case <-ctx.Done():
	}
	c.node.Log.Info("stopping")
	wg.Wait()
	c.election.RevokeLease()
	stop, done := context.WithTimeout(context.Background(), 5*time.Second) // gnet looks twice a second whether it has ended
	defer done()
	for _, s := range []*transport.Server{c.server, c.cluster} {
		if err := s.Stop(stop); err != nil {
			return fmt.Errorf("stopping a server: %w", err)
		}
	}
	return c.http.Close()
}

// summaryLoop logs from time to time what this node uses and holds.
func (c *Controller) summaryLoop(ctx context.Context) {
	every := 4 * c.node.Settings.WorkerLease()
	var reqs, writes float64
	for timing.Sleep(ctx, every) {
		r, w := c.services.Store.Used()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		state := c.guard.Lock()
		c.node.Log.Info(
			"summary", "store_rps", math.Round((r-reqs)/every.Seconds()*10)/10,
			"write_rps", math.Round((w-writes)/every.Seconds()*10)/10,
			"jobs", len(state.Cache.Jobs), "hosts", len(state.Cache.Machines), "shards", len(state.Leadership.KnownShards()), "heap_kb", mem.HeapAlloc>>10,
		)
		for _, what := range slices.Sorted(maps.Keys(state.Stats.Commits)) {
			n := state.Stats.Commits[what]
			c.node.Log.Info(
				"commits", "for", what, "transactions", n.Transactions, "changes", n.Writes, "conflicts", n.Conflicts,
				"conflicted_changes", n.ConflictedWrites, "failed", n.Failed,
			)
		}
		clear(state.Stats.Commits)
		state.Scheduler.DropFinishedJobs()
		for uid := range state.Agents.RunningGangs {
			if state.Cache.Jobs[uid] == nil {
				delete(state.Agents.RunningGangs, uid)
			}
		}
		c.guard.Unlock()
		reqs, writes = r, w
	}
}

// MeterLock records from now on how the state's lock is used. It is called before Run.
func (c *Controller) MeterLock() { c.guard.StartMeter() }

// LockUses returns what was recorded since MeterLock or the last call, by function, the
// longest in all first.
func (c *Controller) LockUses() []state.LockUse { return c.guard.LockUses() }
