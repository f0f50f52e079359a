package controller

import (
	"context"
)

// probe asks workers whether they hear this node, each in a goroutine of its own that
// ends with the answer or the client's deadline.
func (c *commandSender) probe(ctx context.Context, addresses []string) {
	for _, addr := range addresses {
		c.node.RunAsync(func() {
			if _, err := c.services.workers.Status(ctx, addr); err != nil {
				return
			}
			state := c.guard.Lock()
			state.Leadership.NoteWorkerHeard(c.node.Now())
			c.guard.Unlock()
		})
	}
}
