package commands

import (
	"context"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/external"
	"violetturn/internal/logkey"
	"violetturn/internal/node"
	"violetturn/internal/shard"
	"violetturn/internal/state"
)

// maxSends is how often a batch of commands is sent to a worker: a second time with the agent
// epoch that it named.
const maxSends = 2

// Sender sends commands directly to workers. It has no state of its own; its methods may be
// called from any goroutine.
type Sender struct {
	node     *node.Info
	guard    *state.Guard
	services *external.Services
}

// NewSender makes a sender.
func NewSender(info *node.Info, guard *state.Guard, services *external.Services) *Sender {
	return &Sender{node: info, guard: guard, services: services}
}

// ProbeWorkers asks workers whether they hear this node, each in a goroutine of its own that
// ends with the answer or the client's deadline.
func (s *Sender) ProbeWorkers(ctx context.Context, addresses []string) {
	for _, addr := range addresses {
		s.node.RunAsync(func() { s.probeOne(ctx, addr) })
	}
}

// probeOne asks a worker whether it hears this node.
func (s *Sender) probeOne(ctx context.Context, addr string) {
	if _, err := s.services.Workers.Status(ctx, addr); err != nil {
		return
	}
	state := s.guard.Lock()
	defer s.guard.Unlock()
	state.Leadership.Contact().RecordContact(s.node.Now())
}

// SendAll sends prepared commands, each in a goroutine of its own that ends with the
// answer or the client's deadline.
func (s *Sender) SendAll(ctx context.Context, commands []*agent.DirectCommand) {
	for _, command := range commands {
		s.node.RunAsync(func() { s.sendOne(ctx, command) })
	}
}

// sendOne sends commands to a worker and takes in the heartbeat that it answers with. A
// worker of another agent epoch refuses them and is asked once more with the epoch that it named.
func (s *Sender) sendOne(ctx context.Context, command *agent.DirectCommand) {
	defer command.Release()
	batch := command.Batch
	for range maxSends {
		heartbeat, done, err := s.services.Workers.SendCommands(ctx, command.Addr, batch)
		if err != nil {
			s.node.Log.Debug("direct commands not answered", logkey.Host(command.Host), logkey.Err(err))
			return
		}
		s.acceptAnswer(command, heartbeat)
		if done || shard.TokenTerm(heartbeat.Token) >= command.Term {
			return
		}
		batch.AgentEpoch = heartbeat.AgentEpoch
	}
}

// acceptAnswer takes in the heartbeat that a worker answered commands with.
func (s *Sender) acceptAnswer(command *agent.DirectCommand, heartbeat *api.Heartbeat) {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	state.Agents.AcceptCommandAnswer(command.Host, command.Term, heartbeat)
}

// RequestHeartbeats has workers send a heartbeat at once for whom there is something new: a
// launch goes only in an answer to a heartbeat, and the next one may be a whole interval
// away. A direct command that stops tasks or raises the worker's token makes it
// send one; neither does harm whenever it is carried out. (One that only clears
// ended tasks does not.)
func (s *Sender) RequestHeartbeats(ctx context.Context) {
	state := s.guard.Lock()
	commands := state.DirectCommands.DueHeartbeatRequests(s.node.Now())
	s.guard.Unlock()
	s.SendAll(ctx, commands)
}
