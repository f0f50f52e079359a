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

// roundInterval is the simulated time of a round.
const roundInterval = 500 * time.Millisecond

// bootTime is how long a machine boots, if a test does not change it.
const bootTime = 6 * time.Second

// clockDrift is by how much the clock of each node runs faster than that of the node before:
// the last one's is 0.05 per cent fast.
const clockDrift = 0.00025

// testCluster joins controllers with the simulated services. It runs everything in one
// goroutine, so that a seed gives the same events every time. The types that it embeds hold
// what it is built of; its own methods ask what jobs and controllers do, and check it.
type testCluster struct{ clusterUsers }

// clusterNodes are the controllers of a cluster, the simulated world and the network between
// them.
type clusterNodes struct {
	networkFaults
	environment *simulator.Environment
	nodes       []*testNode
	log         *slog.Logger

	delayedHeartbeats []func()                    // that a partition delays
	heartbeatCopies   []heartbeatCopy             // that arrived, to arrive once more, late
	pendingResponses  map[string]*pendingResponse // by worker, on their way to it

	stateLimits, nextStateLimits config.StateLimits // of the state service
	limitsLowered                bool               // the state service has its next limits

	adjustSettings func(*testNode, *config.Settings) // changes a controller's settings before it starts; may be nil
	onStart        func(*testNode)                   // hears of each controller that was started; may be nil
}

// testStates are the states of the controllers of tests, which run one after the other.
var testStates = map[*Controller]*state.State{}

// testState returns the state of a controller, without its lock: in tests nothing else uses
// it at the time.
func (c *Controller) testState() *state.State {
	if known := testStates[c]; known != nil {
		return known
	}
	s := c.guard.Lock()
	c.guard.Unlock()
	testStates[c] = s
	return s
}

// testNode is a controller and its connections.
type testNode struct {
	name         string
	controller   *Controller
	storeClient  *simulator.StoreClient
	commands     *simulator.CommandClient
	asyncWork    []func() // work that the controller runs asynchronously, until its next step
	running      bool
	inProduction bool // it behaves as the version in production
	paused       bool // it does nothing, while its clock runs on
}

// state returns the state of the node's controller.
func (n *testNode) state() *state.State { return n.controller.testState() }

// serves reports whether the node acts and answers requests.
func (n *testNode) serves() bool { return n.running && !n.paused }

// rounds returns the number of rounds in a time.
func rounds(d time.Duration) int { return int(d / roundInterval) }

// testSettings returns the settings of a node of a small deployment. limits are those of
// the teams.
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

