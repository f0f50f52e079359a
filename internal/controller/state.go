package controller

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/features"
	"violetturn/internal/job"
	"violetturn/internal/shard"
)

// nodeInfo is this controller process: what it was started with, its clock, its source of
// randomness and its log. It does not change after the start.
type nodeInfo struct {
	settings    *config.Settings
	policy      *config.Policy
	features    *features.Features
	log         *slog.Logger
	now         func() time.Time
	random      *rand.Rand
	shards      []string // all shards, by the name of their home controller, sorted
	incarnation uint64   // this life of the process
}

func newNodeInfo(settings *config.Settings, policy *config.Policy, log *slog.Logger) *nodeInfo {
	n := &nodeInfo{
		settings:    settings,
		policy:      policy,
		features:    features.Default(),
		log:         log,
		now:         time.Now,
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		incarnation: rand.Uint64() >> 12,
		shards:      []string{settings.HostName},
	}
	for _, m := range settings.Members {
		n.shards = append(n.shards, m.HostName)
	}
	slices.Sort(n.shards)
	return n
}

// signal wakes one waiting goroutine; further signals until it looks are dropped.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

// notify wakes the goroutine that waits for the signal, now or when it next looks.
func (s signal) notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// writeBudget tells how many changes may be sent to the state service now.
type writeBudget interface {
	Available() int
}

// schemaState is which forms of records may be written, and how large.
type schemaState struct {
	node   *nodeInfo
	cache  *replica
	budget writeBudget

	limitsLowered  bool           // the state service has refused what was larger than its coming limits
	acceptedTxnOps int            // changes in a transaction that it took, fewer than announced; 0: as announced
	splitRequests  map[string]int // jobs with a record that outgrew a value: their generation then, from 1 on
}

// leadershipTable is which shards this controller leads, and what it knows of its peers' claims.
type leadershipTable struct {
	node   *nodeInfo
	cache  *replica
	schema *schemaState

	byShard            map[string]*leadership
	leaseID            uint64               // of the state service; 0: none
	leaseValidUntil    time.Time            // the lease surely lasts until then
	acknowledgedUntil  map[string]time.Time // by peer: up to when it has answered for what it did
	leaderlessSince    map[string]time.Time // shards without a leader, since when
	peerReachableSince map[string]time.Time // living controllers that workers reach, since when
	peerAbsentSince    map[string]time.Time // controllers that have not registered, since when
	rateSharers        int                  // controllers that share the state service's rates
	contact            workerContact
}

// machineCatalog is what the cloud offers.
type machineCatalog struct {
	node *nodeInfo

	machineTypes     []cloud.MachineType
	capacityBackoffs map[string]capacityBackoff // by offer, when it may be asked for again
}

// agentRegistry is what this controller knows of the workers of the shards that it leads.
type agentRegistry struct {
	node       *nodeInfo
	cache      *replica
	leadership *leadershipTable
	catalog    *machineCatalog
	wake       signal

	byHost                map[string]*shard.Agent
	unregistered          map[string]shard.Machine // machines without a record, to be registered
	listedByCloud         map[string]bool          // machines in the cloud's newest list
	provisioning          map[string]bool          // those that it shows as starting
	heartbeatRequests     map[string]bool          // machines whose tasks have changed since their leader last looked
	runningGangs          map[string]uint64        // by gang, the attempt that was seen running here
	fenceSlots            chan struct{}            // bounds fences under way
	heartbeatRequestSlots chan struct{}            // bounds requests for a heartbeat under way: fences of machines that are cut off must not hold them up
}

// machineRoom is what is placed on machines and what room they have left.
type machineRoom struct {
	node       *nodeInfo
	cache      *replica
	leadership *leadershipTable
	catalog    *machineCatalog
	agents     *agentRegistry
}

// runEstimates is how long tasks run and how long jobs may take.
type runEstimates struct {
	node *nodeInfo

	runtimeBias map[string]float64 // by class, run times against estimates
}

