// Package controller joins the parts of the service. It owns the locks; no
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
		List(ctx context.Context, prefix string) (items []store.Item, epoch uint64, err error)
		Changes(ctx context.Context, prefix string, since uint64, block time.Duration) ([]store.Change, uint64, error)
		Multi(ctx context.Context, t *store.Txn, r store.Priority) (epoch uint64, ok bool, failed []string, err error)
		Ready(ctx context.Context, n int, r store.Priority) int
		Among(controllers int)
		GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
		RenewLease(ctx context.Context, permit uint64) error
		RevokeLease(ctx context.Context, permit uint64) error
	}
	cloudService interface {
		MachineTypes(ctx context.Context) ([]cloud.MachineType, error)
		Rent(ctx context.Context, r cloud.Rental) ([]string, error)
		Return(ctx context.Context, hosts []string) error
		Page(ctx context.Context, since string) (hosts []cloud.Host, truncated bool, err error)
	}
	workerService interface {
		Command(ctx context.Context, addr string, o api.Response) (*api.Report, bool, error)
		Show(ctx context.Context, addr string) (*api.Report, error)
	}
	peerService interface {
		Ask(ctx context.Context, addr string, r *peer.Request, deadline time.Duration) (*peer.Reply, error)
	}
)

// Controller is one node of the service.
type Controller struct {
	cfg         *config.Settings
	policy      *config.Policy
	features    *features.Features
	log         *slog.Logger
	now         func() time.Time
	spawn       func(func()) // runs work aside
	stepped     bool         // time is advanced from outside: nothing may wait for it
	store       stateService
	cloud       cloudService
	workers     workerService
	peers       peerService
	cluster     *transport.Server // for the peers
	http        *transport.Client
	server      *transport.Server
	incarnation uint64 // this life of the process
	rnd         *rand.Rand
	parts       []string // all parts, by name of their home controller

	wake    chan struct{} // the decider has something to do
	newGang chan struct{} // a gang has been accepted
	orphans chan struct{} // a part has no owner
	fencing chan struct{} // bounds fences under way
	nudging chan struct{} // bounds nudges under way: fences of machines that are cut off must not hold them up
	users   chan struct{} // bounds user requests under way

	barrier struct {
		sync.Mutex
		last    time.Time // when the last read was sent
		next    *barrier  // those who asked after the read under way was sent
		reading bool
	}

	submissions struct { // submissions to be committed
		sync.Mutex
		queue []*submission
		busy  bool
	}

	renting renting

	mu                 stateLock
	replica            *replica
	loaded             bool
	reach              reach
	confirmedUntil     map[string]time.Time // by peer: up to when it has answered for what it did
	lease              uint64
	validTil           time.Time // our hold surely lasts until then
	seen               time.Time // all changes until then are in the replica
	mine               map[string]*ownPart
	sessions           map[string]*shard.Session
	absent             map[string]time.Time // parts without an owner, since when
	homeUp             map[string]time.Time // nodes alive, since when seen so
	contact            workerContact
	sharers            int                  // controllers that share the state service's rates
	away               map[string]time.Time // those that have not registered, since when
	machineTypes       []cloud.MachineType
	refused            map[string]refusal
	hires              int
	past               map[string]job.Past
	pastKeys           []string
	adopt              map[string]shard.Machine // strangers to be recorded
	retryAt            map[string]time.Time     // jobs that failed, when they are tried again
	errSeen            map[string]int
	inList             map[string]bool    // machines in the cloud's newest list
	booting            map[string]bool    // those that it shows as starting
	toNudge            map[string]bool    // machines where tasks were placed, or are to leave, since their owner last looked
	commits            map[string]commits // by what they were for, since the last summary
	planned            time.Duration      // processor time of plans since the last decision
	forgotAt           time.Time          // when machines were last forgotten
	recent             recentPlan         // for the next round of rentals
	enough             enoughHeadroom
	demand             peerDemand
	zoneWatch          zoneWatch
	judgedAt           time.Time // when machines were last judged, whether they are to go back
	movedAt            time.Time // when replicas were last moved to save a machine
	limitsLowered      bool      // the state service has refused what was larger than its coming limits
	leastOps           int       // changes in a transaction that it took less than announced for; 0: not so
	gangs              map[string]*gangState
	short              map[string]bool // teams whose limit left too little for a placement
	missed             map[string]bool // gangs whose claims are to be released
	dividedAt, sweptAt time.Time
	narrow             map[string]int       // jobs with a record that outgrew a value: their generation then, from 1 on
	bias               map[string]float64   // by lane, run times against estimates
	arrivals           map[string][]arrival // by lane, the recent ones
}

