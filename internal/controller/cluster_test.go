package controller

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"violetturn/internal/config"
	"violetturn/internal/external"
	"violetturn/internal/simulator"
	"violetturn/internal/state"
)

// roundInterval is the simulated time that one round takes.
const roundInterval = 500 * time.Millisecond

// bootTime is the boot time of a machine, unless a test changes it.
const bootTime = 6 * time.Second

// clockDrift is the amount by which the clock of each controller runs faster than that of the
// controller before it. The clock of the last controller is 0.05 per cent fast.
const clockDrift = 0.00025

// testCluster connects controllers to the simulated services. It runs everything in one goroutine,
// so that a seed produces the same events every time. The embedded types contain the controllers,
// the network and the users; the methods of testCluster itself query and check the state of jobs
// and controllers.
type testCluster struct{ clusterUsers }

// clusterNodes are the controllers of a cluster, the simulated environment and the network
// between them.
type clusterNodes struct {
	networkFaults
	environment *simulator.Environment
	nodes       []*testNode
	log         *slog.Logger

	delayedHeartbeats []func()                    // each delivers a heartbeat that a partition has delayed
	heartbeatCopies   []heartbeatCopy             // copies of heartbeats that arrived, to be delivered again later
	pendingResponses  map[string]*pendingResponse // by machine, the response in transit to its worker
	responseCopies    []pendingResponse           // copies of responses that workers received, to be delivered again later
	peerCopies        []peerCopy                  // copies of requests to peers, to be delivered again later
	unsentHeartbeats  int                         // heartbeats that were longer than a worker may send

	stateLimits, nextStateLimits config.StateLimits // current and announced limits of the state service
	limitsLowered                bool               // the state service applies the announced limits

	adjustSettings func(*testNode, *config.Settings) // changes the settings of a controller before it starts; may be nil
	onStart        func(*testNode)                   // called with each controller after its start; may be nil
}

// testStates caches the states of the controllers of tests. Tests run one after the other.
var testStates = map[*Controller]*state.State{}

// testState returns the state of a controller without holding its lock: in a test nothing else
// uses the state at the same time.
func (c *Controller) testState() *state.State {
	if cached := testStates[c]; cached != nil {
		return cached
	}
	s := c.guard.Lock()
	c.guard.Unlock()
	testStates[c] = s
	return s
}

// testNode is a controller and its connections.
type testNode struct {
	name                  string
	controller            *Controller
	storeClient           *simulator.StoreClient
	commands              *simulator.CommandClient
	asyncWork             []func() // asynchronous work of the controller, which runs at the end of its next step
	running               bool
	runsProductionVersion bool // it behaves like the version in production
	paused                bool // it does nothing, but its clock advances
}

// state returns the state of the node's controller.
func (n *testNode) state() *state.State { return n.controller.testState() }

// serves reports whether the controller is running and not paused, so that it answers requests.
func (n *testNode) serves() bool { return n.running && !n.paused }

// rounds returns the number of rounds that a duration takes.
func rounds(d time.Duration) int { return int(d / roundInterval) }

// testSettings returns the settings of a controller in a small deployment. limits contains the GPU
// limit of each team.
func testSettings(i int, names, zones []string, limits map[string]float64) *config.Settings {
	s := &config.Settings{HostName: names[i], Zone: zones[i%len(zones)]}
	for k, n := range names {
		if k != i {
			s.Members = append(s.Members, config.Member{HostName: n, Zone: zones[k%len(zones)], Addr: n})
		}
	}
	f := &s.Facts
	f.ControllerCount, f.Zones = len(names), zones
	f.Workers.HeartbeatIntervalS, f.Workers.LeaseS, f.Workers.CancelTimeoutS = 1, 9, 40
	f.Workers.GangGatherTimeoutS, f.Workers.GangPeerTimeoutS = 12, 3
	f.Cloud.RPS, f.Cloud.ListLagS = 8, 2
	f.Limits.MemoryMB, f.Limits.MaxSockets = 100, 900
	for _, t := range []string{"a", "b"} {
		f.Teams = append(f.Teams, config.Team{Name: t, GuaranteedGPUs: limits[t] / 2, MaxGPUs: limits[t]})
	}
	return s
}

