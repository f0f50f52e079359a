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
	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/features"
	"violetturn/internal/httpwire"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/peer"
	"violetturn/internal/sched"
	"violetturn/internal/state"
	"violetturn/internal/store"
	"violetturn/internal/transport"
	"violetturn/internal/worker"
)

// The outside systems, as the controller uses them.
type (
	stateService interface {
		Get(ctx context.Context, key string, r store.Priority) (it store.Item, found bool, err error)
		List(ctx context.Context, prefix string) (items []store.Item, revision uint64, err error)
		Changes(ctx context.Context, prefix string, since uint64, block time.Duration) ([]store.Change, uint64, error)
		Multi(ctx context.Context, t *store.Txn, r store.Priority) (revision uint64, ok bool, failed []string, err error)
		AwaitWrites(ctx context.Context, n int, r store.Priority) int
		SetControllers(controllers int)
		ReserveForGangs(changes float64)
		LowerLimits()
		Used() (requests, writes float64)
		GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
		RenewLease(ctx context.Context, leaseID uint64) error
		RevokeLease(ctx context.Context, leaseID uint64) error
	}
	cloudService interface {
		MachineTypes(ctx context.Context) ([]cloud.MachineType, error)
		Rent(ctx context.Context, r cloud.RentalRequest) ([]string, error)
		Return(ctx context.Context, hosts []string) error
		Page(ctx context.Context, since string) (hosts []cloud.Host, truncated bool, err error)
	}
	workerService interface {
		SendCommands(ctx context.Context, addr string, o api.CommandBatch) (*api.Heartbeat, bool, error)
		Status(ctx context.Context, addr string) (*api.Heartbeat, error)
	}
	peerService interface {
		Ask(ctx context.Context, addr string, r *peer.Request, deadline time.Duration) (*peer.Reply, error)
	}
)

// Controller is one node of the service.
type Controller struct {
	node     *node.Info
	guard    *state.Guard
	services *outsideServices
	http     *transport.Client

	sync      *storeSync
	commands  *commandSender
	election  *leaseKeeper
	members   *peerMembership
	frontend  *requestFrontend
	decisions *decisionLoop
	scaling   *scalingLoop

	server  *transport.Server // for users and workers
	cluster *transport.Server // for the peers
}

// readBarriers is the read of changes under way and the next one.
type readBarriers struct {
	sync.Mutex
	last    time.Time    // when the last read was sent
	next    *readBarrier // those who asked after the read under way was sent
	reading bool
}

// submissionQueue is the submissions to be committed.
type submissionQueue struct {
	sync.Mutex
	queue []*submission
	busy  bool
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
	c.services.store = store.New(
		h, cfg.External.State, cfg.ControllerLeaseTTL()/3,
		store.Limits{RPS: cfg.Facts.State.RPS, WriteRPS: cfg.Facts.State.WriteRPS},
		store.Limits{RPS: low.RPS, WriteRPS: low.WriteRPS}, cfg.Facts.Size, c.sync.noteStoreAnswer,
	)
	c.services.cloud = cloud.New(h, cfg.External.Cloud, 3*time.Second, cfg.Facts.Cloud.RPS/n)
	c.services.workers = worker.New(h, min(cfg.HeartbeatInterval(), agent.HeartbeatTimeout/2))
	c.services.peers = peer.New(h)
	c.server = transport.NewServer(c.frontend.handle, httpwire.RequestLimits, cfg.Facts.Limits.MaxSockets*5/8, 2*cfg.WorkerLease())
	// A peer's message holds a whole submission and a little more.
	lim := httpwire.RequestLimits
	lim.Body *= 2
	c.cluster = transport.NewServer(c.frontend.handlePeer, lim, cfg.Facts.Limits.MaxSockets/16, 2*cfg.WorkerLease())
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
	services := &outsideServices{}
	wake, gangAccepted := notify.NewSignal(), notify.NewSignal()
	guard := state.NewGuard(state.New(info, wake, writeBudget{services}))
	c := &Controller{node: info, guard: guard, services: services}
	c.sync = newStoreSync(info, guard, services, wake)
	c.commands = newCommandSender(info, guard, services)
	c.election = newLeaseKeeper(info, guard, services, c.sync, c.commands)
	c.members = newPeerMembership(info, guard, services)
	c.frontend = newRequestFrontend(frontendDeps{
		node: info, guard: guard, services: services, sync: c.sync, members: c.members, wake: wake, gangAccepted: gangAccepted,
	})
	c.decisions = newDecisionLoop(decisionDeps{
		node: info, guard: guard, services: services, sync: c.sync, commands: c.commands, wake: wake, gangAccepted: gangAccepted,
	})
	c.scaling = newScalingLoop(scalingDeps{
		node: info, guard: guard, services: services, commands: c.commands, decisions: c.decisions, wake: wake,
	})
	return c
}