// ownPart is a part that this node owns.
type ownPart struct {
	term     uint64
	stamp    uint64    // version of the owner's key
	answered time.Time // latest time at which an earlier owner can have answered
	leaving  bool      // being handed over: nothing is answered
	taker    string    // a peer says that this node has taken it since: nothing is answered
	kept     time.Time // when its record was last brought up to date by itself
	bump     bool      // a worker has seen a higher term: take a new one
}

// commits counts transactions for the log's summary.
type commits struct{ txns, writes, overtaken, lost, failed int }

type refusal struct {
	until time.Time
	wait  time.Duration
}

// New makes a controller.
func New(cfg *config.Settings, policy *config.Policy, on *features.Features, log *slog.Logger) (*Controller, error) {
	h, err := transport.NewClient(answerLimits(cfg))
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	n := float64(cfg.Facts.Size)
	c := newController(cfg, policy, log)
	c.features = on
	c.http = h
	low := cfg.Lowest()
	c.store = store.New(
		h, cfg.External.State, cfg.HoldTTL()/3,
		store.Limits{RPS: cfg.Facts.State.RPS, WriteRPS: cfg.Facts.State.WriteRPS},
		store.Limits{RPS: low.RPS, WriteRPS: low.WriteRPS}, cfg.Facts.Size, c.storeAnswered,
	)
	c.cloud = cloud.New(h, cfg.External.Cloud, 3*time.Second, cfg.Facts.Cloud.RPS/n)
	c.workers = worker.New(h, min(cfg.Report(), reportPatience/2))
	c.peers = peer.New(h)
	c.server = transport.NewServer(c.handle, httpwire.RequestLimits, cfg.Facts.Limits.MaxSockets*5/8, 2*cfg.Lease())
	// A peer's message holds a whole submission and a little more.
	lim := httpwire.RequestLimits
	lim.Body *= 2
	c.cluster = transport.NewServer(c.handlePeer, lim, cfg.Facts.Limits.MaxSockets/16, 2*cfg.Lease())
	return c, nil
}

// answerLimits bounds what an answer of an outside system may make a controller hold: a
// sixteenth of its memory. Only a watch that missed much can be larger, and whoever missed
// so much reads all records anew, in pages.
func answerLimits(cfg *config.Settings) httpwire.Limits {
	limits := httpwire.ResponseLimits
	limits.Body = max(1<<20, int(cfg.Facts.Limits.MemoryMB*(1<<20)/16))
	return limits
}