// zoneState is what this controller sees of zones.
type zoneState struct {
	node       *nodeInfo
	cache      *replica
	schema     *schemaState
	leadership *leadershipTable
	catalog    *machineCatalog
	agents     *agentRegistry

	view zoneView
}

// capacityAccounts is what shards offer and what teams use of their limits.
type capacityAccounts struct {
	node       *nodeInfo
	cache      *replica
	schema     *schemaState
	leadership *leadershipTable
	catalog    *machineCatalog
	room       *machineRoom

	arrivals       map[string][]arrival // by class, the recent ones
	demand         peerDemand
	quotaShortages map[string]bool // teams whose limit left too little for a placement
}

// schedulerState is what the scheduler remembers between plans.
type schedulerState struct {
	node       *nodeInfo
	cache      *replica
	schema     *schemaState
	leadership *leadershipTable
	catalog    *machineCatalog
	agents     *agentRegistry
	room       *machineRoom
	estimates  *runEstimates
	zones      *zoneState
	capacity   *capacityAccounts
	wake       signal

	gangStates     map[string]*gangState
	gangsToRelease map[string]bool      // gangs whose claims are to be released
	retryAt        map[string]time.Time // jobs that failed, when they are tried again
	errorsSeen     map[string]int
	lastPlan       lastPlan      // for the next round of rentals
	planningTime   time.Duration // processor time of plans since the last decision
}

// autoscalerState is what the autoscaler remembers between rounds.
type autoscalerState struct {
	node       *nodeInfo
	cache      *replica
	leadership *leadershipTable
	catalog    *machineCatalog
	agents     *agentRegistry
	room       *machineRoom
	estimates  *runEstimates
	zones      *zoneState
	capacity   *capacityAccounts
	scheduler  *schedulerState
	wake       signal

	sufficientHeadroom sufficientHeadroom
	scaleInCheckedAt   time.Time // when machines were last looked over for scale-in
	migratedAt         time.Time // when replicas were last migrated to save a machine
}

// finalStateCache keeps how jobs ended, the newest ones.
type finalStateCache struct {
	node *nodeInfo

	byJob map[string]job.FinalState
	order []string // oldest first
}

// recordSplitter splits records that outgrow the limits, and collects what is left of them.
type recordSplitter struct {
	node       *nodeInfo
	cache      *replica
	schema     *schemaState
	leadership *leadershipTable

	splitAt, garbageCollectedAt time.Time
}

// heartbeatReconciler compares what workers report with what is committed for them.
type heartbeatReconciler struct {
	node       *nodeInfo
	cache      *replica
	leadership *leadershipTable
	catalog    *machineCatalog
	agents     *agentRegistry
	estimates  *runEstimates
	zones      *zoneState
	wake       signal
}

// decisionStats is what decisions count and when they last did what is not done each time.
type decisionStats struct {
	commits        map[string]commitStats // by what they were for, since the last summary
	deregisteredAt time.Time              // when machines were last deregistered
}

// controllerState is all that the controller's lock guards.
type controllerState struct {
	node         *nodeInfo
	cache        *replica
	wake         signal
	schema       *schemaState
	leadership   *leadershipTable
	catalog      *machineCatalog
	agents       *agentRegistry
	room         *machineRoom
	estimates    *runEstimates
	zones        *zoneState
	capacity     *capacityAccounts
	scheduler    *schedulerState
	autoscaler   *autoscalerState
	finalStates  *finalStateCache
	splitter     *recordSplitter
	reconciler   *heartbeatReconciler
	stats        decisionStats
	reachability reachability
}

