// Package controller joins the parts of the service. It owns the locks; no
// lock is held across I/O.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/part"
	"violetturn/internal/store"
	"violetturn/internal/transport"
	"violetturn/internal/worker"
)

// Controller is one node of the service.
type Controller struct {
	cfg     *config.Settings
	log     *slog.Logger
	store   *store.Client
	cloud   *cloud.Client
	workers *worker.Client
	http    *transport.Client
	server  *transport.Server
	inc     uint64 // this life of the process
	rnd     *rand.Rand
	parts   []string // all parts, by name of their home controller

	wake     chan struct{} // the decider has something to do
	accepts  chan *accept
	barriers chan chan error
	fencing  chan struct{} // bounds fences under way
	users    chan struct{} // bounds user requests under way

	mu       sync.Mutex
	m        *mirror
	loaded   bool
	permit   uint64
	validTil time.Time // our hold surely lasts until then
	mine     map[string]*ownPart
	sessions map[string]*part.Session
	absent   map[string]time.Time // parts without an owner, since when
	homeUp   map[string]time.Time // nodes alive, since when seen so
	flavors  []cloud.Flavor
	booting  map[string]time.Time // machines that never reported, since when known
	refused  map[string]refusal
	hires    int
	past     map[string]job.Past
	pastKeys []string
	adopt    map[string]part.Machine // strangers to be recorded
	retryAt  map[string]time.Time    // jobs that failed, when they are tried again
	errSeen  map[string]int
	movedAt  time.Time            // when replicas were last moved to save a machine
	arrivals map[string][]arrival // by lane, the recent ones
}

// ownPart is a part that this node owns.
type ownPart struct {
	term     uint64
	stamp    uint64    // version of the owner's key
	answered time.Time // latest time at which an earlier owner can have answered
	leaving  bool      // being handed over: nothing is answered
	bump     bool      // a worker has seen a higher term: take a new one
}

type refusal struct {
	until time.Time
	wait  time.Duration
}

// New makes a controller.
func New(cfg *config.Settings, log *slog.Logger) (*Controller, error) {
	h, err := transport.NewClient()
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	n := float64(cfg.Facts.Size)
	c := &Controller{cfg: cfg, log: log, http: h, inc: rand.Uint64() >> 12, rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake: make(chan struct{}, 1), accepts: make(chan *accept, 64), barriers: make(chan chan error, 256),
		fencing: make(chan struct{}, 8), users: make(chan struct{}, 128),
		mine: map[string]*ownPart{}, sessions: map[string]*part.Session{}, absent: map[string]time.Time{}, homeUp: map[string]time.Time{},
		booting: map[string]time.Time{}, refused: map[string]refusal{}, past: map[string]job.Past{}, adopt: map[string]part.Machine{},
		retryAt: map[string]time.Time{}, errSeen: map[string]int{}, arrivals: map[string][]arrival{}}
	c.m = newMirror(log, c.arrived)
	c.store = store.New(h, cfg.External.State, cfg.HoldTTL()/3, cfg.Facts.State.RPS/n, cfg.Facts.State.WriteRPS/n, func(bool) {})
	c.cloud = cloud.New(h, cfg.External.Cloud, 3*time.Second, cfg.Facts.Cloud.RPS/n)
	c.workers = worker.New(h, cfg.Report())
	c.parts = append(c.parts, cfg.HostName)
	for _, m := range cfg.Members {
		c.parts = append(c.parts, m.HostName)
	}
	slices.Sort(c.parts)
	c.server = transport.NewServer(c.handle, cfg.Facts.Limits.MaxSockets*3/4)
	return c, nil
}

// Run serves until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- c.server.Run(c.cfg.ServeOn) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){c.holdLoop, c.watchLoop, c.barrierLoop, c.decideLoop, c.acceptLoop, c.cloudLoop} {
		wg.Go(func() { f(ctx) })
	}
	select {
	case err := <-failed:
		cancel()
		wg.Wait()
		return fmt.Errorf("serving on %s: %w", c.cfg.ServeOn, err)
	case <-ctx.Done():
	}
	c.log.Info("stopping")
	wg.Wait()
	c.leave()
	stop, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	if err := c.server.Engine().Stop(stop); err != nil {
		return fmt.Errorf("stopping the server: %w", err)
	}
	return c.http.Close()
}

