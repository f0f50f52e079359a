package commands

import (
	"context"

	"violetturn/internal/agent"
	"violetturn/internal/external"
	"violetturn/internal/node"
	"violetturn/internal/shard"
	"violetturn/internal/state"
)

// Probe asks workers whether they hear this node, each in a goroutine of its own that
// ends with the answer or the client's deadline.
func (c *Sender) Probe(ctx context.Context, addresses []string) {
	for _, addr := range addresses {
		c.node.RunAsync(func() {
			if _, err := c.services.Workers.Status(ctx, addr); err != nil {
				return
			}
			state := c.guard.Lock()
			state.Leadership.NoteWorkerHeard(c.node.Now())
			c.guard.Unlock()
		})
	}
}

// Sender sends commands directly to workers.
type Sender struct {
	node     *node.Info
	guard    *state.Guard
	services *external.Services
}

func NewSender(info *node.Info, guard *state.Guard, services *external.Services) *Sender {
	return &Sender{node: info, guard: guard, services: services}
}

// Send sends prepared commands, each in a goroutine of its own that ends with the
// answer or the client's deadline.
func (c *Sender) Send(ctx context.Context, commands []agent.DirectCommand) {
	for _, command := range commands {
		c.node.RunAsync(func() { c.sendOne(ctx, command) })
	}
}

// sendOne sends commands to a worker and takes in the heartbeat that it answers with. A
// worker of another agent epoch refuses them and is asked once more with the epoch it named.
func (c *Sender) sendOne(ctx context.Context, command agent.DirectCommand) {
	defer func() { <-command.Slots }()
	for range 2 {
		r, done, err := c.services.Workers.SendCommands(ctx, command.Addr, command.Batch)
		if err != nil {
			c.node.Log.Debug("direct commands not answered", "host", command.Host, "err", err)
			return
		}
		state := c.guard.Lock()
		state.Agents.AcceptAnswer(command.Host, command.Term, r)
		c.guard.Unlock()
		if done || shard.TokenTerm(r.Token) >= command.Term {
			return
		}
		command.Batch.AgentEpoch = r.AgentEpoch
	}
}

// RequestHeartbeats has workers report at once for whom there is something new: a start
// goes only in an answer to a heartbeat, and the next one may be a whole round
// away. A direct command that stops tasks or raises the worker's token makes it
// report; neither does harm whenever it is carried out. (One that only clears
// ended tasks does not make it report.)
func (c *Sender) RequestHeartbeats(ctx context.Context) {
	state := c.guard.Lock()
	commands := state.Agents.DueHeartbeatRequests(c.node.Now())
	c.guard.Unlock()
	c.Send(ctx, commands)
}
