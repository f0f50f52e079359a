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

// State is all that the controller's lock guards, lower layers first: each part knows only
// those above it in this list. Use New.
type State struct {
	Cache          *statecache.Cache      // live records of the state service
	Schema         *schema.State          // forms and sizes in which records may be written
	Leadership     *leadership.Table      // shards that this controller leads
	Catalog        *catalog.Catalog       // what the cloud offers
	Agents         *agent.Registry        // workers of the shards that this controller leads
	DirectCommands *agent.DirectCommands  // what is sent to workers beside their heartbeats
	FreeCapacity   *capacity.Room         // what machines have free
	Zones          *zonestate.Zones       // health of zones
	Capacity       *capacity.Accounts     // capacity records and quotas
	Scheduler      *scheduler.Scheduler   // plans
	Autoscaler     *autoscaler.Autoscaler // rentals and returns
	Reconciler     *reconcile.Reconciler  // answers to heartbeats
	Splitter       *splitter.Splitter     // records that outgrow the limits
	FinalStates    *finalstate.Cache      // how jobs ended

	Stats        Stats
	Reachability Reachability
}

// New makes the state of a controller that has read nothing yet. The state gives wake when
// there is something to decide.
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
	s.addMachines(info, wake)
	s.addDecisions(info, wake)
	s.Cache.SetObserver(s)
	return s
}

// addMachines adds what is known of machines.
func (s *State) addMachines(info *node.Info, wake notify.Signal) {
	s.Agents = agent.NewRegistry(agent.Deps{
		Node: info, Cache: s.Cache, Leadership: s.Leadership, Catalog: s.Catalog, Wake: wake,
	})
	s.DirectCommands = agent.NewDirectCommands(s.Agents)
	s.FreeCapacity = capacity.NewRoom(capacity.RoomDeps{
		Node: info, Cache: s.Cache, Leadership: s.Leadership, Catalog: s.Catalog, Agents: s.Agents,
	})
	s.Zones = zonestate.New(zonestate.Deps{
		Node: info, Cache: s.Cache, Schema: s.Schema, Leadership: s.Leadership, Catalog: s.Catalog, Agents: s.Agents,
	})
	s.Capacity = capacity.NewAccounts(capacity.AccountDeps{
		Node: info, Cache: s.Cache, Schema: s.Schema, Leadership: s.Leadership, Catalog: s.Catalog, Room: s.FreeCapacity,
	})
}

// addDecisions adds what decides.
func (s *State) addDecisions(info *node.Info, wake notify.Signal) {
	estimates := estimate.New(info)
	s.Scheduler = scheduler.New(scheduler.Deps{
		Node: info, Cache: s.Cache, Schema: s.Schema, Leadership: s.Leadership, Catalog: s.Catalog, Agents: s.Agents,
		FreeCapacity: s.FreeCapacity, Estimates: estimates, Zones: s.Zones, Accounts: s.Capacity, Wake: wake,
	})
	s.Autoscaler = autoscaler.New(autoscaler.Deps{
		Node: info, Cache: s.Cache, Leadership: s.Leadership, Catalog: s.Catalog, Agents: s.Agents,
		Commands: s.DirectCommands, Room: s.FreeCapacity, Estimates: estimates, Zones: s.Zones, Capacity: s.Capacity,
		Scheduler: s.Scheduler, Wake: wake,
	})
	s.Reconciler = reconcile.New(reconcile.Deps{
		Node: info, Cache: s.Cache, Leadership: s.Leadership, Catalog: s.Catalog, Agents: s.Agents,
		Estimates: estimates, Zones: s.Zones, Wake: wake,
	})
}

// JobAdded implements statecache.Observer: arrivals tell what is expected of their class.
func (s *State) JobAdded(record *job.Record) { s.Capacity.Arrivals().Note(record) }

// JobEnded implements statecache.Observer: users ask how their jobs ended.
func (s *State) JobEnded(uid string, final job.FinalState) { s.FinalStates.Add(uid, final) }

// TasksChanged implements statecache.Observer: the machine's worker has something to be told.
func (s *State) TasksChanged(host string) { s.DirectCommands.RequestHeartbeat(host) }

// DropFinishedJobs drops what is remembered of jobs that are over.
func (s *State) DropFinishedJobs() {
	s.Scheduler.DropFinishedJobs()
	s.Agents.Gangs().DropEnded()
}
