package state

import (
	"violetturn/internal/agent"
	"violetturn/internal/autoscaler"
	"violetturn/internal/capacity"
	"violetturn/internal/catalog"
	"violetturn/internal/estimate"
	"violetturn/internal/finalstate"
	"violetturn/internal/job"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/reconcile"
	"violetturn/internal/scheduler"
	"violetturn/internal/schema"
	"violetturn/internal/splitter"
	"violetturn/internal/statecache"
	"violetturn/internal/zonestate"
)

// State is all the state that the controller's lock guards. Each component depends only on those
// that are listed before it. Create it with New.
type State struct {
	Cache              *statecache.Cache      // live records of the state service
	Schema             *schema.State          // permitted formats and sizes of records
	Leadership         *leadership.Table      // shards that this controller leads
	Catalog            *catalog.Catalog       // machine types that the cloud offers
	Agents             *agent.Registry        // workers of the shards that this controller leads
	DirectCommands     *agent.DirectCommands  // commands sent to workers outside of heartbeat responses
	CapacityCalculator *capacity.Calculator   // free capacity of machines
	Zones              *zonestate.Zones       // health of zones
	Accounting         *capacity.Accounting   // capacity records and quotas
	Scheduler          *scheduler.Scheduler   // placement of tasks
	Autoscaler         *autoscaler.Autoscaler // rentals and returns of machines
	Reconciler         *reconcile.Reconciler  // responses to heartbeats
	Splitter           *splitter.Splitter     // splits of records that exceed the limits
	FinalStates        *finalstate.Cache      // final states of finished jobs

	Stats        Stats
	Reachability Reachability
}

// New returns the state of a controller that has read no records yet. The state notifies wake when
// a new decision may be necessary.
func New(info *node.Info, wake notify.Signal, budget schema.WriteBudget) *State {
	s := &State{
		Cache:        statecache.New(info.Log),
		Catalog:      catalog.New(info),
		FinalStates:  finalstate.New(info),
		Stats:        Stats{Commits: map[string]CommitStats{}},
		Reachability: Reachability{StoreReachable: true, StoreReachableByPeer: map[string]bool{}},
	}
	s.Schema = schema.New(info, s.Cache, budget)
	s.Leadership = leadership.NewTable(info, s.Cache, s.Schema)
	s.Splitter = splitter.New(info, s.Cache, s.Schema, s.Leadership)
	s.addMachineState(info, wake)
	s.addDecisionMakers(info, wake)
	s.Cache.SetObserver(s)
	return s
}

// addMachineState creates the components that keep the state of machines and zones.
func (s *State) addMachineState(info *node.Info, wake notify.Signal) {
	s.Agents = agent.NewRegistry(agent.Deps{
		Node: info, Cache: s.Cache, Leadership: s.Leadership, Catalog: s.Catalog, Wake: wake,
	})
	s.DirectCommands = agent.NewDirectCommands(s.Agents)
	s.CapacityCalculator = capacity.NewCalculator(capacity.CalculatorDeps{
		Node: info, Cache: s.Cache, Leadership: s.Leadership, Catalog: s.Catalog, Agents: s.Agents,
	})
	s.Zones = zonestate.New(zonestate.Deps{
		Node: info, Cache: s.Cache, Schema: s.Schema, Leadership: s.Leadership, Catalog: s.Catalog, Agents: s.Agents,
	})
	s.Accounting = capacity.NewAccounting(capacity.AccountingDeps{
		Node: info, Cache: s.Cache, Schema: s.Schema, Leadership: s.Leadership, Catalog: s.Catalog, Calculator: s.CapacityCalculator,
	})
}

// addDecisionMakers creates the components that make decisions.
func (s *State) addDecisionMakers(info *node.Info, wake notify.Signal) {
	estimates := estimate.New(info)
	s.Scheduler = scheduler.New(scheduler.Deps{
		Node: info, Cache: s.Cache, Schema: s.Schema, Leadership: s.Leadership, Catalog: s.Catalog, Agents: s.Agents,
		CapacityCalculator: s.CapacityCalculator, Estimates: estimates, Zones: s.Zones, Accounting: s.Accounting, Wake: wake,
	})
	s.Autoscaler = autoscaler.New(autoscaler.Deps{
		Node: info, Cache: s.Cache, Leadership: s.Leadership, Catalog: s.Catalog, Agents: s.Agents,
		Commands: s.DirectCommands, CapacityCalculator: s.CapacityCalculator, Estimates: estimates, Zones: s.Zones,
		Accounting: s.Accounting, Scheduler: s.Scheduler, Wake: wake,
	})
	s.Reconciler = reconcile.New(reconcile.Deps{
		Node: info, Cache: s.Cache, Leadership: s.Leadership, Catalog: s.Catalog, Agents: s.Agents,
		Estimates: estimates, Zones: s.Zones, Wake: wake,
	})
}

// JobAdded implements statecache.Observer. It records the arrival, from which future arrivals of
// the job's class are estimated.
func (s *State) JobAdded(record *job.Record) { s.Accounting.Arrivals().Record(record) }

// JobEnded implements statecache.Observer. It caches the final state of the job for users' queries.
func (s *State) JobEnded(uid string, final job.FinalState) { s.FinalStates.Add(uid, final) }

// TasksChanged implements statecache.Observer. It requests an early heartbeat from the machine's
// worker, whose response contains the new commands.
func (s *State) TasksChanged(host string) { s.DirectCommands.RequestHeartbeat(host) }

// RemoveFinishedJobs removes the in-memory state of finished jobs.
func (s *State) RemoveFinishedJobs() {
	s.Scheduler.RemoveFinishedJobs()
	s.Agents.Gangs().RemoveEnded()
}
