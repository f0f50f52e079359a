package agent

import (
	"time"

	"violetturn/internal/api"
)

// Bounds of the direct commands under way, as parts of the sockets that the process may have.
// Fences and requests for a heartbeat have bounds of their own: fences of machines that a
// network partition cuts off hang until their deadline, and must not hold up the requests.
const (
	minSlots          = 8
	socketsPerFence   = 16
	socketsPerRequest = 32
	anyAgentEpoch     = 1 // a worker of another agent epoch refuses the commands and names its own
)

// DirectCommands prepares what is sent to workers beside their heartbeats: fences, commands
// that have a worker send a heartbeat at once, and probes of whether workers hear this node. Each
// command holds a slot from when it is prepared until
// Release. The lock of internal/state guards it.
type DirectCommands struct {
	registry     *Registry
	requested    map[string]bool // machines whose tasks have changed since their leader last looked
	fenceSlots   chan struct{}
	requestSlots chan struct{}
}

// NewDirectCommands makes the preparation of direct commands for a registry's workers.
func NewDirectCommands(registry *Registry) *DirectCommands {
	sockets := registry.node.Settings.Facts.Limits.MaxSockets
	return &DirectCommands{
		registry:     registry,
		requested:    map[string]bool{},
		fenceSlots:   make(chan struct{}, max(minSlots, sockets/socketsPerFence)),
		requestSlots: make(chan struct{}, max(minSlots, sockets/socketsPerRequest)),
	}
}

// DirectCommand is a batch of commands for one worker, to be sent to its address beside its
// heartbeats.
type DirectCommand struct {
	Host  string
	Addr  string
	Term  uint64
	Batch api.CommandBatch

	slots chan struct{} // one of them is held
}

// Release releases the command's slot, once the command was answered or given up. It may be
// called without the lock.
func (c *DirectCommand) Release() { <-c.slots }

// PrepareFence prepares the command that tells a worker our fencing token directly, so that an
// earlier leader's answers are dropped from then on; its answer shows what runs there. It returns
// nil if the worker has seen this term, was sent a command a moment ago, or no slot is free.
func (d *DirectCommands) PrepareFence(host string) *DirectCommand {
	agent := d.registry.agents[host]
	if agent == nil || agent.Fenced() {
		return nil
	}
	if d.registry.node.Now().Sub(agent.LastCommandAt) < d.registry.node.Settings.HeartbeatInterval() {
		return nil
	}
	return d.prepare(host, d.fenceSlots, api.CommandBatch{AgentEpoch: anyAgentEpoch, Commands: []api.Command{}})
}

// PrepareShardFences prepares the fences of a shard's workers, as many as there are free slots.
func (d *DirectCommands) PrepareShardFences(shard string) []*DirectCommand {
	var fences []*DirectCommand
	for host, machine := range d.registry.cache.Machines {
		if machine.Shard != shard {
			continue
		}
		if fence := d.PrepareFence(host); fence != nil {
			fences = append(fences, fence)
		}
	}
	return fences
}

// prepare prepares commands that may be executed at any later time. It returns nil if
// the worker can't be addressed or no slot is free: the next round asks again.
func (d *DirectCommands) prepare(host string, slots chan struct{}, batch api.CommandBatch) *DirectCommand {
	machine, agent := d.registry.cache.Machines[host], d.registry.agents[host]
	if machine == nil || machine.Addr == "" || agent == nil {
		return nil
	}
	select {
	case slots <- struct{}{}:
	default:
		return nil
	}
	agent.LastCommandAt = d.registry.node.Now()
	batch.Token = agent.Token()
	return &DirectCommand{Host: host, Addr: machine.Addr, Term: agent.Term, Batch: batch, slots: slots}
}

// RequestHeartbeat has a worker send a heartbeat soon if its tasks, which have changed, can't
// wait for the next one.
func (d *DirectCommands) RequestHeartbeat(host string) { d.requested[host] = true }

// DueHeartbeatRequests prepares the commands that have workers send a heartbeat now, as many
// as there are free slots: the others follow in the next round.
func (d *DirectCommands) DueHeartbeatRequests(now time.Time) []*DirectCommand {
	if !d.registry.leadership.MayAct(now) {
		return nil
	}
	var due []*DirectCommand
	for host := range d.requested {
		batch, wanted := d.heartbeatRequest(host, now)
		if wanted {
			command := d.prepare(host, d.requestSlots, batch)
			if command == nil {
				break
			}
			due = append(due, command)
		}
		delete(d.requested, host)
	}
	return due
}

// heartbeatRequest returns the commands that have a worker send a heartbeat now. wanted is false
// if it need not: nothing waits for it, or it would not obey. Commands that stop tasks make it
// send one; for launches alone its token is raised.
func (d *DirectCommands) heartbeatRequest(host string, now time.Time) (batch api.CommandBatch, wanted bool) {
	agent := d.registry.agents[host]
	if !d.expectsObedience(host, agent) {
		return batch, false
	}
	immediate := d.immediateCommands(host, agent)
	if !immediate.stops {
		// Raises that come sooner after one another count as no change: they are
		// kept for starts that nothing else can announce.
		if !immediate.launches || now.Sub(agent.LastTokenChange()) < d.registry.node.Settings.WorkerLease()/2 {
			return batch, false
		}
		agent.RaiseToken(now)
	}
	return api.CommandBatch{AgentEpoch: agent.Heartbeat.AgentEpoch, Commands: immediate.commands}, true
}

// expectsObedience reports whether a worker of a shard that this node leads is expected to
// carry out a command now.
func (d *DirectCommands) expectsObedience(host string, agent *Agent) bool {
	machine := d.registry.cache.Machines[host]
	return machine != nil && d.registry.leadership.Leads(machine.Shard) &&
		agent != nil && agent.State == Responsive && !agent.LeaseExpired && !agent.Terminated
}