// outsideServices are the outside systems of a controller.
type outsideServices struct {
	store   stateService
	cloud   cloudService
	workers workerService
	peers   peerService
}

// writeBudget is the budget of changes of a controller's state service.
type writeBudget struct{ services *outsideServices }

// Available returns how many changes may be sent now.
func (b writeBudget) Available() int {
	return b.services.store.AwaitWrites(context.Background(), 0, store.PriorityDecision)
}

// storeSync keeps the cache in step with the state service and commits transactions.
type storeSync struct {
	node     *node.Info
	guard    *state.Guard
	services *outsideServices
	wake     notify.Signal

	leaderlessShard notify.Signal // a shard has no leader
	barriers        readBarriers
}

func newStoreSync(info *node.Info, guard *state.Guard, services *outsideServices, wake notify.Signal) *storeSync {
	return &storeSync{node: info, guard: guard, services: services, wake: wake, leaderlessShard: notify.NewSignal()}
}

// commandSender sends commands directly to workers.
type commandSender struct {
	node     *node.Info
	guard    *state.Guard
	services *outsideServices
}

func newCommandSender(info *node.Info, guard *state.Guard, services *outsideServices) *commandSender {
	return &commandSender{node: info, guard: guard, services: services}
}

// leaseKeeper keeps this controller's lease, and acquires and releases shards.
type leaseKeeper struct {
	node     *node.Info
	guard    *state.Guard
	services *outsideServices
	sync     *storeSync
	commands *commandSender
}

func newLeaseKeeper(
	info *node.Info, guard *state.Guard, services *outsideServices, sync *storeSync, commands *commandSender,
) *leaseKeeper {
	return &leaseKeeper{node: info, guard: guard, services: services, sync: sync, commands: commands}
}

// peerMembership asks peers what they see of the state service and what they have done.
type peerMembership struct {
	node     *node.Info
	guard    *state.Guard
	services *outsideServices
}

func newPeerMembership(info *node.Info, guard *state.Guard, services *outsideServices) *peerMembership {
	return &peerMembership{node: info, guard: guard, services: services}
}

// requestFrontend answers users, workers and peers.
type requestFrontend struct {
	node         *node.Info
	guard        *state.Guard
	services     *outsideServices
	sync         *storeSync
	members      *peerMembership
	wake         notify.Signal
	gangAccepted notify.Signal // a gang has been accepted

	userSlots   chan struct{} // bounds user requests under way
	submissions submissionQueue
}

// maxUserRequests bounds the requests of users that are under way.
const maxUserRequests = 128

// frontendDeps is what a requestFrontend rests on.
type frontendDeps struct {
	node         *node.Info
	guard        *state.Guard
	services     *outsideServices
	sync         *storeSync
	members      *peerMembership
	wake         notify.Signal
	gangAccepted notify.Signal
}

func newRequestFrontend(d frontendDeps) *requestFrontend {
	return &requestFrontend{
		node: d.node, guard: d.guard, services: d.services, sync: d.sync, members: d.members,
		wake: d.wake, gangAccepted: d.gangAccepted, userSlots: make(chan struct{}, maxUserRequests),
	}
}

// decisionLoop commits what jobs and heartbeats call for.
type decisionLoop struct {
	node         *node.Info
	guard        *state.Guard
	services     *outsideServices
	sync         *storeSync
	commands     *commandSender
	wake         notify.Signal // there is something to decide
	gangAccepted notify.Signal // a gang has been accepted
}

// decisionDeps is what a decisionLoop rests on.
type decisionDeps struct {
	node         *node.Info
	guard        *state.Guard
	services     *outsideServices
	sync         *storeSync
	commands     *commandSender
	wake         notify.Signal
	gangAccepted notify.Signal
}

func newDecisionLoop(d decisionDeps) *decisionLoop {
	return &decisionLoop{
		node: d.node, guard: d.guard, services: d.services, sync: d.sync, commands: d.commands,
		wake: d.wake, gangAccepted: d.gangAccepted,
	}
}

