package simulator

import (
	"context"
	"errors"

	"violetturn/internal/api"
)

// ErrNoResponse is returned when a worker does not respond.
var ErrNoResponse = errors.New("no response from the worker")

// CommandClient is a controller's client for direct requests to workers.
type CommandClient struct {
	Environment       *Environment
	Controller        string
	DelayedDeliveries []func() // each delivers commands that a partition or a hung worker delays; a test runs them
	Copies            []func() // each delivers commands that a worker has received once more; a test runs them
	Partitioned       bool     // the controller is partitioned from all workers

	PartitionedFrom func(worker *Worker) bool // whether the controller is partitioned from a worker; nil: from none
}

// partitionedFrom reports whether the controller is partitioned from a worker.
func (c *CommandClient) partitionedFrom(worker *Worker) bool {
	return c.Partitioned || c.PartitionedFrom != nil && c.PartitionedFrom(worker)
}

// FetchHeartbeat requests a heartbeat from a worker. It returns ErrNoResponse if the worker does not
// respond.
func (c *CommandClient) FetchHeartbeat(_ context.Context, addr string) (*api.Heartbeat, error) {
	for _, worker := range c.Environment.Cloud.WorkersByHost {
		if worker.Addr == addr && worker.Booted() && worker.responds() && !c.partitionedFrom(worker) {
			return worker.Heartbeat(), nil
		}
	}
	return nil, ErrNoResponse
}

// maxCommandCopies is the number of copies that a client keeps.
const maxCommandCopies = 64

// keepCopy keeps a copy of commands that a worker has received.
func (c *CommandClient) keepCopy(worker *Worker, batch api.CommandBatch) {
	if len(c.Copies) < maxCommandCopies {
		c.Copies = append(c.Copies, func() { worker.handleDirect(batch) })
	}
}

// SendCommands sends commands to a worker. It returns the worker's heartbeat and whether the worker
// accepted the commands, or ErrNoResponse. If the worker is partitioned or hung, the commands are
// delivered when a test runs the functions in DelayedDeliveries. If there is no such machine, or it
// has not booted or has the fault InboundLost, they are never delivered.
func (c *CommandClient) SendCommands(_ context.Context, addr string, batch api.CommandBatch) (*api.Heartbeat, bool, error) {
	for _, worker := range c.Environment.Cloud.Workers() {
		if worker.Addr != addr || !worker.Booted() {
			continue
		}
		if worker.InboundLost {
			break
		}
		if !worker.responds() || c.partitionedFrom(worker) {
			c.DelayedDeliveries = append(c.DelayedDeliveries, func() { worker.handleDirect(batch) })
			break
		}
		heartbeat, accepted := worker.handleDirect(batch)
		c.keepCopy(worker, batch)
		return heartbeat, accepted, nil
	}
	return nil, false, ErrNoResponse
}
