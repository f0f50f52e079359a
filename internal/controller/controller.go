// Package controller joins the shards of the service. It owns the locks; no
// lock is held across I/O.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/features"
	"violetturn/internal/httpwire"
	"violetturn/internal/job"
	"violetturn/internal/peer"
	"violetturn/internal/sched"
	"violetturn/internal/shard"
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
	cfg          *config.Settings
	policy       *config.Policy
	features     *features.Features
	log          *slog.Logger
	now          func() time.Time
	runAsync     func(func()) // runs work aside
	steppedClock bool         // time is advanced from outside: nothing may wait for it
	store        stateService
	cloud        cloudService
	workers      workerService
	peers        peerService
	cluster      *transport.Server // for the peers
	http         *transport.Client
	server       *transport.Server
	incarnation  uint64 // this life of the process
	random       *rand.Rand
	shards       []string // all shards, by name of their home controller

	wake                  chan struct{} // the decider has something to do
	gangAccepted          chan struct{} // a gang has been accepted
	leaderlessShard       chan struct{} // a shard has no owner
	fenceSlots            chan struct{} // bounds fences under way
	heartbeatRequestSlots chan struct{} // bounds request for a heartbeat under way: fences of machines that are cut off must not hold them up
	userSlots             chan struct{} // bounds user requests under way

	readBarrier struct {
		sync.Mutex
		last    time.Time    // when the last read was sent
		next    *readBarrier // those who asked after the read under way was sent
		reading bool
	}

	submissions struct { // submissions to be committed
		sync.Mutex
		queue []*submission
		busy  bool
	}

	rentals rentalState

	mu                          stateLock
	replica                     *replica
	loaded                      bool
	reachability                reachability
	acknowledgedUntil           map[string]time.Time // by peer: up to when it has answered for what it did
	leaseID                     uint64
	leaseValidUntil             time.Time // our lease surely lasts until then
	changesReadAt               time.Time // all changes until then are in the replica
	leaderships                 map[string]*leadership
	agents                      map[string]*shard.Agent
	leaderlessSince             map[string]time.Time // shards without a leader, since when
	peerReachableSince          map[string]time.Time // nodes alive, since when seen so
	contact                     workerContact
	rateSharers                 int                  // controllers that share the state service's rates
	peerAbsentSince             map[string]time.Time // those that have not registered, since when
	machineTypes                []cloud.MachineType
	capacityBackoffs            map[string]capacityBackoff
	rentalRequests              int
	finalStates                 map[string]job.FinalState
	finalStateOrder             []string
	unregistered                map[string]shard.Machine // unregistered machines to be recorded
	retryAt                     map[string]time.Time     // jobs that failed, when they are tried again
	errorsSeen                  map[string]int
	listedByCloud               map[string]bool        // machines in the cloud's newest list
	provisioning                map[string]bool        // those that it shows as starting
	heartbeatRequests           map[string]bool        // machines where tasks were placed, or are to leave, since their owner last looked
	commits                     map[string]commitStats // by what they were for, since the last summary
	planningTime                time.Duration          // processor time of plans since the last decision
	deregisteredAt              time.Time              // when machines were last forgotten
	lastPlan                    lastPlan               // for the next round of rentals
	sufficientHeadroom          sufficientHeadroom
	demand                      peerDemand
	zoneView                    zoneView
	scaleInCheckedAt            time.Time // when machines were last judged, whether they are to go back
	migratedAt                  time.Time // when replicas were last moved to save a machine
	limitsLowered               bool      // the state service has refused what was larger than its coming limits
	acceptedTxnOps              int       // changes in a transaction that it took less than announced for; 0: not so
	gangStates                  map[string]*gangState
	runningGangs                map[string]uint64 // by gang, the attempt that was seen running here
	quotaShortages              map[string]bool   // teams whose limit left too little for a placement
	gangsToRelease              map[string]bool   // gangs whose claims are to be released
	splitAt, garbageCollectedAt time.Time
	splitRequests               map[string]int       // jobs with a record that outgrew a value: their generation then, from 1 on
	runtimeBias                 map[string]float64   // by class, run times against estimates
	arrivals                    map[string][]arrival // by class, the recent ones
}