// scalingLoop rents, lists and returns machines.
type scalingLoop struct {
	node      *node.Info
	guard     *state.Guard
	services  *outsideServices
	commands  *commandSender
	decisions *decisionLoop
	wake      notify.Signal

	rentals rentalState
}

// scalingDeps is what a scalingLoop rests on.
type scalingDeps struct {
	node      *node.Info
	guard     *state.Guard
	services  *outsideServices
	commands  *commandSender
	decisions *decisionLoop
	wake      notify.Signal
}

func newScalingLoop(d scalingDeps) *scalingLoop {
	return &scalingLoop{
		node: d.node, guard: d.guard, services: d.services, commands: d.commands, decisions: d.decisions, wake: d.wake,
		rentals: rentalState{
			unanswered:   map[sched.Offer]cloud.RentalRequest{},
			unknownSince: map[string]time.Time{},
		},
	}
}

// Run serves until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	failed := make(chan error, 2)
	go func() { failed <- c.server.Run(c.node.Settings.ServeOn) }()
	go func() { failed <- c.cluster.Run(c.node.Settings.ClusterListen) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){c.election.leaseLoop, c.watchLoop, c.decisions.decideLoop, c.decisions.gangLoop, c.scaling.autoscaleLoop, c.members.peerLoop, c.summaryLoop} {
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
	c.election.revokeLease()
	stop, done := context.WithTimeout(context.Background(), 5*time.Second) // gnet looks twice a second whether it has ended
	defer done()
	for _, s := range []*transport.Server{c.server, c.cluster} {
		if err := s.Stop(stop); err != nil {
			return fmt.Errorf("stopping a server: %w", err)
		}
	}
	return c.http.Close()
}

// revokeLease ends the lease in an orderly shutdown, so that others take over at once.
func (k *leaseKeeper) revokeLease() {
	state := k.guard.Lock()
	leaseID := state.Leadership.LeaseID
	state.Leadership.LeaseID, state.Leadership.LeaseValidUntil = 0, time.Time{}
	k.guard.Unlock()
	if leaseID != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := k.services.store.RevokeLease(ctx, leaseID); err != nil {
			k.node.Log.Info("lease not revoked", "err", err)
		}
	}
}

// summaryLoop logs from time to time what this node uses and holds.
func (c *Controller) summaryLoop(ctx context.Context) {
	every := 4 * c.node.Settings.WorkerLease()
	var reqs, writes float64
	for sleep(ctx, every) {
		r, w := c.services.store.Used()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		state := c.guard.Lock()
		c.node.Log.Info(
			"summary", "store_rps", math.Round((r-reqs)/every.Seconds()*10)/10,
			"write_rps", math.Round((w-writes)/every.Seconds()*10)/10,
			"jobs", len(state.Cache.Jobs), "hosts", len(state.Cache.Machines), "shards", len(state.Leadership.ByShard), "heap_kb", mem.HeapAlloc>>10,
		)
		for _, what := range slices.Sorted(maps.Keys(state.Stats.Commits)) {
			n := state.Stats.Commits[what]
			c.node.Log.Info(
				"commits", "for", what, "transactions", n.Transactions, "changes", n.Writes, "conflicts", n.Conflicts,
				"conflicted_changes", n.ConflictedWrites, "failed", n.Failed,
			)
		}
		clear(state.Stats.Commits)
		for uid := range state.Scheduler.ErrorsSeen { // of jobs that are over
			if state.Cache.Jobs[uid] == nil {
				delete(state.Scheduler.ErrorsSeen, uid)
				delete(state.Scheduler.RetryAt, uid)
			}
		}
		for uid := range state.Scheduler.GangStates {
			if state.Cache.Jobs[uid] == nil {
				delete(state.Scheduler.GangStates, uid)
				delete(state.Scheduler.GangsToRelease, uid)
			}
		}
		for uid := range state.Agents.RunningGangs {
			if state.Cache.Jobs[uid] == nil {
				delete(state.Agents.RunningGangs, uid)
			}
		}
		c.guard.Unlock()
		reqs, writes = r, w
	}
}

// sleep waits, or tells that ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// MeterLock records from now on how the state's lock is used. It is called before Run.
func (c *Controller) MeterLock() { c.guard.StartMeter() }

// LockUses returns what was recorded since MeterLock or the last call, by function, the
// longest in all first.
func (c *Controller) LockUses() []state.LockUse { return c.guard.LockUses() }
