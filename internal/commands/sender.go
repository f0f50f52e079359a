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

// maxSends limits how often a batch of commands is sent to a worker: a second time with the agent
// epoch that the worker returned.
const maxSends = 2

// Sender sends commands directly to workers. It has no state of its own, and its methods may be
// called from any goroutine.
type Sender struct {
	node     *node.Info
	guard    *state.Guard
	services *external.Services
}

// NewSender returns a Sender with the given dependencies.
func NewSender(info *node.Info, guard *state.Guard, services *external.Services) *Sender {
	return &Sender{node: info, guard: guard, services: services}
}

// ProbeWorkers requests the heartbeats of workers, to find out whether they can be reached, each
// in a goroutine of its own that ends with the response or at the client's timeout.
func (s *Sender) ProbeWorkers(ctx context.Context, addresses []string) {
	for _, addr := range addresses {
		s.node.RunAsync(func() { s.probeWorker(ctx, addr) })
	}
}

// probeWorker requests a worker's heartbeat and records contact with workers if it responds.
func (s *Sender) probeWorker(ctx context.Context, addr string) {
	if _, err := s.services.Workers.FetchHeartbeat(ctx, addr); err != nil {
		return
	}
	state := s.guard.Lock()
	defer s.guard.Unlock()
	state.Leadership.Contact().RecordContact(s.node.Now())
}

// SendAll sends prepared commands, each in a goroutine of its own that ends with the response or at
// the client's timeout.
func (s *Sender) SendAll(ctx context.Context, commands []*agent.DirectCommand) {
	for _, command := range commands {
		s.node.RunAsync(func() { s.sendToWorker(ctx, command) })
	}
}

// sendToWorker sends commands to a worker and applies the heartbeat in its response. A worker of
// another agent epoch rejects the commands; they are sent once more with the epoch from its
// response.
func (s *Sender) sendToWorker(ctx context.Context, command *agent.DirectCommand) {
	defer command.Release()
	batch := command.Batch
	for range maxSends {
		heartbeat, accepted, err := s.services.Workers.SendCommands(ctx, command.Addr, batch)
		if err != nil {
			s.node.Log.Debug("direct commands not answered", logkey.Host(command.Host), logkey.Err(err))
			return
		}
		s.acceptResponse(command, heartbeat)
		if accepted && command.More {
			s.RequestHeartbeats(ctx) // sends the next part
			return
		}
		if accepted || shard.TokenTerm(heartbeat.Token) >= command.Term {
			return
		}
		batch.AgentEpoch = heartbeat.AgentEpoch
	}
}

// acceptResponse applies the heartbeat that a worker returned in response to commands.
func (s *Sender) acceptResponse(command *agent.DirectCommand, heartbeat *api.Heartbeat) {
	state := s.guard.Lock()
	defer s.guard.Unlock()
	state.Agents.AcceptCommandResponse(command.Host, command.Term, heartbeat)
	if command.More {
		state.DirectCommands.RequestHeartbeat(command.Host)
	}
}

// RequestHeartbeats makes workers whose tasks have changed send a heartbeat at once: launches are
// sent only in responses to heartbeats, and the next regular heartbeat may be a whole interval
// away. A worker sends one after a direct command that stops tasks or raises its token. Both are
// safe whenever they are carried out. (A command that only clears ended tasks does not cause a
// heartbeat.)
func (s *Sender) RequestHeartbeats(ctx context.Context) {
	state := s.guard.Lock()
	commands := state.DirectCommands.DueHeartbeatRequests(s.node.Now())
	s.guard.Unlock()
	s.SendAll(ctx, commands)
}