// newController makes a controller without its outside systems.
func newController(cfg *config.Settings, policy *config.Policy, log *slog.Logger) *Controller {
	c := &Controller{
		cfg:            cfg,
		policy:         policy,
		features:       features.Default(),
		log:            log,
		now:            time.Now,
		spawn:          func(f func()) { go f() },
		incarnation:    rand.Uint64() >> 12,
		rnd:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:           make(chan struct{}, 1),
		newGang:        make(chan struct{}, 1),
		orphans:        make(chan struct{}, 1),
		fencing:        make(chan struct{}, max(8, cfg.Facts.Limits.MaxSockets/16)),
		nudging:        make(chan struct{}, max(8, cfg.Facts.Limits.MaxSockets/32)),
		users:          make(chan struct{}, 128),
		mine:           map[string]*ownPart{},
		sessions:       map[string]*shard.Session{},
		absent:         map[string]time.Time{},
		homeUp:         map[string]time.Time{},
		sharers:        cfg.Facts.Size,
		away:           map[string]time.Time{},
		refused:        map[string]refusal{},
		past:           map[string]job.Past{},
		adopt:          map[string]shard.Machine{},
		confirmedUntil: map[string]time.Time{},
		retryAt:        map[string]time.Time{},
		errSeen:        map[string]int{},
		toNudge:        map[string]bool{},
		narrow:         map[string]int{},
		short:          map[string]bool{},
		gangs:          map[string]*gangState{},
		missed:         map[string]bool{},
		commits:        map[string]commits{},
		arrivals:       map[string][]arrival{},
		bias:           map[string]float64{},
		reach:          reach{store: true, peers: map[string]bool{}},
		renting:        renting{inDoubt: map[sched.Offer]cloud.Rental{}, seen: map[string]time.Time{}},
	}
	c.replica = newReplica(log, c.arrived, func(host string) { c.toNudge[host] = true })
	c.replica.onEnd = c.remember
	c.parts = append(c.parts, cfg.HostName)
	for _, m := range cfg.Members {
		c.parts = append(c.parts, m.HostName)
	}
	slices.Sort(c.parts)
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
	for _, f := range []func(context.Context){c.holdLoop, c.watchLoop, c.decideLoop, c.gangLoop, c.cloudLoop, c.peerLoop, c.summaryLoop} {
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
	c.leave()
	stop, done := context.WithTimeout(context.Background(), 5*time.Second) // gnet looks twice a second whether it has ended
	defer done()
	for _, s := range []*transport.Server{c.server, c.cluster} {
		if err := s.Stop(stop); err != nil {
			return fmt.Errorf("stopping a server: %w", err)
		}
	}
	return c.http.Close()
}

// leave ends the hold in an orderly shutdown, so that others take over at once.
func (c *Controller) leave() {
	c.mu.Lock()
	permit := c.lease
	c.lease, c.validTil = 0, time.Time{}
	c.mu.Unlock()
	if permit != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := c.store.RevokeLease(ctx, permit); err != nil {
			c.log.Info("hold not released", "err", err)
		}
	}
}

func (c *Controller) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// summaryLoop logs from time to time what this node uses and holds.
func (c *Controller) summaryLoop(ctx context.Context) {
	every := 4 * c.cfg.Lease()
	var reqs, writes float64
	for sleep(ctx, every) {
		r, w := reqs, writes
		if u, ok := c.store.(interface{ Used() (float64, float64) }); ok {
			r, w = u.Used()
		}
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		c.mu.Lock()
		c.log.Info(
			"summary", "store_rps", math.Round((r-reqs)/every.Seconds()*10)/10,
			"write_rps", math.Round((w-writes)/every.Seconds()*10)/10,
			"jobs", len(c.replica.jobs), "hosts", len(c.replica.hosts), "parts", len(c.mine), "heap_kb", mem.HeapAlloc>>10,
		)
		for _, what := range slices.Sorted(maps.Keys(c.commits)) {
			n := c.commits[what]
			c.log.Info(
				"commits", "for", what, "transactions", n.txns, "changes", n.writes, "overtaken", n.overtaken,
				"changes_lost", n.lost, "failed", n.failed,
			)
		}
		clear(c.commits)
		for uid := range c.errSeen { // of jobs that are over
			if c.replica.jobs[uid] == nil {
				delete(c.errSeen, uid)
				delete(c.retryAt, uid)
			}
		}
		for uid := range c.gangs {
			if c.replica.jobs[uid] == nil {
				delete(c.gangs, uid)
				delete(c.missed, uid)
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

// canAct tells whether this node may launch and commit as an owner. Call with
// the lock held.
func (c *Controller) canAct(now time.Time) bool { return c.loaded && now.Before(c.validTil) }

// owned gives the part if this node owns it. Call with the lock held.
func (c *Controller) owned(p string) *ownPart {
	o := c.mine[p]
	if o == nil || o.leaving || o.taker != "" || c.replica.owns[p].stamp != o.stamp {
		return nil
	}
	return o
}

// errBusy answers what can't be taken now.
var errBusy = transport.Response{Status: 503, Body: []byte(`{"error":"try again"}`), RetryAfter: 1}

func reply(status int, v any) transport.Response {
	return transport.Response{Status: status, Body: api.JSON(v)}
}