// newTestCluster returns a cluster of three controllers that have just started. With SIM_LOG
// in the environment they log to stderr.
func newTestCluster() *testCluster {
	w := simulator.NewEnvironment(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	w.MachineType = simulator.MachineType{Name: "m", CPUs: 8, GPUs: 2, MemGB: 64, BootTime: bootTime, FetchTime: 2 * time.Second}
	w.Zones = []string{"x", "y"}
	w.WorkerLease, w.CancelTimeout, w.ListLag = 9*time.Second, 40*time.Second, 2*time.Second
	w.GangStartTimeout, w.PeerLossTimeout = 12*time.Second, 3*time.Second
	w.TeamGPULimits = map[string]float64{"a": 5}
	limits := config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 4, TxnOps: 8}
	nextLimits := config.StateLimits{RPS: 120, WriteRPS: 18, ValueKB: 2, TxnOps: 4}
	s := newClusterWithoutNodes(w, limits, nextLimits)
	if os.Getenv("SIM_LOG") != "" {
		s.log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	for i := range 3 {
		s.nodes = append(s.nodes, &testNode{name: fmt.Sprintf("n%d", i)})
		s.startNode(i)
	}
	return s
}

// newClusterWithoutNodes returns a cluster without controllers, in a world whose state service
// has limits, and others next.
func newClusterWithoutNodes(w *simulator.Environment, limits, nextLimits config.StateLimits) *testCluster {
	return &testCluster{clusterUsers{clusterNodes: clusterNodes{
		networkFaults:    networkFaults{isolated: map[int]bool{}},
		environment:      w,
		log:              slog.New(slog.NewTextHandler(io.Discard, nil)),
		pendingResponses: map[string]*pendingResponse{},
		stateLimits:      limits,
		nextStateLimits:  nextLimits,
	}}}
}

// newReadyCluster returns a cluster whose controllers lead their shards.
func newReadyCluster() *testCluster {
	s := newTestCluster()
	s.runFor(10)
	return s
}

// startNode starts a controller, or restarts it with nothing but its settings.
func (s *clusterNodes) startNode(i int) {
	n := s.nodes[i]
	cfg := s.settingsOf(i)
	delete(testStates, n.controller)
	c := newController(cfg, config.DefaultPolicy(), s.log.With("node", n.name))
	n.controller = c
	c.node.Random = rand.New(rand.NewPCG(uint64(i), 1))
	begin := s.environment.Now
	drift := float64(i) * clockDrift
	c.node.Now = func() time.Time {
		return s.environment.Now.Add(time.Duration(float64(s.environment.Now.Sub(begin)) * drift))
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
		Node:            n.name,
		PartitionedFrom: func(x *simulator.Worker) bool { return s.partitioned(s.zoneOf(i), x.Zone) },
	}
	c.services.Peers = peerLink{s, i}
	c.services.Store = s.storeOf(n, cfg)
	c.services.Cloud = &simulator.CloudClient{Cloud: s.environment.Cloud, Node: n.name}
	c.services.Workers = n.commands
	n.running, n.paused = true, false
	if s.onStart != nil {
		s.onStart(n)
	}
}

// settingsOf returns a node's settings.
func (s *clusterNodes) settingsOf(i int) *config.Settings {
	n := s.nodes[i]
	names := []string{"n0", "n1", "n2"}
	cfg := testSettings(i, names, s.environment.Zones, s.environment.TeamGPULimits)
	cfg.Facts.Workers.LeaseS, cfg.Facts.Workers.CancelTimeoutS = s.environment.WorkerLease.Seconds(), s.environment.CancelTimeout.Seconds()
	next := s.nextStateLimits
	cfg.Facts.State.StateLimits, cfg.Facts.State.NextLimits = s.stateLimits, &next
	if n.inProduction {
		cfg.Facts.State.NextLimits = nil
	}
	if s.adjustSettings != nil {
		s.adjustSettings(n, cfg)
	}
	return cfg
}

// storeOf returns the state service as a node reaches it. A node makes nothing larger than
// the next limits, unless it behaves as the version in production.
func (s *clusterNodes) storeOf(n *testNode, cfg *config.Settings) external.StateService {
	n.storeClient = &simulator.StoreClient{
		Store:         s.environment.Store,
		Node:          n.name,
		OnServed:      n.controller.sync.RecordStoreAnswer,
		TxnOps:        cfg.LowestLimits().TxnOps,
		MaxValueBytes: int(cfg.Facts.State.ValueKB * 1024),
	}
	if !n.inProduction {
		return n.storeClient
	}
	n.storeClient.TxnOps = cfg.Facts.State.TxnOps
	return &productionVersionStore{n.storeClient, jobKinds{}}
}

// restartNodes restarts all controllers, with a function that hears of each.
func (s *clusterNodes) restartNodes(started func(*testNode)) {
	s.onStart = started
	for i := range s.nodes {
		s.startNode(i)
	}
	s.runFor(10)
}

// stepNode lets a controller do what its loops would.
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
		_ = n.controller.sync.ApplyChanges(ctx, n.state().Cache.Revision, 0) // refused in an outage
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

// runRound lets all controllers and workers do what they do in half a second.
func (s *clusterNodes) runRound() {
	for i := range s.nodes {
		s.stepNode(i)
	}
	for _, h := range s.environment.Cloud.HostNames() {
		s.sendHeartbeat(s.environment.Cloud.WorkersByHost[h], heartbeatServed)
	}
	s.environment.Advance(roundInterval)
}

// runFor runs some rounds. Whether a rule was broken is checked later.
func (s *clusterNodes) runFor(count int) {
	for range count {
		s.runRound()
	}
}

// runRounds runs some rounds, and fails if a rule is broken.
func (s *testCluster) runRounds(t testing.TB, count int) {
	t.Helper()
	for range count {
		s.runRound()
		s.checkViolations(t)
	}
}

// runUntil runs rounds until ok, and fails if a rule is broken or after so many rounds.
func (s *testCluster) runUntil(t testing.TB, most int, what string, ok func() bool) {
	t.Helper()
	for range most {
		if ok() {
			return
		}
		s.runRounds(t, 1)
	}
	t.Fatalf("%s: not after %d rounds", what, most)
}

// endFaults ends all faults, and restarts the controllers that are down or behave as the
// version in production.
func (s *clusterNodes) endFaults() {
	s.environment.Store.Down, s.environment.Cloud.Down, s.environment.Cloud.NoCapacity = false, false, false
	clear(s.environment.Store.RefusedNodes)
	clear(s.environment.Store.UnreachableNodes)
	clear(s.environment.Cloud.UnreachableNodes)
	s.networkFaults = networkFaults{isolated: map[int]bool{}}
	s.environment.MachineType.BootTime = bootTime
	for i, n := range s.nodes {
		if !n.running || n.inProduction {
			n.inProduction = false
			s.startNode(i)
		}
	}
	for _, x := range s.environment.Cloud.WorkersByHost {
		x.WorkerFaults = simulator.WorkerFaults{}
	}
	for _, n := range s.nodes {
		n.commands.Partitioned = false
	}
}
