package controller

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"runtime"
	"runtime/metrics"
	"runtime/pprof"
	"slices"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/httpwire"
	"violetturn/internal/simulator"
	"violetturn/internal/state"
	"violetturn/internal/store"
	"violetturn/internal/transport"
)

// loadStep is the time between two steps of each controller.
const loadStep = 500 * time.Millisecond

// pollEvery is how often a user asks for the state of a job (PROTOCOL).
const pollEvery = 5 * time.Second

// budgetedStore keeps to a share of the changes of a second, as the real client does.
type budgetedStore struct {
	*simulator.Client
	budget *transport.TokenBucket
	now    func() time.Time
}

func (b *budgetedStore) AwaitWrites(_ context.Context, n int, _ store.Priority) int {
	return min(n, int(b.budget.Available(b.now(), 0)))
}

func (b *budgetedStore) Commit(ctx context.Context, t *store.Txn, r store.Priority) (store.CommitResult, error) {
	if _, ok := b.budget.Take(b.now(), float64(len(t.Ops)), 0); !ok {
		return store.CommitResult{}, store.ErrRefused
	}
	return b.Client.Commit(ctx, t, r)
}

// loadSim plays a deployment at its size, and measures what its controllers do.
type loadSim struct {
	*sim
	d        *simulator.Deployment
	rnd      *rand.Rand
	phase    string
	nextTime map[string]time.Time // by machine, of its next heartbeat
	seen     map[string]string    // by machine, what its last report said
	pollAt   map[string]time.Time // by unfinished job
	endAt    map[string]time.Time // by service, when its user cancels it
	due      map[*simulator.Class]float64
	submit   []string // refused, to be repeated
	costs    map[string]*phaseCost
}

// phaseCost is what the controllers used in a phase.
type phaseCost struct {
	simulated time.Duration
	busy      map[string]time.Duration // by kind of work
	allocated uint64
	longest   time.Duration // of a single step
	holds     map[string]*state.LockUse
}

