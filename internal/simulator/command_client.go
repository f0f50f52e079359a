package simulator

import (
	"context"
	"errors"

	"violetturn/internal/api"
)

// ErrNoResponse says that a worker did not answer.
var ErrNoResponse = errors.New("no response from the worker")

// CommandClient reaches workers directly, as one node does.
type CommandClient struct {
	Environment       *Environment
	Node              string
	DelayedDeliveries []func() // commands that a partition delays; a test runs them
	Partitioned       bool     // the node and all workers can't reach each other

	PartitionedFrom func(x *Worker) bool // whether the node and a worker can't reach each other; nil: they can
}

// partitionedFrom reports whether the node and a worker can't reach each other.
func (d *CommandClient) partitionedFrom(x *Worker) bool {
	return d.Partitioned || d.PartitionedFrom != nil && d.PartitionedFrom(x)
}

// FetchHeartbeat asks a worker for its heartbeat, or returns ErrNoResponse.
func (d *CommandClient) FetchHeartbeat(_ context.Context, addr string) (*api.Heartbeat, error) {
	for _, x := range d.Environment.Cloud.WorkersByHost {
		if x.Addr == addr && x.Booted() && x.answers() && !d.partitionedFrom(x) {
			return x.Heartbeat(), nil
		}
	}
	return nil, ErrNoResponse
}

// SendCommands sends commands directly, and returns the worker's heartbeat and whether it
// obeyed, or ErrNoResponse. A worker that is partitioned or hung gets them when a test runs
// Delayed; a machine that is not there never does.
func (d *CommandClient) SendCommands(_ context.Context, addr string, o api.CommandBatch) (*api.Heartbeat, bool, error) {
	for _, x := range d.Environment.Cloud.Workers() {
		if x.Addr != addr || !x.Booted() {
			continue
		}
		if x.InboundLost {
			break
		}
		if !x.answers() || d.partitionedFrom(x) {
			d.DelayedDeliveries = append(d.DelayedDeliveries, func() { x.handleDirect(o) })
			break
		}
		heartbeat, obeyed := x.handleDirect(o)
		return heartbeat, obeyed, nil
	}
	return nil, false, ErrNoResponse
}
