package agent

import (
	"time"

	"violetturn/internal/api"
)

// Limits on the direct commands in flight, as fractions of the sockets that the process may open.
// Fences and heartbeat requests have separate limits: fences to partitioned machines block until
// their timeout and must not delay the requests.
const (
	minSlots              = 8
	socketsPerFenceSlot   = 16
	socketsPerRequestSlot = 32
	initialAgentEpoch     = 1 // a worker with another agent epoch rejects the commands and responds with its own epoch
)

// DirectCommands prepares what is sent to workers outside the responses to their heartbeats:
// fences, commands that make a worker send a heartbeat at once, and probes of whether workers can
// be reached. Each DirectCommand holds a slot from its preparation until Release. The lock of
// internal/state guards DirectCommands.
type DirectCommands struct {
	registry       *Registry
	requestedHosts map[string]bool // machines whose tasks have changed, for the next DueHeartbeatRequests to check
	fenceSlots     chan struct{}
	requestSlots   chan struct{}
}

// NewDirectCommands creates the direct commands for a registry's workers.
func NewDirectCommands(registry *Registry) *DirectCommands {
	sockets := registry.node.Settings.Facts.Limits.MaxSockets
	return &DirectCommands{
		registry:       registry,
		requestedHosts: map[string]bool{},
		fenceSlots:     make(chan struct{}, max(minSlots, sockets/socketsPerFenceSlot)),
		requestSlots:   make(chan struct{}, max(minSlots, sockets/socketsPerRequestSlot)),
	}
}

// DirectCommand is a batch of commands for one worker, sent to its address outside the responses to
// its heartbeats.
type DirectCommand struct {
	Host  string
	Addr  string
	Term  uint64
	Batch api.CommandBatch
	More  bool // commands were left out of the batch, which are to be sent once the worker has responded

	slots chan struct{} // the command holds one of these slots
}

// Release releases the command's slot. The caller calls it once the command was answered or
// abandoned, and need not hold the lock.
func (c *DirectCommand) Release() { <-c.slots }

// PrepareFence prepares the command that sends this leader's fencing token to a worker directly.
// Once the worker has received it, it drops the responses of earlier leaders. Its response to the
// command lists the tasks that run there. PrepareFence returns nil if the worker has shown this
// term, was sent a command within the last heartbeat interval, or has no known address, or if no
// slot is free.
func (d *DirectCommands) PrepareFence(host string) *DirectCommand {
	agent := d.registry.agents[host]
	if agent == nil || agent.Fenced() {
		return nil
	}
	if d.registry.node.Now().Sub(agent.LastCommandAt) < d.registry.node.Settings.HeartbeatInterval() {
		return nil
	}
	return d.prepare(host, d.fenceSlots, api.CommandBatch{AgentEpoch: initialAgentEpoch, Commands: []api.Command{}}, false)
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

// prepare prepares commands that are safe to carry out at any later time. It returns nil if the
// worker has no known address or no slot is free; callers retry later.
func (d *DirectCommands) prepare(host string, slots chan struct{}, batch api.CommandBatch, more bool) *DirectCommand {
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
	return &DirectCommand{Host: host, Addr: machine.Addr, Term: agent.Term, Batch: batch, More: more, slots: slots}
}

// RequestHeartbeat records that the tasks of a worker have changed. The worker is made to send a
// heartbeat soon if the change cannot wait for its next one.
func (d *DirectCommands) RequestHeartbeat(host string) { d.requestedHosts[host] = true }

// DueHeartbeatRequests prepares the commands that make workers send a heartbeat now, as many as
// there are free slots. The next call prepares the others. There are none while this controller may
// not act as a leader.
func (d *DirectCommands) DueHeartbeatRequests(now time.Time) []*DirectCommand {
	if !d.registry.leadership.MayAct(now) {
		return nil
	}
	var due []*DirectCommand
	for host := range d.requestedHosts {
		batch, more, needed := d.heartbeatRequest(host, now)
		if needed {
			command := d.prepare(host, d.requestSlots, batch, more)
			if command == nil {
				break
			}
			due = append(due, command)
		}
		delete(d.requestedHosts, host)
	}
	return due
}

// heartbeatRequest returns the commands that make a worker send a heartbeat now. needed is false
// if no change requires a heartbeat or the worker does not accept commands; more is true if commands
// were left out. Commands that stop tasks make the worker send a heartbeat; for launches alone the
// worker's token is raised.
func (d *DirectCommands) heartbeatRequest(host string, now time.Time) (batch api.CommandBatch, more, needed bool) {
	agent := d.registry.agents[host]
	if !d.acceptsCommands(host, agent) {
		return batch, false, false
	}
	immediate := d.immediateCommands(host, agent, now)
	if !immediate.hasStops {
		// The worker treats raises in quick succession as no change, so a raise is used
		// only for launches, which must not be sent directly.
		if !immediate.hasLaunches || now.Sub(agent.LastTokenChange()) < d.registry.node.Settings.WorkerLease()/2 {
			return batch, false, false
		}
		agent.RaiseToken(now)
	}
	immediate.commands.SelectClears(false)
	batch = api.CommandBatch{AgentEpoch: agent.Heartbeat.AgentEpoch, Commands: immediate.commands.Commands()}
	return batch, immediate.commands.Deferred(), true
}

// acceptsCommands reports whether a worker can be expected to carry out a command now. Its shard
// must be led by this controller.
func (d *DirectCommands) acceptsCommands(host string, agent *Agent) bool {
	machine := d.registry.cache.Machines[host]
	return machine != nil && d.registry.leadership.Leads(machine.Shard) &&
		agent != nil && agent.State == Responsive && !agent.LeaseExpired && !agent.Terminated
}
