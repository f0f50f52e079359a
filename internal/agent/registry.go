package agent

import (
	"violetturn/internal/catalog"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// Drop removes the view of a machine's worker.
func (reg *Registry) Drop(host string) {
	delete(reg.ByHost, host)
	reg.cache.InvalidateLoad(host)
}

// Of returns the view of the worker of a machine of an own shard, a new one under a new term.
func (reg *Registry) Of(host string, o *leadership.Leadership) *Agent {
	s := reg.ByHost[host]
	if s == nil || s.Term != o.Term {
		s = New(o.Term, reg.node.Now(), o.PredecessorAnswersUntil)
		reg.ByHost[host] = s
		reg.cache.InvalidateLoad(host)
	}
	return s
}

// Registry is what this controller knows of the workers of the shards that it leads.
type Registry struct {
	node       *node.Info
	cache      *statecache.Cache
	leadership *leadership.Table
	catalog    *catalog.Catalog
	wake       notify.Signal

	ByHost                map[string]*Agent
	Unregistered          map[string]shard.Machine // machines without a record, to be registered
	ListedByCloud         map[string]bool          // machines in the cloud's newest list
	Provisioning          map[string]bool          // those that it shows as starting
	HeartbeatRequests     map[string]bool          // machines whose tasks have changed since their leader last looked
	RunningGangs          map[string]uint64        // by gang, the attempt that was seen running here
	fenceSlots            chan struct{}            // bounds fences under way
	heartbeatRequestSlots chan struct{}            // bounds requests for a heartbeat under way: fences of machines that are cut off must not hold them up
}

// Deps is what an agentRegistry rests on.
type Deps struct {
	Node       *node.Info
	Cache      *statecache.Cache
	Leadership *leadership.Table
	Catalog    *catalog.Catalog
	Wake       notify.Signal
}

func NewRegistry(d Deps) *Registry {
	sockets := d.Node.Settings.Facts.Limits.MaxSockets
	return &Registry{
		node: d.Node, cache: d.Cache, leadership: d.Leadership, catalog: d.Catalog, wake: d.Wake,
		ByHost:                map[string]*Agent{},
		Unregistered:          map[string]shard.Machine{},
		HeartbeatRequests:     map[string]bool{},
		RunningGangs:          map[string]uint64{},
		fenceSlots:            make(chan struct{}, max(8, sockets/16)),
		heartbeatRequestSlots: make(chan struct{}, max(8, sockets/32)),
	}
}

// DropLostLeaderships ends the leaderships that the replica shows as another's, and drops the
// agents of their shards.
func (reg *Registry) DropLostLeaderships() {
	for _, shard := range reg.leadership.EndLost() {
		reg.dropAgentsOf(shard)
	}
}

// DropAll drops all agents, as after the loss of the lease.
func (reg *Registry) DropAll() {
	clear(reg.ByHost)
	reg.cache.InvalidateLoads()
}
