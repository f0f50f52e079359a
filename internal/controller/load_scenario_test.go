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

// stepInterval is the simulated time between two steps of each controller.
const stepInterval = 500 * time.Millisecond

// pollInterval is how often a user queries the state of a job (PROTOCOL).
const pollInterval = 5 * time.Second

// loadScenario simulates a deployment at full size and measures the work of its controllers.
type loadScenario struct {
	*testCluster
	deployment    *simulator.Deployment
	random        *rand.Rand
	phase         string
	nextHeartbeat map[string]time.Time            // by machine, the time of its next heartbeat
	lastSummary   map[string]string               // by machine, the summary of its last heartbeat
	pollAt        map[string]time.Time            // by unfinished job, the time of its next query
	cancelAt      map[string]time.Time            // by service, the time at which its user cancels it
	dueJobs       map[*simulator.JobClass]float64 // by class, the jobs to submit; fractions are carried over
	resubmissions []string                        // refused submissions, to be sent again
	costs         map[string]*phaseCost           // by phase
}

// newLoadScenario returns a deployment whose controllers have just started.
func newLoadScenario(deployment *simulator.Deployment) *loadScenario {
	environment := deployment.NewEnvironment(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	scenario := &loadScenario{
		deployment:    deployment,
		random:        rand.New(rand.NewPCG(1, 1)),
		nextHeartbeat: map[string]time.Time{},
		lastSummary:   map[string]string{},
		pollAt:        map[string]time.Time{},
		cancelAt:      map[string]time.Time{},
		dueJobs:       map[*simulator.JobClass]float64{},
		costs:         map[string]*phaseCost{},
	}
	scenario.testCluster = newClusterWithoutNodes(environment, deployment.StateLimits, deployment.StateLimits)
	scenario.adjustSettings = func(_ *testNode, cfg *config.Settings) {
		cfg.Facts.Workers.HeartbeatIntervalS = deployment.HeartbeatIntervalS
		cfg.Facts.Objectives = []config.Objective{{Kind: config.ObjectiveWait, Class: "service", WithinS: 12, Share: 0.9}}
		for i := range cfg.Facts.Teams {
			cfg.Facts.Teams[i].GuaranteedGPUs, cfg.Facts.Teams[i].MaxGPUs = deployment.TeamGPULimit/2, deployment.TeamGPULimit
		}
	}
	scenario.onStart = func(n *testNode) {
		writeRPSPerNode := deployment.StateLimits.WriteRPS / float64(len(scenario.nodes))
		n.controller.services.Store = &budgetedStore{
			n.storeClient,
			transport.NewTokenBucket(writeRPSPerNode, 0.6*deployment.StateLimits.WriteRPS),
			func() time.Time { return scenario.environment.Now },
		}
		n.controller.guard.StartMeter()
	}
	for i := range 3 {
		scenario.nodes = append(scenario.nodes, &testNode{name: fmt.Sprintf("n%d", i)})
	}
	for i := range scenario.nodes {
		scenario.startNode(i)
	}
	return scenario
}

// stepController runs one step of each loop of a controller and measures them.
func (l *loadScenario) stepController(i int) {
	n := l.nodes[i]
	if !n.serves() {
		return
	}
	ctx := context.Background()
	l.measure("watch", func() {
		if n.state().Cache.Loaded {
			_ = n.controller.sync.ApplyChanges(ctx, n.state().Cache.Revision, 0) // fails during an outage
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
	asyncCalls := n.asyncWork
	n.asyncWork = nil
	l.measure("commands", func() {
		for _, call := range asyncCalls {
			call()
		}
	})
}

// request sends an HTTP request to a controller. The measured work includes parsing the request
// and encoding the response.
func (l *loadScenario) request(work string, node int, method, target string, body []byte) (status int, responseBody []byte) {
	c := l.nodes[node].controller
	rawRequest := httpwire.AppendRequest(nil, method, target, "controller", body)
	l.measure(work, func() {
		parser := httpwire.NewParser(false, httpwire.RequestLimits)
		parser.Feed(rawRequest)
		req, err := parser.Next()
		if err != nil || req == nil {
			panic(fmt.Sprint("request not parsed: ", err))
		}
		done := make(chan transport.Response, 1)
		response, answered := c.frontend.Handle(req, func(r transport.Response) { done <- r })
		if !answered {
			response = <-done
		}
		responseBody = httpwire.AppendResponse(nil, response.Status, response.Body, response.RetryAfter, false)
		status, responseBody = response.Status, response.Body
	})
	return status, responseBody
}

// sendHeartbeats has each worker send a heartbeat if it is due or its content has changed.
func (l *loadScenario) sendHeartbeats() {
	for _, host := range l.environment.Cloud.HostNames() {
		worker := l.environment.Cloud.WorkersByHost[host]
		if !worker.Booted() {
			continue
		}
		summary := worker.StateSummary()
		if l.environment.Now.Before(l.nextHeartbeat[host]) && summary == l.lastSummary[host] {
			continue
		}
		l.lastSummary[host] = summary
		interval := l.deployment.HeartbeatIntervalS * (0.75 + 0.5*l.random.Float64())
		l.nextHeartbeat[host] = l.environment.Now.Add(time.Duration(interval * float64(time.Second)))
		node := worker.NodeIndex
		if !l.nodes[node].serves() {
			worker.NodeIndex = (node + 1) % len(l.nodes)
			l.nextHeartbeat[host] = l.environment.Now.Add(time.Second)
			continue
		}
		sent := sentHeartbeat{worker, node, l.environment.Now, worker.AgentEpoch}
		status, body := l.request("heartbeat", node, "POST", "/checkin", api.MustMarshal(worker.Heartbeat()))
		commands, leader, err := simulator.ParseHeartbeatResponse(body)
		if err != nil {
			panic(err)
		}
		l.handleHeartbeatResponse(sent, heartbeatResponse{status, commands, leader, body})
		if status != 200 {
			l.nextHeartbeat[host] = l.environment.Now.Add(time.Second)
		}
	}
}

// runUsers has users submit jobs, query their state, and cancel the services whose time has come.
func (l *loadScenario) runUsers() {
	for _, class := range []*simulator.JobClass{&l.deployment.ServiceJobs, &l.deployment.ArrayJobs} {
		l.dueJobs[class] += class.JobsPerSecond * stepInterval.Seconds()
		for ; l.dueJobs[class] >= 1; l.dueJobs[class]-- {
			l.submitNewJob(class)
		}
	}
	resubmissions := l.resubmissions
	l.resubmissions = nil
	for _, uid := range resubmissions {
		l.submitToRandomNode(uid)
	}
	for _, uid := range l.jobIDs {
		nextPoll, unfinished := l.pollAt[uid]
		if !unfinished || l.environment.Now.Before(nextPoll) {
			continue
		}
		l.pollAt[uid] = l.environment.Now.Add(pollInterval)
		node := l.randomServingNode()
		if cancelTime, isService := l.cancelAt[uid]; isService && l.environment.Now.After(cancelTime) {
			l.environment.Jobs[uid].CancelRequested = true
			status, body := l.request("user", node, "POST", "/v2/runs/"+uid+"/cancel", nil)
			l.checkResponse(uid, status, body, false)
		} else {
			status, body := l.request("user", node, "GET", "/v2/runs/"+uid, nil)
			l.checkResponse(uid, status, body, false)
		}
		if l.environment.Jobs[uid].FinalPhase != "" {
			delete(l.pollAt, uid)
		}
	}
}

// randomServingNode draws a controller that serves requests.
func (l *loadScenario) randomServingNode() int {
	for {
		if i := l.random.IntN(len(l.nodes)); l.nodes[i].serves() {
			return i
		}
	}
}

// submitNewJob draws a job of a class and submits it.
func (l *loadScenario) submitNewJob(class *simulator.JobClass) {
	spec, runTime := class.NewJob(len(l.jobIDs), l.random)
	if class.Service {
		l.cancelAt[spec.UID] = l.environment.Now.Add(runTime)
	}
	l.environment.Jobs[spec.UID] = &simulator.Job{Spec: spec, RunTime: runTime, DoneTasks: map[int]bool{}}
	l.jobIDs = append(l.jobIDs, spec.UID)
	l.submitToRandomNode(spec.UID)
}

// submitToRandomNode submits a job to a drawn controller. A refused job is submitted again at the
// next step.
func (l *loadScenario) submitToRandomNode(uid string) {
	status, body := l.request("user", l.randomServingNode(), "POST", "/v2/runs", simulator.Submission(&l.environment.Jobs[uid].Spec))
	l.checkResponse(uid, status, body, true)
	if status == 200 || status == 201 {
		l.pollAt[uid] = l.environment.Now.Add(pollInterval)
	} else {
		l.resubmissions = append(l.resubmissions, uid)
	}
}

// runPhase runs controllers, workers and users for a simulated time and charges the cost to a
// phase.
func (l *loadScenario) runPhase(phase string, duration time.Duration) {
	l.phase = phase
	for end := l.environment.Now.Add(duration); l.environment.Now.Before(end); {
		for i := range l.nodes {
			l.stepController(i)
		}
		l.sendHeartbeats()
		l.runUsers()
		l.environment.Advance(stepInterval)
	}
	if cost := l.costs[phase]; cost != nil {
		cost.simulated += duration
		for _, n := range l.nodes {
			for _, lockUse := range n.controller.guard.LockUses() {
				total := cost.lockUses[lockUse.Function]
				if total == nil {
					total = &state.LockUse{Function: lockUse.Function}
					cost.lockUses[lockUse.Function] = total
				}
				total.Holds += lockUse.Holds
				total.TotalHeld += lockUse.TotalHeld
				total.LongestHold = max(total.LongestHold, lockUse.LongestHold)
			}
		}
	}
}

// runPhases runs the phases with the highest load on controllers: the initial jobs, a steady
// load, the loss of a controller and its restart, an outage of the state service and its end, and
// a single controller left.
func (l *loadScenario) runPhases() {
	l.phase = "fill"
	for _, class := range []*simulator.JobClass{&l.deployment.ServiceJobs, &l.deployment.ArrayJobs} {
		for range class.InitialJobs {
			l.submitNewJob(class)
		}
	}
	l.runPhase("fill", 90*time.Second)
	l.runPhase("steady", 90*time.Second)
	l.nodes[2].running = false
	l.runPhase("takeover", 25*time.Second)
	l.startNode(2)
	l.runPhase("start", 25*time.Second)
	l.environment.Store.Down = true
	l.runPhase("outage", 15*time.Second)
	l.environment.Store.Down = false
	l.runPhase("return", 25*time.Second)
	l.nodes[1].running, l.nodes[2].running = false, false
	l.runPhase("last", 40*time.Second)
}

// budgetedStore limits the writes per second to this controller's share, as the real client does.
type budgetedStore struct {
	*simulator.StoreClient
	budget *transport.TokenBucket
	now    func() time.Time
}

// AwaitWriteBudget returns how many of n writes the budget allows now.
func (b *budgetedStore) AwaitWriteBudget(_ context.Context, n int, _ store.Priority) int {
	return min(n, int(b.budget.Available(b.now(), 0)))
}

// Commit commits a transaction if the budget allows its writes, and returns store.ErrRefused
// otherwise.
func (b *budgetedStore) Commit(ctx context.Context, txn *store.Txn, priority store.Priority) (store.CommitResult, error) {
	if _, ok := b.budget.Take(b.now(), float64(len(txn.Writes)), 0); !ok {
		return store.CommitResult{}, store.ErrRefused
	}
	return b.StoreClient.Commit(ctx, txn, priority)
}