// leave ends the hold in an orderly shutdown, so that others take over at once.
func (c *Controller) leave() {
	c.mu.Lock()
	permit := c.permit
	c.permit, c.validTil = 0, time.Time{}
	c.mu.Unlock()
	if permit != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := c.store.Release(ctx, permit); err != nil {
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

// watchLoop keeps the mirror up to date: the paper's state change callback.
func (c *Controller) watchLoop(ctx context.Context) {
	pause := c.cfg.Report() / 15
	for ctx.Err() == nil {
		c.mu.Lock()
		loaded, since := c.loaded, c.m.epoch
		c.mu.Unlock()
		if !loaded {
			items, epoch, err := c.store.List(ctx, live)
			if err != nil {
				c.log.Debug("mirror not loaded", "err", err)
				sleep(ctx, c.cfg.HoldTTL()/8)
				continue
			}
			c.mu.Lock()
			c.m.reload(items, epoch)
			c.loaded = true
			c.mu.Unlock()
			c.log.Info("mirror loaded", "keys", len(items), "epoch", epoch)
			c.poke()
			continue
		}
		err := c.catchUp(ctx, since, c.cfg.Lease()/2)
		if err != nil {
			sleep(ctx, c.cfg.HoldTTL()/8)
			continue
		}
		sleep(ctx, pause)
	}
}

func (c *Controller) catchUp(ctx context.Context, since uint64, block time.Duration) error {
	log, epoch, err := c.store.Changes(ctx, live, since, block)
	if errors.Is(err, store.ErrTooOld) {
		c.mu.Lock()
		c.loaded = false
		c.mu.Unlock()
		return err
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	for _, e := range log {
		if e.Drop != "" {
			c.m.apply(e.Drop, nil, e.Stamp)
		} else {
			c.m.apply(e.Write, e.Value, e.Stamp)
		}
	}
	c.m.advance(epoch)
	c.mu.Unlock()
	if len(log) > 0 {
		c.poke()
	}
	return nil
}

// barrierLoop answers those who need the mirror to be at least as new as their
// question: one read of the changes serves all that asked before it was sent.
func (c *Controller) barrierLoop(ctx context.Context) {
	for {
		var waiting []chan error
		select {
		case b := <-c.barriers:
			waiting = append(waiting, b)
		case <-ctx.Done():
			return
		}
		for more := true; more; {
			select {
			case b := <-c.barriers:
				waiting = append(waiting, b)
			default:
				more = false
			}
		}
		c.mu.Lock()
		loaded, since := c.loaded, c.m.epoch
		c.mu.Unlock()
		err := store.ErrRefused
		if loaded {
			err = c.catchUp(ctx, since, 0)
		}
		for _, b := range waiting {
			b <- err
		}
	}
}

// fresh returns once the mirror is at least as new as the call.
func (c *Controller) fresh(ctx context.Context) error {
	b := make(chan error, 1)
	select {
	case c.barriers <- b:
	default:
		return store.ErrRefused
	}
	select {
	case err := <-b:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// commit sends a transaction and takes its outcome into the mirror. done is
// false when it surely did not commit or when that is not known.
func (c *Controller) commit(ctx context.Context, t *txn, r store.Rank) (done bool, failed []string, err error) {
	epoch, ok, failed, err := c.store.Multi(ctx, t.wire(), r)
	if err == nil && ok {
		c.mu.Lock()
		c.m.applied(t, epoch)
		c.mu.Unlock()
		return true, nil, nil
	}
	if err != nil {
		c.log.Debug("commit failed", "err", err)
	}
	// Refused, overtaken or in doubt: what it wrote shows in the log of changes.
	_ = c.fresh(ctx)
	return false, failed, err
}

// canAct tells whether this node may launch and commit as an owner. Call with
// the lock held.
func (c *Controller) canAct(now time.Time) bool { return c.loaded && now.Before(c.validTil) }

// canAnswer tells whether this node may still answer reports for what it owned
// when it last could reach the state service. Call with the lock held.
func (c *Controller) canAnswer(now time.Time) bool {
	return c.loaded && c.permit != 0 && now.Before(c.validTil.Add(c.cfg.Grace()))
}

// owned gives the part if this node owns it. Call with the lock held.
func (c *Controller) owned(p string) *ownPart {
	o := c.mine[p]
	if o == nil || o.leaving || c.m.owns[p].stamp != o.stamp {
		return nil
	}
	return o
}

// remember keeps the end of a job in the bounded cache. Call with the lock held.
func (c *Controller) remember(uid string, p job.Past) {
	const most = 4096 // entries of some hundred bytes
	if _, ok := c.past[uid]; !ok {
		c.pastKeys = append(c.pastKeys, uid)
		if len(c.pastKeys) > most {
			delete(c.past, c.pastKeys[0])
			c.pastKeys = c.pastKeys[1:]
		}
	}
	c.past[uid] = p
}

// errBusy answers what can't be taken now.
var errBusy = transport.Response{Status: 503, Body: []byte(`{"error":"try again"}`), RetryAfter: 1}

func reply(status int, v any) transport.Response {
	return transport.Response{Status: status, Body: api.JSON(v)}
}