// leadership is a shard that this node owns.
type leadership struct {
	term                    uint64
	version                 uint64    // version of the leader's key
	predecessorAnswersUntil time.Time // latest time at which an earlier leader can have answered
	releasing               bool      // being handed over: nothing is answered
	successor               string    // a peer says that this node has taken it since: nothing is answered
	capacityRecordedAt      time.Time // when its record was last brought up to date by itself
	needsNewTerm            bool      // a worker has seen a higher term: take a new one
}

// commitStats counts transactions for the log's summary.
type commitStats struct{ transactions, writes, conflicts, conflictedWrites, failed int }

type capacityBackoff struct {
	until time.Time
	wait  time.Duration
}

// New makes a controller.
func New(cfg *config.Settings, policy *config.Policy, on *features.Features, log *slog.Logger) (*Controller, error) {
	h, err := transport.NewClient(responseLimits(cfg))
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	n := float64(cfg.Facts.Size)
	c := newController(cfg, policy, log)
	c.features = on
	c.http = h
	low := cfg.LowestLimits()
	c.store = store.New(
		h, cfg.External.State, cfg.ControllerLeaseTTL()/3,
		store.Limits{RPS: cfg.Facts.State.RPS, WriteRPS: cfg.Facts.State.WriteRPS},
		store.Limits{RPS: low.RPS, WriteRPS: low.WriteRPS}, cfg.Facts.Size, c.noteStoreAnswer,
	)
	c.cloud = cloud.New(h, cfg.External.Cloud, 3*time.Second, cfg.Facts.Cloud.RPS/n)
	c.workers = worker.New(h, min(cfg.HeartbeatInterval(), heartbeatTimeout/2))
	c.peers = peer.New(h)
	c.server = transport.NewServer(c.handle, httpwire.RequestLimits, cfg.Facts.Limits.MaxSockets*5/8, 2*cfg.WorkerLease())
	// A peer's message holds a whole submission and a little more.
	lim := httpwire.RequestLimits
	lim.Body *= 2
	c.cluster = transport.NewServer(c.handlePeer, lim, cfg.Facts.Limits.MaxSockets/16, 2*cfg.WorkerLease())
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
func newController(cfg *config.Settings, policy *config.Policy, log *slog.Logger) *Controller {
	c := &Controller{
		cfg:                   cfg,
		policy:                policy,
		features:              features.Default(),
		log:                   log,
		now:                   time.Now,
		runAsync:              func(f func()) { go f() },
		incarnation:           rand.Uint64() >> 12,
		random:                rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:                  make(chan struct{}, 1),
		gangAccepted:          make(chan struct{}, 1),
		leaderlessShard:       make(chan struct{}, 1),
		fenceSlots:            make(chan struct{}, max(8, cfg.Facts.Limits.MaxSockets/16)),
		heartbeatRequestSlots: make(chan struct{}, max(8, cfg.Facts.Limits.MaxSockets/32)),
		userSlots:             make(chan struct{}, 128),
		leaderships:           map[string]*leadership{},
		agents:                map[string]*shard.Agent{},
		leaderlessSince:       map[string]time.Time{},
		peerReachableSince:    map[string]time.Time{},
		rateSharers:           cfg.Facts.Size,
		peerAbsentSince:       map[string]time.Time{},
		capacityBackoffs:      map[string]capacityBackoff{},
		finalStates:           map[string]job.FinalState{},
		unregistered:          map[string]shard.Machine{},
		acknowledgedUntil:     map[string]time.Time{},
		retryAt:               map[string]time.Time{},
		errorsSeen:            map[string]int{},
		heartbeatRequests:     map[string]bool{},
		splitRequests:         map[string]int{},
		quotaShortages:        map[string]bool{},
		gangStates:            map[string]*gangState{},
		runningGangs:          map[string]uint64{},
		gangsToRelease:        map[string]bool{},
		commits:               map[string]commitStats{},
		arrivals:              map[string][]arrival{},
		runtimeBias:           map[string]float64{},
		reachability:          reachability{storeReachable: true, peers: map[string]bool{}},
		rentals:               rentalState{unanswered: map[sched.Offer]cloud.RentalRequest{}, unknownSince: map[string]time.Time{}},
	}
	c.replica = newReplica(log, c.noteArrival, func(host string) { c.heartbeatRequests[host] = true })
	c.replica.onJobEnded = c.rememberFinalState
	c.shards = append(c.shards, cfg.HostName)
	for _, m := range cfg.Members {
		c.shards = append(c.shards, m.HostName)
	}
	slices.Sort(c.shards)
	return c
}

// Run serves until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	failed := make(chan error, 2)
	go func() { failed <- c.server.Run(c.cfg.ServeOn) }()
	go func() { failed <- c.cluster.Run(c.cfg.ClusterListen) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){c.leaseLoop, c.watchLoop, c.decideLoop, c.gangLoop, c.autoscaleLoop, c.peerLoop, c.summaryLoop} {
		wg.Go(func() { f(ctx) })
	}
	select {
	case err := <-failed:
		cancel()
		wg.Wait()
		return fmt.Errorf("serving on %s and %s: %w", c.cfg.ServeOn, c.cfg.ClusterListen, err)
	case <-ctx.Done():
	}
	c.log.Info("stopping")
	wg.Wait()
	c.revokeLease()
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
func (c *Controller) revokeLease() {
	c.mu.Lock()
	leaseID := c.leaseID
	c.leaseID, c.leaseValidUntil = 0, time.Time{}
	c.mu.Unlock()
	if leaseID != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := c.store.RevokeLease(ctx, leaseID); err != nil {
			c.log.Info("lease not revoked", "err", err)
		}
	}
}

