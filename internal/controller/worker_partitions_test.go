package controller

import (
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// Workers can't open connections to any controller while direct commands still reach
// them: their tasks go elsewhere, and no machine is used that hears no launch.
func TestWorkerOutboundPartition(t *testing.T) {
	s := newReadyCluster()
	id := s.submitService(4, nil)
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(id) == 4 })
	low := s.submitArray(4, time.Hour, func(r *api.Job) { r.Priority = "idle" })
	s.runUntil(t, 80, "as many machines have room to be taken", func() bool { return s.runningTasks(low) == 4 })
	s.environment.Cloud.Down = true // nothing is rented or returned
	unreachable := map[string]bool{}
	for h := range s.runningTasksByHost(id) {
		s.environment.Cloud.WorkersByHost[h].OutboundLost, unreachable[h] = true, true
	}
	s.runUntil(t, 3*rounds(s.environment.WorkerLease), "replicas run elsewhere", func() bool {
		on := s.runningTasksByHost(id)
		for h := range unreachable {
			if on[h] > 0 {
				return false
			}
		}
		return s.runningTasks(id) == 4
	})
	s.cancel(0, low)
	s.checkRecovery(t)
}

// A machine whose heartbeats arrive while responses and commands don't reach it lets its
// lease expire again and again. It was answered, so it once counted as alive for ever: its
// tasks waited there and were launched with each response. Now its agent epochs show that it
// doesn't hear, its tasks go elsewhere, and it gets no more until it obeys; also when its shard has changed its leader meanwhile.
func TestWorkerInboundPartition(t *testing.T) {
	for _, handover := range []bool{false, true} {
		t.Run(fmt.Sprintf("handover %t", handover), func(t *testing.T) {
			s := newReadyCluster()
			id := s.submitJob(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 2 })
			s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 2 })
			var worker *simulator.Worker
			for h := range s.runningTasksByHost(id) {
				worker = s.environment.Cloud.WorkersByHost[h]
			}
			worker.InboundLost = true
			if handover {
				s.startNode(s.preferredLeaderOf(worker.Host))
			}
			elsewhere := func() bool {
				on := s.runningTasksByHost(id)
				return on[worker.Host] == 0 && s.runningTasks(id) == 2
			}
			lease := rounds(s.environment.WorkerLease)
			s.runUntil(t, 4*lease, "replicas run elsewhere", elsewhere)
			if s.environment.Cloud.WorkersByHost[worker.Host] == nil {
				return // it was returned as idle, which is as good
			}
			more := s.submitJob(func(r *api.Job, d *time.Duration) { r.Tasks, *d = 4, time.Second })
			s.runUntil(t, 100, "other work done", s.isDone(more))
			if !elsewhere() {
				t.Fatal("a replica is back")
			}
		})
	}
}

// Direct commands, or their responses, are delayed for seconds and for as long as the
// cancellation timeout, while the machine goes on and its heartbeats are answered.
func TestDelayedCommands(t *testing.T) {
	s := newReadyCluster()
	on := s.submitService(3, nil)
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(on) == 3 })
	setDelayed := func(delayed bool) {
		for _, n := range s.nodes {
			n.commands.PartitionedFrom = func(*simulator.Worker) bool { return delayed }
		}
	}
	s.runRounds(t, 10) // tokens may be raised again
	setDelayed(true)
	off := s.submitArray(1, time.Hour, nil) // the machine with room hears of it only with its next heartbeat
	s.runUntil(t, 20, "it runs", func() bool { return s.runningTasks(off) == 1 })
	var early []func() // what was sent for the start
	for _, n := range s.nodes {
		early, n.commands.DelayedDeliveries = append(early, n.commands.DelayedDeliveries...), nil
	}
	s.cancel(1, off)
	s.runUntil(t, 20, "it is gone", func() bool { return s.presentTasks(off) == 0 })
	s.runRounds(t, rounds(s.environment.CancelTimeout))
	for _, f := range early {
		f()
	}
	s.runRounds(t, 10)
	next := s.submitArray(1, time.Hour, nil)
	s.runUntil(t, 20, "it runs", func() bool { return s.runningTasks(next) == 1 })
	s.startNode(0) // what raises the tokens of its next life is delayed too
	s.runRounds(t, 2)
	s.cancel(1, next)
	s.runRounds(t, 6)
	s.deliverDelayedCommands()
	setDelayed(false)
	s.runUntil(t, 40, "it is gone", func() bool { return s.presentTasks(next) == 0 })
	if s.runningTasks(on) != 3 || s.environment.LaunchesAfterCancel > 0 {
		t.Errorf("%d of 3 replicas, %d starts after a confirmed cancellation", s.runningTasks(on), s.environment.LaunchesAfterCancel)
	}
	s.checkRecovery(t)
}

// A zone with workers and a controller is partitioned for longer than a lease, and just as
// long as one.
func TestZonePartition(t *testing.T) {
	for _, count := range []int{16, 18, 20, 60, 120} {
		t.Run(fmt.Sprintf("%d rounds", count), func(t *testing.T) {
			s := newReadyCluster()
			for _, z := range s.environment.Zones {
				s.submitService(2, func(r *api.Job) { r.Zone = z })
			}
			off := s.submitService(2, func(r *api.Job) { r.Zone = "y" })
			s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(off) == 2 })
			s.partitionZone("y")
			s.runRounds(t, 1)
			s.environment.Cloud.Down = count > 100 // or the machines, silent to the others, go back
			s.cancel(0, off)
			s.runRounds(t, count)
			s.checkRecovery(t)
		})
	}
}
