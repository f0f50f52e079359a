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

// Controller is one controller of the service. New creates one.
type Controller struct {
	node     *node.Info
	guard    *state.Guard
	services *external.Services
	http     *transport.Client // shared by the clients of all services

	sync      *storesync.Sync
	commands  *commands.Sender
	election  *election.Elector
	members   *membership.Membership
	frontend  *frontend.Frontend
	decisions *decisions.Loop
	scaling   *scaling.Loop

	server     *transport.Server // serves users and workers
	peerServer *transport.Server // serves the peers
}

// Shares of the sockets that a controller may open, for its two servers. The remaining sockets
// are for its own connections to the external systems and to workers.
const (
	serverSocketsNumerator, serverSocketsDenominator = 5, 8
	peerSocketsDenominator                           = 16
)

// idleTimeoutLeases is the time after which a server closes an idle connection, as a multiple of
// the worker lease.
const idleTimeoutLeases = 2

// cloudTimeout is the time limit of a request to the cloud.
const cloudTimeout = 3 * time.Second

// New creates a controller with the clients of its external systems and its servers. Nothing
// runs until Run is called.
func New(settings *config.Settings, policy *config.Policy, enabledFeatures *features.Features, log *slog.Logger) (*Controller, error) {
	client, err := transport.NewClient(responseLimits(settings))
	if err != nil {
		return nil, fmt.Errorf("creating the HTTP client: %w", err)
	}
	c := newController(settings, policy, log)
	c.node.Features = enabledFeatures
	c.http = client
	c.addServices(client)
	c.addServers()
	return c, nil
}

// responseLimits returns the size limits of a response from an external system: its body may use
// a sixteenth of the controller's memory, or 1 MiB if that is more. Only the response to a watch
// that has missed many changes can be larger. A controller that has missed that many reads all
// records again, in pages.
func responseLimits(settings *config.Settings) httpwire.Limits {
	const memoryDivisor, minBytes = 16, 1 << 20
	limits := httpwire.ResponseLimits
	limits.BodyBytes = max(minBytes, int(settings.Facts.Limits.MemoryMB*(1<<20)/memoryDivisor))
	return limits
}

// addServices creates the clients of the external systems.
func (c *Controller) addServices(client *transport.Client) {
	settings := c.node.Settings
	current, lowest := settings.Facts.State, settings.LowestLimits()
	c.services.Store = store.NewClient(store.Options{
		HTTP:            client,
		Addr:            settings.External.State,
		Timeout:         settings.ControllerLeaseTTL() / 3,
		Limits:          store.Limits{RPS: current.RPS, WriteRPS: current.WriteRPS},
		AnnouncedLimits: store.Limits{RPS: lowest.RPS, WriteRPS: lowest.WriteRPS},
		ControllerCount: settings.Facts.ControllerCount,
		OnResponse:      c.sync.RecordStoreResponse,
	})
	cloudRPS := settings.Facts.Cloud.RPS / float64(settings.Facts.ControllerCount)
	c.services.Cloud = cloud.NewClient(client, settings.External.Cloud, cloudTimeout, cloudRPS)
	c.services.Workers = worker.NewClient(client, min(settings.HeartbeatInterval(), agent.HeartbeatTimeout/2))
	c.services.Peers = peer.NewClient(client)
}

// addServers creates the server for users and workers, and the server for peers.
func (c *Controller) addServers() {
	settings := c.node.Settings
	sockets, idleTimeout := settings.Facts.Limits.MaxSockets, idleTimeoutLeases*settings.WorkerLease()
	userSockets := sockets * serverSocketsNumerator / serverSocketsDenominator
	c.server = transport.NewServer(c.frontend.Handle, httpwire.RequestLimits, userSockets, idleTimeout)
	peerLimits := httpwire.RequestLimits
	peerLimits.BodyBytes *= 2 // a peer's message contains a whole submission and a few other fields
	c.peerServer = transport.NewServer(c.frontend.HandlePeer, peerLimits, sockets/peerSocketsDenominator, idleTimeout)
}

// newController creates a controller without the clients of its external systems and without its
// servers.
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

// writeBudget is the number of writes that the controller may send to the state service now.
type writeBudget struct{ services *external.Services }

// Available implements schema.WriteBudget. It does not block.
func (b writeBudget) Available() int {
	return b.services.Store.AwaitWriteBudget(context.Background(), 0, store.PriorityDecision)
}

// Run serves until ctx is done, and then shuts down in order: it stops the loops first, then
// revokes the lease, so that other controllers take over its shards at once, and then stops the
// servers. It returns an error if a server fails, for instance because it can't listen on its
// address, or if the shutdown fails.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	serverErrors := make(chan error, 2) // one for each server
	go func() { serverErrors <- c.server.Run(c.node.Settings.ServeOn) }()
	go func() { serverErrors <- c.peerServer.Run(c.node.Settings.ClusterListen) }()
	var loops sync.WaitGroup
	for _, loop := range c.loops() {
		loops.Go(func() { loop(ctx) })
	}
	select {
	case err := <-serverErrors:
		cancel()
		loops.Wait()
		return fmt.Errorf("serving on %s and %s: %w", c.node.Settings.ServeOn, c.node.Settings.ClusterListen, err)
	case <-ctx.Done():
	}
	c.node.Log.Info("stopping")
	loops.Wait()
	return c.shutDown()
}

// loops returns the functions that Run calls in one goroutine each, besides the servers. Each
// function returns when its context is done.
func (c *Controller) loops() []func(context.Context) {
	return []func(context.Context){
		c.election.LeaseLoop,
		c.watchLoop,
		c.decisions.Run,
		c.decisions.RunGangPlacement,
		c.scaling.Run,
		c.members.PeerLoop,
		c.summaryLoop,
	}
}

// watchLoop keeps the cache up to date, and requests heartbeats from workers whose tasks have
// changed.
func (c *Controller) watchLoop(ctx context.Context) { c.sync.Watch(ctx, c.commands.RequestHeartbeats) }

// stopTimeout is the time limit for stopping the servers. gnet checks only twice a second whether
// a server has stopped.
const stopTimeout = 5 * time.Second

// shutDown revokes the lease, stops the servers and closes the connections.
func (c *Controller) shutDown() error {
	c.election.RevokeLease()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, server := range []*transport.Server{c.server, c.peerServer} {
		if err := server.Stop(ctx); err != nil {
			return fmt.Errorf("stopping a server: %w", err)
		}
	}
	return c.http.Close()
}

// StartLockMeter starts recording the use of the state's lock. Call it before Run.
func (c *Controller) StartLockMeter() { c.guard.StartMeter() }

// LockUses returns the uses of the state's lock, by function, that were recorded since
// StartLockMeter or since the last call of LockUses. The function that held the lock longest in
// total comes first.
func (c *Controller) LockUses() []state.LockUse { return c.guard.LockUses() }