func (c *Controller) wakeDecider() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// summaryLoop logs from time to time what this node uses and holds.
func (c *Controller) summaryLoop(ctx context.Context) {
	every := 4 * c.cfg.WorkerLease()
	var reqs, writes float64
	for sleep(ctx, every) {
		r, w := c.store.Used()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		c.mu.Lock()
		c.log.Info(
			"summary", "store_rps", math.Round((r-reqs)/every.Seconds()*10)/10,
			"write_rps", math.Round((w-writes)/every.Seconds()*10)/10,
			"jobs", len(c.replica.jobs), "hosts", len(c.replica.machines), "shards", len(c.leaderships), "heap_kb", mem.HeapAlloc>>10,
		)
		for _, what := range slices.Sorted(maps.Keys(c.commits)) {
			n := c.commits[what]
			c.log.Info(
				"commits", "for", what, "transactions", n.transactions, "changes", n.writes, "conflicts", n.conflicts,
				"conflicted_changes", n.conflictedWrites, "failed", n.failed,
			)
		}
		clear(c.commits)
		for uid := range c.errorsSeen { // of jobs that are over
			if c.replica.jobs[uid] == nil {
				delete(c.errorsSeen, uid)
				delete(c.retryAt, uid)
			}
		}
		for uid := range c.gangStates {
			if c.replica.jobs[uid] == nil {
				delete(c.gangStates, uid)
				delete(c.gangsToRelease, uid)
			}
		}
		for uid := range c.runningGangs {
			if c.replica.jobs[uid] == nil {
				delete(c.runningGangs, uid)
			}
		}
		c.mu.Unlock()
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

// mayAct reports whether this node may launch and commit as a leader. Call with
// the lock held.
func (c *Controller) mayAct(now time.Time) bool { return c.loaded && now.Before(c.leaseValidUntil) }

// leadershipOf returns the shard if this node owns it. Call with the lock held.
func (c *Controller) leadershipOf(p string) *leadership {
	o := c.leaderships[p]
	if o == nil || o.releasing || o.successor != "" || c.replica.leaders[p].version != o.version {
		return nil
	}
	return o
}

// responseBusy answers what can't be taken now.
var responseBusy = transport.Response{Status: 503, Body: []byte(`{"error":"try again"}`), RetryAfter: 1}

func jsonResponse(status int, v any) transport.Response {
	return transport.Response{Status: status, Body: api.JSON(v)}
}