// newControllerState makes the state of a controller that has read nothing yet.
func newControllerState(node *nodeInfo, wake signal, budget writeBudget) *controllerState {
	cache := newReplica(node.log)
	schema := newSchemaState(node, cache, budget)
	leadership := newLeadershipTable(node, cache, schema)
	catalog := newMachineCatalog(node)
	agents := newAgentRegistry(agentDeps{node: node, cache: cache, leadership: leadership, catalog: catalog, wake: wake})
	room := newMachineRoom(roomDeps{node: node, cache: cache, leadership: leadership, catalog: catalog, agents: agents})
	estimates := newRunEstimates(node)
	zones := newZoneState(zoneDeps{
		node: node, cache: cache, schema: schema, leadership: leadership, catalog: catalog, agents: agents,
	})
	capacity := newCapacityAccounts(accountDeps{
		node: node, cache: cache, schema: schema, leadership: leadership, catalog: catalog, room: room,
	})
	scheduler := newScheduler(schedulerDeps{
		node: node, cache: cache, schema: schema, leadership: leadership, catalog: catalog, agents: agents,
		room: room, estimates: estimates, zones: zones, capacity: capacity, wake: wake,
	})
	s := &controllerState{
		node: node, cache: cache, wake: wake, schema: schema, leadership: leadership, catalog: catalog, agents: agents,
		room: room, estimates: estimates, zones: zones, capacity: capacity, scheduler: scheduler,
		autoscaler: newAutoscaler(autoscalerDeps{
			node: node, cache: cache, leadership: leadership, catalog: catalog, agents: agents, room: room,
			estimates: estimates, zones: zones, capacity: capacity, scheduler: scheduler, wake: wake,
		}),
		finalStates: newFinalStateCache(node),
		splitter:    newRecordSplitter(node, cache, schema, leadership),
		reconciler: newHeartbeatReconciler(reconcilerDeps{
			node: node, cache: cache, leadership: leadership, catalog: catalog, agents: agents,
			estimates: estimates, zones: zones, wake: wake,
		}),
		stats:        decisionStats{commits: map[string]commitStats{}},
		reachability: reachability{storeReachable: true, peers: map[string]bool{}},
	}
	cache.observe(s)
	return s
}

// JobAdded notes a job that has appeared, for what is expected of its class.
func (s *controllerState) JobAdded(record *job.Record) { s.capacity.noteArrival(record) }

// JobEnded remembers how a job ended.
func (s *controllerState) JobEnded(uid string, final job.FinalState) {
	s.finalStates.remember(uid, final)
}

// TasksChanged notes a machine where tasks were placed or are to stop.
func (s *controllerState) TasksChanged(host string) { s.agents.heartbeatRequests[host] = true }

func newSchemaState(node *nodeInfo, cache *replica, budget writeBudget) *schemaState {
	return &schemaState{node: node, cache: cache, budget: budget, splitRequests: map[string]int{}}
}

func newMachineCatalog(node *nodeInfo) *machineCatalog {
	return &machineCatalog{node: node, capacityBackoffs: map[string]capacityBackoff{}}
}

// roomDeps is what a machineRoom rests on.
type roomDeps struct {
	node       *nodeInfo
	cache      *replica
	leadership *leadershipTable
	catalog    *machineCatalog
	agents     *agentRegistry
}

func newMachineRoom(d roomDeps) *machineRoom {
	return &machineRoom{node: d.node, cache: d.cache, leadership: d.leadership, catalog: d.catalog, agents: d.agents}
}

func newRunEstimates(node *nodeInfo) *runEstimates {
	return &runEstimates{node: node, runtimeBias: map[string]float64{}}
}

// zoneDeps is what a zoneState rests on.
type zoneDeps struct {
	node       *nodeInfo
	cache      *replica
	schema     *schemaState
	leadership *leadershipTable
	catalog    *machineCatalog
	agents     *agentRegistry
}

func newZoneState(d zoneDeps) *zoneState {
	return &zoneState{
		node: d.node, cache: d.cache, schema: d.schema, leadership: d.leadership, catalog: d.catalog, agents: d.agents,
	}
}

// accountDeps is what capacityAccounts rest on.
type accountDeps struct {
	node       *nodeInfo
	cache      *replica
	schema     *schemaState
	leadership *leadershipTable
	catalog    *machineCatalog
	room       *machineRoom
}

func newCapacityAccounts(d accountDeps) *capacityAccounts {
	return &capacityAccounts{
		node: d.node, cache: d.cache, schema: d.schema, leadership: d.leadership, catalog: d.catalog, room: d.room,
		arrivals: map[string][]arrival{}, quotaShortages: map[string]bool{},
	}
}

