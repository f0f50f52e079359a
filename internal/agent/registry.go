package agent

import (
	"iter"
	"maps"

	"violetturn/internal/catalog"
	"violetturn/internal/leadership"
	"violetturn/internal/logkey"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/statecache"
)

// Registry holds this controller's state about the workers of the shards that it leads.
//
// There is at most one agent per machine, of the term of the shard's current leadership: Ensure
// replaces an agent of an earlier term. The lock of internal/state guards it.
type Registry struct {
	node       *node.Info
	cache      *statecache.Cache
	leadership *leadership.Table
	catalog    *catalog.Catalog
	wake       notify.Signal // wakes the decision loop

	agents       map[string]*Agent // by machine
	unregistered *UnregisteredMachines
	listing      *CloudListing
	gangs        *RunningGangs
}

// Deps are the dependencies of a Registry.
type Deps struct {
	Node       *node.Info
	Cache      *statecache.Cache
	Leadership *leadership.Table
	Catalog    *catalog.Catalog
	Wake       notify.Signal
}

// NewRegistry creates a registry without any agents.
func NewRegistry(deps Deps) *Registry {
	r := &Registry{
		node: deps.Node, cache: deps.Cache, leadership: deps.Leadership, catalog: deps.Catalog, wake: deps.Wake,
		agents:       map[string]*Agent{},
		unregistered: newUnregisteredMachines(deps.Cache, deps.Wake),
		gangs:        &RunningGangs{cache: deps.Cache, attempts: map[string]uint64{}},
	}
	r.listing = newCloudListing(r)
	return r
}

// Unregistered returns the machines that have no record yet.
func (r *Registry) Unregistered() *UnregisteredMachines { return r.unregistered }

// Listing returns the newest list of machines from the cloud.
func (r *Registry) Listing() *CloudListing { return r.listing }

// Gangs returns which gangs were reported as running.
func (r *Registry) Gangs() *RunningGangs { return r.gangs }

// Agent returns the agent of a machine, of any term; nil if there is none.
func (r *Registry) Agent(host string) *Agent { return r.agents[host] }

// All returns all agents by machine, of any term, in no particular order.
func (r *Registry) All() iter.Seq2[string, *Agent] { return maps.All(r.agents) }

// Ensure returns the agent of a machine under a leadership of its shard. It creates the agent if
// there is none or the present one has another term.
func (r *Registry) Ensure(host string, leadership *leadership.Leadership) *Agent {
	agent := r.agents[host]
	if agent == nil || agent.Term != leadership.Term {
		agent = New(leadership.Term, r.node.Now(), leadership.PredecessorAnswersUntil)
		r.agents[host] = agent
		r.cache.InvalidateLoad(host)
	}
	return agent
}

// Remove removes a machine's agent.
func (r *Registry) Remove(host string) {
	delete(r.agents, host)
	r.cache.InvalidateLoad(host)
}

// MarkTerminated records that the cloud has confirmed the termination of a machine.
func (r *Registry) MarkTerminated(host string) {
	if agent := r.agents[host]; agent != nil {
		agent.Terminated = true
	}
}

// RemoveAll removes all agents, as required when the lease is lost.
func (r *Registry) RemoveAll() {
	clear(r.agents)
	r.cache.InvalidateLoads()
}

// AcquiredShard is a shard whose acquisition was committed.
type AcquiredShard struct {
	Shard               string
	Term                uint64
	PredecessorsStopped bool // no earlier leader can still be answering workers
	HadLeader           bool // the shard had a leader until this acquisition
}

// BeginLeadership begins the leadership of a shard that was acquired, with an agent for each of its
// machines. It returns false and does nothing if the shard or the lease has been lost since.
func (r *Registry) BeginLeadership(acquired AcquiredShard) bool {
	shard, now := acquired.Shard, r.node.Now()
	leader := r.cache.Leaders[shard]
	if leader.Record == nil || leader.Record.Term != acquired.Term || r.leadership.LeaseID() == 0 {
		return false
	}
	r.EndLeadership(shard)
	newLeadership := &leadership.Leadership{Term: acquired.Term, Version: leader.Version, PredecessorAnswersUntil: now}
	if !acquired.PredecessorsStopped {
		newLeadership.PredecessorAnswersUntil = now.Add(r.node.Settings.LeadershipGracePeriod())
	}
	r.leadership.Begin(shard, newLeadership)
	r.node.Log.Info("shard acquired", logkey.Shard(shard), logkey.Term(acquired.Term),
		logkey.HadLeader(acquired.HadLeader), logkey.PredecessorsStopped(acquired.PredecessorsStopped))
	for host, machine := range r.cache.Machines {
		if machine.Shard == shard {
			r.Ensure(host, newLeadership)
		}
	}
	r.wake.Notify()
	return true
}

// EndLeadership ends the leadership of a shard and removes its agents.
func (r *Registry) EndLeadership(shard string) {
	r.leadership.End(shard)
	r.removeAgentsOf(shard)
}

// EndLostLeaderships ends the leaderships of the shards that are no longer led by this incarnation
// of the controller according to the cache, and removes the agents of these shards.
func (r *Registry) EndLostLeaderships() {
	for _, shard := range r.leadership.EndLost() {
		r.removeAgentsOf(shard)
	}
}

// removeAgentsOf removes the agents of a shard, and those of machines without a record.
func (r *Registry) removeAgentsOf(shard string) {
	for host := range r.agents {
		if machine := r.cache.Machines[host]; machine == nil || machine.Shard == shard {
			r.Remove(host)
		}
	}
}
