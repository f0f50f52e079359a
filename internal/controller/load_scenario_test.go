package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// loadScenario plays a deployment at its size, and measures what its controllers do.
type loadScenario struct {
	*testCluster
	deployment    *simulator.Deployment
	random        *rand.Rand
	phase         string
	nextHeartbeat map[string]time.Time // by machine, of its next heartbeat
	lastSummary   map[string]string    // by machine, what its last heartbeat said
	pollAt        map[string]time.Time // by unfinished job
	endAt         map[string]time.Time // by service, when its user cancels it
	dueJobs       map[*simulator.JobClass]float64
	resubmissions []string // refused, to be repeated
	costs         map[string]*phaseCost
}

// newLoadScenario returns a deployment whose controllers have just started.
func newLoadScenario(d *simulator.Deployment) *loadScenario {
	w := d.NewEnvironment(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	l := &loadScenario{
		deployment:    d,
		random:        rand.New(rand.NewPCG(1, 1)),
		nextHeartbeat: map[string]time.Time{},
		lastSummary:   map[string]string{},
		pollAt:        map[string]time.Time{},
		endAt:         map[string]time.Time{},
		dueJobs:       map[*simulator.JobClass]float64{},
		costs:         map[string]*phaseCost{},
	}
	l.testCluster = newClusterWithoutNodes(w, d.State, d.State)
	l.adjustSettings = func(_ *testNode, cfg *config.Settings) {
		cfg.Facts.Workers.HeartbeatIntervalS = d.HeartbeatS
		cfg.Facts.Objectives = []config.Objective{{Kind: config.ObjectiveWait, Class: "service", WithinS: 12, Share: 0.9}}
		for i := range cfg.Facts.Teams {
			cfg.Facts.Teams[i].GuaranteedGPUs, cfg.Facts.Teams[i].MaxGPUs = d.TeamGPULimit/2, d.TeamGPULimit
		}
	}
	l.onStart = func(n *testNode) {
		perNode := d.State.WriteRPS / float64(len(l.nodes))
		n.controller.services.Store = &budgetedStore{
			n.storeClient,
			transport.NewTokenBucket(perNode, 0.6*d.State.WriteRPS),
			func() time.Time { return l.environment.Now },
		}
		n.controller.guard.StartMeter()
	}
	for i := range 3 {
		l.nodes = append(l.nodes, &testNode{name: fmt.Sprintf("n%d", i)})
	}
	for i := range l.nodes {
		l.startNode(i)
	}
	return l
}

// measureStep lets a controller do what its loops would.
func (l *loadScenario) measureStep(i int) {
	n := l.nodes[i]
	if !n.serves() {
		return
	}
	ctx := context.Background()
	l.measure("watch", func() {
		if n.state().Cache.Loaded {
			_ = n.controller.sync.ApplyChanges(ctx, n.state().Cache.Revision, 0) // refused in an outage
			n.controller.commands.RequestHeartbeats(ctx)
		} else {
			_ = n.controller.sync.Load(ctx)
		}
	})
	l.measure("lease", func() { n.controller.election.MaintainLease(ctx) })
	l.measure("decide", func() { n.controller.decisions.Decide(ctx) })
	if l.environment.Now.UnixMilli()%1000 == 0 {
		l.measure("cloud", func() { n.controller.scaling.Autoscale(ctx) })
	}
	aside := n.asyncWork
	n.asyncWork = nil
	l.measure("commands", func() {
		for _, f := range aside {
			f()
		}
	})
}

// request sends an HTTP request to a controller, with the parsing that belongs to it.
func (l *loadScenario) request(work string, to int, method, target string, body []byte) (status int, answer []byte) {
	c := l.nodes[to].controller
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

// sendHeartbeats has each worker send a heartbeat that is due or has something new.
func (l *loadScenario) sendHeartbeats() {
	for _, host := range l.environment.Cloud.HostNames() {
		x := l.environment.Cloud.WorkersByHost[host]
		if !x.Booted() {
			continue
		}
		state := x.StateSummary()
		if l.environment.Now.Before(l.nextHeartbeat[host]) && state == l.lastSummary[host] {
			continue
		}
		l.lastSummary[host] = state
		interval := l.deployment.HeartbeatS * (0.75 + 0.5*l.random.Float64())
		l.nextHeartbeat[host] = l.environment.Now.Add(time.Duration(interval * float64(time.Second)))
		to := x.Node
		if !l.nodes[to].serves() {
			x.Node = (to + 1) % len(l.nodes)
			l.nextHeartbeat[host] = l.environment.Now.Add(time.Second)
			continue
		}
		sent := sentHeartbeat{x, to, l.environment.Now, x.AgentEpoch}
		status, body := l.request("heartbeat", to, "POST", "/checkin", api.MustMarshal(x.Heartbeat()))
		commands, leader, err := simulator.ParseHeartbeatResponse(body)
		if err != nil {
			panic(err)
		}
		l.handleHeartbeatResponse(sent, heartbeatResponse{status, commands, leader})
		if status != 200 {
			l.nextHeartbeat[host] = l.environment.Now.Add(time.Second)
		}
	}
}

// runUsers lets users submit jobs, ask for them and cancel the services whose time has come.
func (l *loadScenario) runUsers() {
	for _, class := range []*simulator.JobClass{&l.deployment.ServiceJobs, &l.deployment.ArrayJobs} {
		l.dueJobs[class] += class.JobsPerSecond * loadStep.Seconds()
		for ; l.dueJobs[class] >= 1; l.dueJobs[class]-- {
			l.newJob(class)
		}
	}
	repeat := l.resubmissions
	l.resubmissions = nil
	for _, uid := range repeat {
		l.submitFrom(uid)
	}
	for _, uid := range l.jobIDs {
		at, unfinished := l.pollAt[uid]
		if !unfinished || l.environment.Now.Before(at) {
			continue
		}
		l.pollAt[uid] = l.environment.Now.Add(pollEvery)
		to := l.anyNode()
		if end, service := l.endAt[uid]; service && l.environment.Now.After(end) {
			l.environment.Jobs[uid].CancelRequested = true
			status, body := l.request("user", to, "POST", "/v2/runs/"+uid+"/cancel", nil)
			l.checkResponse(uid, status, body, false)
		} else {
			status, body := l.request("user", to, "GET", "/v2/runs/"+uid, nil)
			l.checkResponse(uid, status, body, false)
		}
		if l.environment.Jobs[uid].FinalPhase != "" {
			delete(l.pollAt, uid)
		}
	}
}

// anyNode draws a controller that serves.
func (l *loadScenario) anyNode() int {
	for {
		if i := l.random.IntN(len(l.nodes)); l.nodes[i].serves() {
			return i
		}
	}
}

// newJob submits a new job of a class.
func (l *loadScenario) newJob(class *simulator.JobClass) {
	run, runTime := class.NewJob(len(l.jobIDs), l.random)
	if class.Service {
		l.endAt[run.UID] = l.environment.Now.Add(runTime)
	}
	l.environment.Jobs[run.UID] = &simulator.Job{Spec: run, RunTime: runTime, DoneTasks: map[int]bool{}}
	l.jobIDs = append(l.jobIDs, run.UID)
	l.submitFrom(run.UID)
}

// submitFrom submits a job through any controller. One that is refused is submitted again.
func (l *loadScenario) submitFrom(uid string) {
	status, body := l.request("user", l.anyNode(), "POST", "/v2/runs", simulator.Submission(&l.environment.Jobs[uid].Spec))
	l.checkResponse(uid, status, body, true)
	if status == 200 || status == 201 {
		l.pollAt[uid] = l.environment.Now.Add(pollEvery)
	} else {
		l.resubmissions = append(l.resubmissions, uid)
	}
}

// play lets everybody go on for a while.
func (l *loadScenario) play(phase string, d time.Duration) {
	l.phase = phase
	for end := l.environment.Now.Add(d); l.environment.Now.Before(end); {
		for i := range l.nodes {
			l.measureStep(i)
		}
		l.sendHeartbeats()
		l.runUsers()
		l.environment.Advance(loadStep)
	}
	if cost := l.costs[phase]; cost != nil {
		cost.simulated += d
		for _, n := range l.nodes {
			for _, use := range n.controller.guard.LockUses() {
				sum := cost.lockUses[use.Function]
				if sum == nil {
					sum = &state.LockUse{Function: use.Function}
					cost.lockUses[use.Function] = sum
				}
				sum.Holds += use.Holds
				sum.TotalHeld += use.TotalHeld
				sum.LongestHold = max(sum.LongestHold, use.LongestHold)
			}
		}
	}
}

// playPhases plays the phases in which controllers do most: the fill, a steady load, a lost
// controller and its return, an outage of the state service, the last controller left.
func (l *loadScenario) playPhases() {
	l.phase = "fill"
	for _, class := range []*simulator.JobClass{&l.deployment.ServiceJobs, &l.deployment.ArrayJobs} {
		for range class.InitialJobs {
			l.newJob(class)
		}
	}
	l.play("fill", 90*time.Second)
	l.play("steady", 90*time.Second)
	l.nodes[2].running = false
	l.play("takeover", 25*time.Second)
	l.startNode(2)
	l.play("start", 25*time.Second)
	l.environment.Store.Down = true
	l.play("outage", 15*time.Second)
	l.environment.Store.Down = false
	l.play("return", 25*time.Second)
	l.nodes[1].running, l.nodes[2].running = false, false
	l.play("last", 40*time.Second)
}

// budgetedStore keeps to a share of the changes of a second, as the real client does.
type budgetedStore struct {
	*simulator.StoreClient
	budget *transport.TokenBucket
	now    func() time.Time
}

// AwaitWriteBudget returns how many of n changes the budget allows now.
func (b *budgetedStore) AwaitWriteBudget(_ context.Context, n int, _ store.Priority) int {
	return min(n, int(b.budget.Available(b.now(), 0)))
}

// Commit commits a transaction if the budget allows it, and else returns store.ErrRefused.
func (b *budgetedStore) Commit(ctx context.Context, t *store.Txn, r store.Priority) (store.CommitResult, error) {
	if _, ok := b.budget.Take(b.now(), float64(len(t.Ops)), 0); !ok {
		return store.CommitResult{}, store.ErrRefused
	}
	return b.StoreClient.Commit(ctx, t, r)
}