// newTestCluster returns a cluster of three controllers that have just started. If the
// environment variable SIM_LOG is set, they log to stderr.
func newTestCluster() *testCluster {
	environment := simulator.NewEnvironment(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	environment.MachineType = simulator.MachineType{Name: "m", CPUs: 8, GPUs: 2, MemGB: 64, BootTime: bootTime, FetchTime: 2 * time.Second}
	environment.Zones = []string{"x", "y"}
	environment.WorkerLease, environment.CancelTimeout, environment.ListLag = 9*time.Second, 40*time.Second, 2*time.Second
	environment.GangStartTimeout, environment.PeerLossTimeout = 12*time.Second, 3*time.Second
	environment.TeamGPULimits = map[string]float64{"a": 5}
	limits := config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 4, TxnOps: 8}
	nextLimits := config.StateLimits{RPS: 120, WriteRPS: 18, ValueKB: 2, TxnOps: 4}
	s := newClusterWithoutNodes(environment, limits, nextLimits)
	if os.Getenv("SIM_LOG") != "" {
		s.log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	for i := range 3 {
		s.nodes = append(s.nodes, &testNode{name: fmt.Sprintf("n%d", i)})
		s.startNode(i)
	}
	return s
}

// newClusterWithoutNodes returns a cluster without controllers. limits and nextLimits are the
// current and the announced limits of its state service.
func newClusterWithoutNodes(environment *simulator.Environment, limits, nextLimits config.StateLimits) *testCluster {
	return &testCluster{clusterUsers{clusterNodes: clusterNodes{
		networkFaults:    networkFaults{isolated: map[int]bool{}},
		environment:      environment,
		log:              slog.New(slog.NewTextHandler(io.Discard, nil)),
		pendingResponses: map[string]*pendingResponse{},
		stateLimits:      limits,
		nextStateLimits:  nextLimits,
	}}}
}

// newReadyCluster returns a cluster whose controllers already lead their shards.
func newReadyCluster() *testCluster {
	s := newTestCluster()
	s.runFor(10)
	return s
}

// startNode starts a controller, or restarts it; only its settings survive a restart.
func (s *clusterNodes) startNode(i int) {
	n := s.nodes[i]
	cfg := s.settingsOf(i)
	delete(testStates, n.controller)
	c := newController(cfg, config.DefaultPolicy(), s.log.With("node", n.name))
	n.controller = c
	c.node.Random = rand.New(rand.NewPCG(uint64(i), 1))
	startTime := s.environment.Now
	drift := float64(i) * clockDrift
	c.node.Now = func() time.Time {
		return s.environment.Now.Add(time.Duration(float64(s.environment.Now.Sub(startTime)) * drift))
	}
	n.asyncWork = nil
	c.node.SimulatedClock = true
	c.node.RunAsync = func(f func()) {
		if n.controller == c {
			n.asyncWork = append(n.asyncWork, f)
		}
	}
	n.commands = &simulator.CommandClient{
		Environment:     s.environment,
		Controller:      n.name,
		PartitionedFrom: func(worker *simulator.Worker) bool { return s.partitioned(s.zoneOf(i), worker.Zone) },
	}
	c.services.Peers = peerLink{s, i}
	c.services.Store = s.newStoreClient(n, cfg)
	c.services.Cloud = &simulator.CloudClient{Cloud: s.environment.Cloud, Controller: n.name}
	c.services.Workers = n.commands
	n.running, n.paused = true, false
	if s.onStart != nil {
		s.onStart(n)
	}
}

// settingsOf returns the settings of a controller.
func (s *clusterNodes) settingsOf(i int) *config.Settings {
	n := s.nodes[i]
	names := []string{"n0", "n1", "n2"}
	cfg := testSettings(i, names, s.environment.Zones, s.environment.TeamGPULimits)
	cfg.Facts.Workers.LeaseS, cfg.Facts.Workers.CancelTimeoutS = s.environment.WorkerLease.Seconds(), s.environment.CancelTimeout.Seconds()
	next := s.nextStateLimits
	cfg.Facts.State.StateLimits, cfg.Facts.State.NextLimits = s.stateLimits, &next
	if n.runsProductionVersion {
		cfg.Facts.State.NextLimits = nil
	}
	if s.adjustSettings != nil {
		s.adjustSettings(n, cfg)
	}
	return cfg
}

// newStoreClient returns a controller's client of the state service. The client reports a violation
// if a transaction has more writes than the announced limit or, for a controller that behaves like
// the version in production, the current limit allows.
func (s *clusterNodes) newStoreClient(n *testNode, cfg *config.Settings) external.StateService {
	n.storeClient = &simulator.StoreClient{
		Store:         s.environment.Store,
		Controller:    n.name,
		OnServed:      n.controller.sync.RecordStoreResponse,
		TxnOps:        cfg.LowestLimits().TxnOps,
		MaxValueBytes: int(cfg.Facts.State.ValueKB * 1024),
	}
	if !n.runsProductionVersion {
		return n.storeClient
	}
	n.storeClient.TxnOps = cfg.Facts.State.TxnOps
	return &productionVersionStore{n.storeClient, jobKinds{}}
}

// restartNodes restarts all controllers and calls onStart with each of them.
func (s *clusterNodes) restartNodes(onStart func(*testNode)) {
	s.onStart = onStart
	for i := range s.nodes {
		s.startNode(i)
	}
	s.runFor(10)
}

// stepNode runs each loop of a controller once.
func (s *clusterNodes) stepNode(i int) {
	n := s.nodes[i]
	if !n.serves() {
		return
	}
	ctx := context.Background()
	if !n.controller.sync.StoreReachable() {
		n.controller.members.QueryPeers(ctx)
	}
	if n.state().Cache.Loaded {
		_ = n.controller.sync.ApplyChanges(ctx, n.state().Cache.Revision, 0) // fails during an outage
	} else {
		_ = n.controller.sync.Load(ctx)
	}
	n.controller.election.MaintainLease(ctx)
	n.controller.decisions.Decide(ctx)
	n.controller.scaling.Autoscale(ctx)
	async := n.asyncWork
	n.asyncWork = nil
	for _, f := range async {
		f()
	}
}

// runRound runs one step of all controllers, has each worker send a heartbeat, and advances the
// time by roundInterval.
func (s *clusterNodes) runRound() {
	for i := range s.nodes {
		s.stepNode(i)
	}
	for _, host := range s.environment.Cloud.HostNames() {
		s.sendHeartbeat(s.environment.Cloud.WorkersByHost[host], heartbeatServed)
	}
	s.environment.Advance(roundInterval)
}

// runFor runs a number of rounds. It does not check for violations.
func (s *clusterNodes) runFor(count int) {
	for range count {
		s.runRound()
	}
}

// runRounds runs a number of rounds, and fails the test if a rule is violated.
func (s *testCluster) runRounds(t testing.TB, count int) {
	t.Helper()
	for range count {
		s.runRound()
		s.checkViolations(t)
	}
}

// runUntil runs rounds until reached returns true. It fails the test if a rule is violated, or if
// reached still returns false after maxRounds.
func (s *testCluster) runUntil(t testing.TB, maxRounds int, awaited string, reached func() bool) {
	t.Helper()
	for range maxRounds {
		if reached() {
			return
		}
		s.runRounds(t, 1)
	}
	t.Fatalf("%s: not reached within %d rounds", awaited, maxRounds)
}

// endFaults ends all faults, and restarts the controllers that are stopped or behave like the
// version in production.
func (s *clusterNodes) endFaults() {
	s.environment.Store.Down, s.environment.Cloud.Down, s.environment.Cloud.NoCapacity = false, false, false
	clear(s.environment.Store.RefusedControllers)
	clear(s.environment.Store.UnreachableControllers)
	clear(s.environment.Cloud.UnreachableControllers)
	s.networkFaults = networkFaults{isolated: map[int]bool{}}
	s.environment.MachineType.BootTime = bootTime
	for i, n := range s.nodes {
		if !n.running || n.runsProductionVersion {
			n.runsProductionVersion = false
			s.startNode(i)
		}
	}
	for _, worker := range s.environment.Cloud.WorkersByHost {
		worker.WorkerFaults = simulator.WorkerFaults{}
	}
	for _, n := range s.nodes {
		n.commands.Partitioned = false
	}
}
