package controller

import (
	"context"
	"fmt"
	"log/slog"
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
	"violetturn/internal/transport"
	"violetturn/internal/worker"
)

// Controller is one controller of the service. Use New.
type Controller struct {
	node     *node.Info
	guard    *state.Guard
	services *external.Services
	http     *transport.Client // of the services

	sync      *storesync.Sync
	commands  *commands.Sender
	election  *election.Elector
	members   *membership.Membership
	frontend  *frontend.Frontend
	decisions *decisions.Loop
	scaling   *scaling.Loop

	server  *transport.Server // for users and workers
	cluster *transport.Server // for the peers
}

// Shares of the sockets that a controller may have: what is left is for its own connections
// to the outside systems and to workers.
const (
	serverSocketsNumerator, serverSocketsDenominator = 5, 8
	clusterSocketsDenominator                        = 16
)

// idleLeases is after how many leases of a worker an idle connection is closed.
const idleLeases = 2

// cloudTimeout bounds a request to the cloud.
const cloudTimeout = 3 * time.Second

// New makes a controller with clients of its outside systems and its servers. Nothing runs
// before Run.
func New(settings *config.Settings, policy *config.Policy, on *features.Features, log *slog.Logger) (*Controller, error) {
	client, err := transport.NewClient(responseLimits(settings))
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	c := newController(settings, policy, log)
	c.node.Features = on
	c.http = client
	c.addServices(client)
	c.addServers()
	return c, nil
}

// responseLimits bounds what an answer of an outside system may make a controller hold: a
// sixteenth of its memory. Only a watch that missed much can be larger, and whoever missed
// so much reads all records anew, in pages.
func responseLimits(settings *config.Settings) httpwire.Limits {
	const memoryShare, leastBytes = 16, 1 << 20
	limits := httpwire.ResponseLimits
	limits.BodyBytes = max(leastBytes, int(settings.Facts.Limits.MemoryMB*(1<<20)/memoryShare))
	return limits
}

// addServices adds the clients of the outside systems.
func (c *Controller) addServices(client *transport.Client) {
	settings := c.node.Settings
	now, lowest := settings.Facts.State, settings.LowestLimits()
	c.services.Store = store.NewClient(store.Options{
		HTTP:            client,
		Addr:            settings.External.State,
		Timeout:         settings.ControllerLeaseTTL() / 3,
		Limits:          store.Limits{RPS: now.RPS, WriteRPS: now.WriteRPS},
		AnnouncedLimits: store.Limits{RPS: lowest.RPS, WriteRPS: lowest.WriteRPS},
		ControllerCount: settings.Facts.ControllerCount,
		OnResponse:      c.sync.RecordStoreAnswer,
	})
	cloudRPS := settings.Facts.Cloud.RPS / float64(settings.Facts.ControllerCount)
	c.services.Cloud = cloud.NewClient(client, settings.External.Cloud, cloudTimeout, cloudRPS)
	c.services.Workers = worker.NewClient(client, min(settings.HeartbeatInterval(), agent.HeartbeatTimeout/2))
	c.services.Peers = peer.NewClient(client)
}

// addServers adds the servers for users and workers, and for peers.
func (c *Controller) addServers() {
	settings := c.node.Settings
	sockets, idle := settings.Facts.Limits.MaxSockets, idleLeases*settings.WorkerLease()
	forUsers := sockets * serverSocketsNumerator / serverSocketsDenominator
	c.server = transport.NewServer(c.frontend.Handle, httpwire.RequestLimits, forUsers, idle)
	forPeers := httpwire.RequestLimits
	forPeers.BodyBytes *= 2 // a peer's message holds a whole submission and a little more
	c.cluster = transport.NewServer(c.frontend.HandlePeer, forPeers, sockets/clusterSocketsDenominator, idle)
}

// newController makes a controller without its outside systems and servers.
func newController(settings *config.Settings, policy *config.Policy, log *slog.Logger) *Controller {
	info := node.New(settings, policy, log)
	services := &external.Services{}
	wake, gangAccepted := notify.NewSignal(), notify.NewSignal()
	guard := state.NewGuard(state.New(info, wake, writeBudget{services}))
	c := &Controller{node: info, guard: guard, services: services}
	c.sync = storesync.New(info, guard, services, wake)
	c.commands = commands.NewSender(info, guard, services)
	c.election = election.NewElector(info, guard, services, c.sync, c.commands)
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

// writeBudget is the changes that the controller may send to the state service now.
type writeBudget struct{ services *external.Services }

// Available implements schema.WriteBudget. It does not wait.
func (b writeBudget) Available() int {
	return b.services.Store.AwaitWriteBudget(context.Background(), 0, store.PriorityDecision)
}

// Run serves until ctx ends, and then shuts down in order: loops first, then the lease, so
// that others take over at once, then the servers. It returns an error if an address can't
// be served on.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2) // one for each server
	go func() { failed <- c.server.Run(c.node.Settings.ServeOn) }()
	go func() { failed <- c.cluster.Run(c.node.Settings.ClusterListen) }()
	var loops sync.WaitGroup
	for _, loop := range c.loops() {
		loops.Go(func() { loop(ctx) })
	}
	select {
	case err := <-failed:
		cancel()
		loops.Wait()
		return fmt.Errorf("serving on %s and %s: %w", c.node.Settings.ServeOn, c.node.Settings.ClusterListen, err)
	case <-ctx.Done():
	}
	c.node.Log.Info("stopping")
	loops.Wait()
	return c.shutDown()
}

// loops are the goroutines of a controller besides those of its servers; each ends with its
// context.
func (c *Controller) loops() []func(context.Context) {
	return []func(context.Context){
		c.election.LeaseLoop,
		c.watchLoop,
		c.decisions.Run,
		c.decisions.RunGangPlacement,
		c.scaling.AutoscaleLoop,
		c.members.PeerLoop,
		c.summaryLoop,
	}
}

// watchLoop keeps the cache in step, and has workers whose tasks have changed report.
func (c *Controller) watchLoop(ctx context.Context) { c.sync.Watch(ctx, c.commands.RequestHeartbeats) }

// stopTimeout bounds the end of a server: gnet looks twice a second whether it has ended.
const stopTimeout = 5 * time.Second

// shutDown ends the lease, the servers and the connections.
func (c *Controller) shutDown() error {
	c.election.RevokeLease()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range []*transport.Server{c.server, c.cluster} {
		if err := server.Stop(ctx); err != nil {
			return fmt.Errorf("stopping a server: %w", err)
		}
	}
	return c.http.Close()
}

// StartLockMeter records from now on how the state's lock is used. It is called before Run.
func (c *Controller) StartLockMeter() { c.guard.StartMeter() }

// LockUses returns what was recorded since StartLockMeter or the last call, by function, the
// longest in all first.
func (c *Controller) LockUses() []state.LockUse { return c.guard.LockUses() }
