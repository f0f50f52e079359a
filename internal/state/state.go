package state

import (
	"time"

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

// CommitStats counts transactions for the log's summary.
type CommitStats struct{ Transactions, Writes, Conflicts, ConflictedWrites, Failed int }

// Reachability is what a node knows of the state service and of its peers' sight of
// it. A node can't tell an outage from a refusal of itself alone; peers can.
type Reachability struct {
	StoreReachable bool            // our last request was served
	Since          time.Time       // since when that is so
	PeersAsked     bool            // the peers have been asked since
	Peers          map[string]bool // peers that answer, and whether they reach the state service
}

// Stats is what decisions count and when they last did what is not done each time.
type Stats struct {
	Commits        map[string]CommitStats // by what they were for, since the last summary
	DeregisteredAt time.Time              // when machines were last deregistered
}

// State is all that the controller's lock guards.
type State struct {
	Node         *node.Info
	Cache        *statecache.Cache
	wake         notify.Signal
	Schema       *schema.State
	Leadership   *leadership.Table
	Catalog      *catalog.Catalog
	Agents       *agent.Registry
	Room         *capacity.Room
	estimates    *estimate.Estimates
	Zones        *zonestate.Zones
	Capacity     *capacity.Accounts
	Scheduler    *scheduler.Scheduler
	Autoscaler   *autoscaler.Autoscaler
	FinalStates  *finalstate.Cache
	Splitter     *splitter.Splitter
	Reconciler   *reconcile.Reconciler
	Stats        Stats
	Reachability Reachability
}

// New makes the state of a controller that has read nothing yet.
func New(node *node.Info, wake notify.Signal, budget schema.WriteBudget) *State {
	cache := statecache.New(node.Log)
	schema := schema.New(node, cache, budget)
	leadership := leadership.NewTable(node, cache, schema)
	catalog := catalog.New(node)
	agents := agent.NewRegistry(agent.Deps{Node: node, Cache: cache, Leadership: leadership, Catalog: catalog, Wake: wake})
	room := capacity.NewRoom(capacity.RoomDeps{Node: node, Cache: cache, Leadership: leadership, Catalog: catalog, Agents: agents})
	estimates := estimate.New(node)
	zones := zonestate.New(zonestate.Deps{
		Node: node, Cache: cache, Schema: schema, Leadership: leadership, Catalog: catalog, Agents: agents,
	})
	capacity := capacity.NewAccounts(capacity.AccountDeps{
		Node: node, Cache: cache, Schema: schema, Leadership: leadership, Catalog: catalog, Room: room,
	})
	scheduler := scheduler.New(scheduler.Deps{
		Node: node, Cache: cache, Schema: schema, Leadership: leadership, Catalog: catalog, Agents: agents,
		Room: room, Estimates: estimates, Zones: zones, Capacity: capacity, Wake: wake,
	})
	s := &State{
		Node: node, Cache: cache, wake: wake, Schema: schema, Leadership: leadership, Catalog: catalog, Agents: agents,
		Room: room, estimates: estimates, Zones: zones, Capacity: capacity, Scheduler: scheduler,
		Autoscaler: autoscaler.New(autoscaler.Deps{
			Node: node, Cache: cache, Leadership: leadership, Catalog: catalog, Agents: agents, Room: room,
			Estimates: estimates, Zones: zones, Capacity: capacity, Scheduler: scheduler, Wake: wake,
		}),
		FinalStates: finalstate.New(node),
		Splitter:    splitter.New(node, cache, schema, leadership),
		Reconciler: reconcile.New(reconcile.Deps{
			Node: node, Cache: cache, Leadership: leadership, Catalog: catalog, Agents: agents,
			Estimates: estimates, Zones: zones, Wake: wake,
		}),
		Stats:        Stats{Commits: map[string]CommitStats{}},
		Reachability: Reachability{StoreReachable: true, Peers: map[string]bool{}},
	}
	cache.Observe(s)
	return s
}

// JobAdded notes a job that has appeared, for what is expected of its class.
func (s *State) JobAdded(record *job.Record) { s.Capacity.Arrivals().Note(record) }

// JobEnded remembers how a job ended.
func (s *State) JobEnded(uid string, final job.FinalState) {
	s.FinalStates.Remember(uid, final)
}

// TasksChanged notes a machine where tasks were placed or are to stop.
func (s *State) TasksChanged(host string) { s.Agents.HeartbeatRequests[host] = true }