func newLoadSim(d *simulator.Deployment) *loadSim {
	w := d.World(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	l := &loadSim{
		d:        d,
		rnd:      rand.New(rand.NewPCG(1, 1)),
		nextTime: map[string]time.Time{},
		seen:     map[string]string{},
		pollAt:   map[string]time.Time{},
		endAt:    map[string]time.Time{},
		due:      map[*simulator.Class]float64{},
		costs:    map[string]*phaseCost{},
	}
	l.sim = &sim{
		w:       w,
		state:   d.State,
		next:    d.State,
		answers: map[string]*inFlight{},
		alone:   map[int]bool{},
		log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	l.sim.adjust = func(_ *simNode, cfg *config.Settings) {
		cfg.Facts.Workers.ReportS = d.HeartbeatS
		cfg.Facts.Objectives = []config.Objective{{Kind: config.ObjectiveWait, Class: "service", WithinS: 12, Share: 0.9}}
		for i := range cfg.Facts.Teams {
			cfg.Facts.Teams[i].GPUs, cfg.Facts.Teams[i].GPUsMax = d.TeamGPUs/2, d.TeamGPUs
		}
	}
	l.sim.started = func(n *simNode) {
		perNode := d.State.WriteRPS / float64(len(l.nodes))
		n.c.services.Store = &budgetedStore{
			n.c.services.Store.(*simulator.Client),
			transport.NewTokenBucket(perNode, 0.6*d.State.WriteRPS),
			func() time.Time { return l.w.Now },
		}
		n.c.guard.StartMeter()
	}
	for i := range 3 {
		l.nodes = append(l.nodes, &simNode{name: fmt.Sprintf("n%d", i)})
	}
	for i := range l.nodes {
		l.start(i)
	}
	return l
}

// measure runs work of a controller and charges it to the phase.
func (l *loadSim) measure(work string, f func()) {
	cost := l.costs[l.phase]
	if cost == nil {
		cost = &phaseCost{busy: map[string]time.Duration{}, holds: map[string]*state.LockUse{}}
		l.costs[l.phase] = cost
	}
	before := allocatedBytes()
	began := time.Now()
	pprof.Do(context.Background(), pprof.Labels("phase", l.phase, "work", work), func(context.Context) { f() })
	took := time.Since(began)
	cost.allocated += allocatedBytes() - before
	cost.busy[work] += took
	cost.longest = max(cost.longest, took)
}

func allocatedBytes() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// stepNode lets a controller do what its loops would.
func (l *loadSim) stepNode(i int) {
	n := l.nodes[i]
	if !n.works() {
		return
	}
	ctx := context.Background()
	l.measure("watch", func() {
		if n.c.testState().Cache.Loaded {
			_ = n.c.sync.ApplyChanges(ctx, n.c.testState().Cache.Revision, 0) // refused in an outage
			n.c.commands.RequestHeartbeats(ctx)
		} else {
			_ = n.c.sync.Load(ctx)
		}
	})
	l.measure("lease", func() { n.c.election.MaintainLease(ctx) })
	l.measure("decide", func() { n.c.decisions.Decide(ctx) })
	if l.w.Now.UnixMilli()%1000 == 0 {
		l.measure("cloud", func() { n.c.scaling.Autoscale(ctx) })
	}
	aside := n.aside
	n.aside = nil
	l.measure("commands", func() {
		for _, f := range aside {
			f()
		}
	})
}

// request sends an HTTP request to a controller, with the parsing that belongs to it.
func (l *loadSim) request(work string, to int, method, target string, body []byte) (status int, answer []byte) {
	c := l.nodes[to].c
	raw := httpwire.AppendRequest(nil, method, target, "controller", body)
	l.measure(work, func() {
		p := httpwire.NewParser(false, httpwire.RequestLimits)
		p.Feed(raw)
		req, err := p.Next()
		if err != nil || req == nil {
			panic(fmt.Sprint("request not parsed: ", err))
		}
		done := make(chan transport.Response, 1)
		r, now := c.frontend.Handle(req, func(r transport.Response) { done <- r })
		if !now {
			r = <-done
		}
		answer = httpwire.AppendResponse(nil, r.Status, r.Body, r.RetryAfter, false)
		status, answer = r.Status, r.Body
	})
	return status, answer
}

// reports has each worker report that is due or has something new.
func (l *loadSim) reports() {
	for _, host := range l.w.Cloud.Names() {
		x := l.w.Cloud.Hosts[host]
		if !x.Up() {
			continue
		}
		state := x.Summary()
		if l.w.Now.Before(l.nextTime[host]) && state == l.seen[host] {
			continue
		}
		l.seen[host] = state
		l.nextTime[host] = l.w.Now.Add(time.Duration(l.d.HeartbeatS * (0.75 + 0.5*l.rnd.Float64()) * float64(time.Second)))
		to := x.Node
		if !l.nodes[to].works() {
			x.Node = (to + 1) % len(l.nodes)
			l.nextTime[host] = l.w.Now.Add(time.Second)
			continue
		}
		sent, session := l.w.Now, x.AgentEpoch
		status, body := l.request("report", to, "POST", "/checkin", api.JSON(x.Heartbeat()))
		orders, leader, err := simulator.ParseHeartbeatResponse(body)
		if err != nil {
			panic(err)
		}
		l.answered(x, to, status, orders, leader, sent, session)
		if status != 200 {
			l.nextTime[host] = l.w.Now.Add(time.Second)
		}
	}
}

// users submit jobs, ask for them and cancel the services whose time has come.
func (l *loadSim) users() {
	for _, class := range []*simulator.Class{&l.d.Services, &l.d.Arrays} {
		l.due[class] += class.PerSecond * loadStep.Seconds()
		for ; l.due[class] >= 1; l.due[class]-- {
			l.newJob(class)
		}
	}
	repeat := l.submit
	l.submit = nil
	for _, uid := range repeat {
		l.send(uid)
	}
	for _, uid := range l.uids {
		at, unfinished := l.pollAt[uid]
		if !unfinished || l.w.Now.Before(at) {
			continue
		}
		l.pollAt[uid] = l.w.Now.Add(pollEvery)
		to := l.anyNode()
		if end, service := l.endAt[uid]; service && l.w.Now.After(end) {
			l.w.Jobs[uid].CancelRequested = true
			status, body := l.request("user", to, "POST", "/v2/runs/"+uid+"/cancel", nil)
			l.told(uid, status, body, false)
		} else {
			status, body := l.request("user", to, "GET", "/v2/runs/"+uid, nil)
			l.told(uid, status, body, false)
		}
		if l.w.Jobs[uid].FinalPhase != "" {
			delete(l.pollAt, uid)
		}
	}
}

func (l *loadSim) anyNode() int {
	for {
		if i := l.rnd.IntN(len(l.nodes)); l.nodes[i].works() {
			return i
		}
	}
}

func (l *loadSim) newJob(class *simulator.Class) {
	run, runTime := class.NewJob(len(l.uids), l.rnd)
	if class.Service {
		l.endAt[run.UID] = l.w.Now.Add(runTime)
	}
	l.w.Jobs[run.UID] = &simulator.Job{Spec: run, RunTime: runTime, Done: map[int]bool{}}
	l.uids = append(l.uids, run.UID)
	l.send(run.UID)
}

func (l *loadSim) send(uid string) {
	status, body := l.request("user", l.anyNode(), "POST", "/v2/runs", simulator.Submission(&l.w.Jobs[uid].Spec))
	l.told(uid, status, body, true)
	if status == 200 || status == 201 {
		l.pollAt[uid] = l.w.Now.Add(pollEvery)
	} else {
		l.submit = append(l.submit, uid)
	}
}

// play lets everybody go on for a while.
func (l *loadSim) play(phase string, d time.Duration) {
	l.phase = phase
	for end := l.w.Now.Add(d); l.w.Now.Before(end); {
		for i := range l.nodes {
			l.stepNode(i)
		}
		l.reports()
		l.users()
		l.w.Advance(loadStep)
	}
	if cost := l.costs[phase]; cost != nil {
		cost.simulated += d
		for _, n := range l.nodes {
			for _, use := range n.c.guard.LockUses() {
				sum := cost.holds[use.Function]
				if sum == nil {
					sum = &state.LockUse{Function: use.Function}
					cost.holds[use.Function] = sum
				}
				sum.Holds += use.Holds
				sum.Held += use.Held
				sum.Longest = max(sum.Longest, use.Longest)
			}
		}
	}
}

// day plays the phases in which controllers do most: the fill, a steady load, a lost
// controller and its return, an outage of the state service, the last controller left.
func (l *loadSim) day() {
	l.phase = "fill"
	for _, class := range []*simulator.Class{&l.d.Services, &l.d.Arrays} {
		for range class.Initial {
			l.newJob(class)
		}
	}
	l.play("fill", 90*time.Second)
	l.play("steady", 90*time.Second)
	l.nodes[2].up = false
	l.play("takeover", 25*time.Second)
	l.start(2)
	l.play("start", 25*time.Second)
	l.w.Store.Down = true
	l.play("outage", 15*time.Second)
	l.w.Store.Down = false
	l.play("return", 25*time.Second)
	l.nodes[1].up, l.nodes[2].up = false, false
	l.play("last", 40*time.Second)
}

// print returns what each phase cost, per simulated second of all controllers together.
func (l *loadSim) print() {
	for _, phase := range []string{"fill", "steady", "takeover", "start", "outage", "return", "last"} {
		cost := l.costs[phase]
		all := time.Duration(0)
		for _, d := range cost.busy {
			all += d
		}
		perSecond := func(d time.Duration) float64 { return d.Seconds() * 1000 / cost.simulated.Seconds() }
		fmt.Printf(
			"%-8s %6.1f ms/s  %6.2f MB/s allocated  longest step %v\n", phase, perSecond(all),
			float64(cost.allocated)/1e6/cost.simulated.Seconds(), cost.longest.Round(time.Microsecond),
		)
		for _, work := range []string{"watch", "lease", "decide", "cloud", "commands", "report", "user"} {
			fmt.Printf("    %-9s %5.1f %%\n", work, 100*cost.busy[work].Seconds()/all.Seconds())
		}
		for _, use := range mostHeld(cost.holds, 6) {
			fmt.Printf(
				"    lock %5.1f %% of the time used, longest %8v, %6d times: %s\n",
				100*use.Held.Seconds()/all.Seconds(), use.Longest.Round(time.Microsecond), use.Holds, use.Function,
			)
		}
	}
	jobs := map[string]int{}
	for _, j := range l.w.Jobs {
		jobs[j.FinalPhase]++
	}
	fmt.Printf("machines %d, jobs %v, broken rules %d\n", len(l.w.Cloud.Hosts), jobs, len(l.w.Violations))
}

// mostHeld returns the functions that held a lock longest in all.
func mostHeld(holds map[string]*state.LockUse, most int) []*state.LockUse {
	uses := slices.SortedFunc(maps.Values(holds), func(a, b *state.LockUse) int { return cmp.Compare(b.Held, a.Held) })
	return uses[:min(most, len(uses))]
}

// BenchmarkDeployment plays a simulated deployment with its dearest seconds. With
// -cpuprofile and -memprofile it shows where a controller's time and memory go; the
// labels "phase" and "work" part them (pprof -tagfocus, -tagroot).
func BenchmarkDeployment(b *testing.B) {
	for _, d := range []*simulator.Deployment{simulator.Small(), simulator.Large(), simulator.Huge()} {
		b.Run(d.Name, func(b *testing.B) {
			for range b.N {
				l := newLoadSim(d)
				l.day()
				l.print()
				if len(l.w.Violations) > 0 {
					b.Fatal(l.w.Violations[0])
				}
				runtime.GC()
				runtime.KeepAlive(l)
			}
		})
	}
}