// schedulerDeps is what a scheduler rests on.
type schedulerDeps struct {
	node       *nodeInfo
	cache      *replica
	schema     *schemaState
	leadership *leadershipTable
	catalog    *machineCatalog
	agents     *agentRegistry
	room       *machineRoom
	estimates  *runEstimates
	zones      *zoneState
	capacity   *capacityAccounts
	wake       signal
}

func newScheduler(d schedulerDeps) *schedulerState {
	return &schedulerState{
		node: d.node, cache: d.cache, schema: d.schema, leadership: d.leadership, catalog: d.catalog, agents: d.agents,
		room: d.room, estimates: d.estimates, zones: d.zones, capacity: d.capacity, wake: d.wake,
		gangStates: map[string]*gangState{}, gangsToRelease: map[string]bool{},
		retryAt: map[string]time.Time{}, errorsSeen: map[string]int{},
	}
}

// autoscalerDeps is what an autoscaler rests on.
type autoscalerDeps struct {
	node       *nodeInfo
	cache      *replica
	leadership *leadershipTable
	catalog    *machineCatalog
	agents     *agentRegistry
	room       *machineRoom
	estimates  *runEstimates
	zones      *zoneState
	capacity   *capacityAccounts
	scheduler  *schedulerState
	wake       signal
}

func newAutoscaler(d autoscalerDeps) *autoscalerState {
	return &autoscalerState{
		node: d.node, cache: d.cache, leadership: d.leadership, catalog: d.catalog, agents: d.agents, room: d.room,
		estimates: d.estimates, zones: d.zones, capacity: d.capacity, scheduler: d.scheduler, wake: d.wake,
	}
}

func newFinalStateCache(node *nodeInfo) *finalStateCache {
	return &finalStateCache{node: node, byJob: map[string]job.FinalState{}}
}

func newRecordSplitter(
	node *nodeInfo, cache *replica, schema *schemaState, leadership *leadershipTable,
) *recordSplitter {
	return &recordSplitter{node: node, cache: cache, schema: schema, leadership: leadership}
}

// reconcilerDeps is what a heartbeatReconciler rests on.
type reconcilerDeps struct {
	node       *nodeInfo
	cache      *replica
	leadership *leadershipTable
	catalog    *machineCatalog
	agents     *agentRegistry
	estimates  *runEstimates
	zones      *zoneState
	wake       signal
}

func newHeartbeatReconciler(d reconcilerDeps) *heartbeatReconciler {
	return &heartbeatReconciler{
		node: d.node, cache: d.cache, leadership: d.leadership, catalog: d.catalog, agents: d.agents,
		estimates: d.estimates, zones: d.zones, wake: d.wake,
	}
}

// agentDeps is what an agentRegistry rests on.
type agentDeps struct {
	node       *nodeInfo
	cache      *replica
	leadership *leadershipTable
	catalog    *machineCatalog
	wake       signal
}

func newLeadershipTable(node *nodeInfo, cache *replica, schema *schemaState) *leadershipTable {
	return &leadershipTable{
		node: node, cache: cache, schema: schema,
		byShard:            map[string]*leadership{},
		acknowledgedUntil:  map[string]time.Time{},
		leaderlessSince:    map[string]time.Time{},
		peerReachableSince: map[string]time.Time{},
		peerAbsentSince:    map[string]time.Time{},
		rateSharers:        node.settings.Facts.Size,
	}
}

func newAgentRegistry(d agentDeps) *agentRegistry {
	sockets := d.node.settings.Facts.Limits.MaxSockets
	return &agentRegistry{
		node: d.node, cache: d.cache, leadership: d.leadership, catalog: d.catalog, wake: d.wake,
		byHost:                map[string]*shard.Agent{},
		unregistered:          map[string]shard.Machine{},
		heartbeatRequests:     map[string]bool{},
		runningGangs:          map[string]uint64{},
		fenceSlots:            make(chan struct{}, max(8, sockets/16)),
		heartbeatRequestSlots: make(chan struct{}, max(8, sockets/32)),
	}
}
