package controller

import (
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// Workers can't connect to any controller while direct commands still reach them. Their tasks must
// be moved to other machines, and no machine may be used that can't receive launches.
func TestWorkerOutboundPartition(t *testing.T) {
	s := newReadyCluster()
	id := s.submitService(4, nil)
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(id) == 4 })
	idle := s.submitArray(4, time.Hour, func(j *api.Job) { j.Priority = "idle" })
	s.runUntil(t, 80, "idle tasks that can be preempted run", func() bool { return s.runningTasks(idle) == 4 })
	s.environment.Cloud.Down = true // nothing is rented or returned
	unreachable := map[string]bool{}
	for host := range s.runningTasksByHost(id) {
		s.environment.Cloud.WorkersByHost[host].OutboundLost, unreachable[host] = true, true
	}
	s.runUntil(t, 3*rounds(s.environment.WorkerLease), "replicas run elsewhere", func() bool {
		counts := s.runningTasksByHost(id)
		for host := range unreachable {
			if counts[host] > 0 {
				return false
			}
		}
		return s.runningTasks(id) == 4
	})
	s.cancel(0, idle)
	s.checkRecovery(t)
}

// The heartbeats of a worker arrive, but responses and commands don't reach it, so that its lease
// expires again and again. As its heartbeats were answered, it once counted as responsive forever:
// its tasks waited there, and each response contained their launches. The worker's agent epochs
// show that it receives nothing. Its tasks must be moved to other machines, and it must get no more
// tasks until it carries out commands, also if the leader of its shard changes in the meantime.
func TestWorkerInboundPartition(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader changes %t", leaderChanges), func(t *testing.T) {
			s := newReadyCluster()
			id := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Tasks = api.Service, 2 })
			s.runUntil(t, 60, "replicas run", func() bool { return s.runningTasks(id) == 2 })
			var worker *simulator.Worker
			for h := range s.runningTasksByHost(id) {
				worker = s.environment.Cloud.WorkersByHost[h]
			}
			worker.InboundLost = true
			if leaderChanges {
				s.startNode(s.preferredLeaderOf(worker.Host))
			}
			elsewhere := func() bool {
				counts := s.runningTasksByHost(id)
				return counts[worker.Host] == 0 && s.runningTasks(id) == 2
			}
			lease := rounds(s.environment.WorkerLease)
			s.runUntil(t, 4*lease, "replicas run elsewhere", elsewhere)
			if s.environment.Cloud.WorkersByHost[worker.Host] == nil {
				return // it was returned as idle, which is correct too
			}
			array := s.submitJob(func(j *api.Job, runTime *time.Duration) { j.Tasks, *runTime = 4, time.Second })
			s.runUntil(t, 100, "another job done", s.isDone(array))
			if !elsewhere() {
				t.Fatalf("running replicas by machine: got %v, want 2 in total and none on %s", s.runningTasksByHost(id), worker.Host)
			}
		})
	}
}

// Direct commands or their responses are delayed, some for seconds and some for as long as the
// cancellation timeout, while the machine continues to run and its heartbeats are answered.
func TestDelayedCommands(t *testing.T) {
	s := newReadyCluster()
	service := s.submitService(3, nil)
	s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(service) == 3 })
	setDelayed := func(delayed bool) {
		for _, n := range s.nodes {
			n.commands.PartitionedFrom = func(*simulator.Worker) bool { return delayed }
		}
	}
	s.runRounds(t, 10) // until tokens may be raised again
	setDelayed(true)
	// The machine with free capacity is sent the launch only in the response to its next heartbeat.
	cancelled := s.submitArray(1, time.Hour, nil)
	s.runUntil(t, 20, "first array runs", func() bool { return s.runningTasks(cancelled) == 1 })
	var delayedCommands []func() // the direct commands that were sent for the launch
	for _, n := range s.nodes {
		delayedCommands, n.commands.DelayedDeliveries = append(delayedCommands, n.commands.DelayedDeliveries...), nil
	}
	s.cancel(1, cancelled)
	s.runUntil(t, 20, "first array's task gone", func() bool { return s.presentTasks(cancelled) == 0 })
	s.runRounds(t, rounds(s.environment.CancelTimeout))
	for _, deliver := range delayedCommands {
		deliver()
	}
	s.runRounds(t, 10)
	next := s.submitArray(1, time.Hour, nil)
	s.runUntil(t, 20, "second array runs", func() bool { return s.runningTasks(next) == 1 })
	s.startNode(0) // the commands of its new incarnation that raise tokens are delayed too
	s.runRounds(t, 2)
	s.cancel(1, next)
	s.runRounds(t, 6)
	s.deliverDelayedCommands()
	setDelayed(false)
	s.runUntil(t, 40, "second array's task gone", func() bool { return s.presentTasks(next) == 0 })
	if s.runningTasks(service) != 3 || s.environment.LaunchesAfterCancel > 0 {
		t.Errorf(
			"got %d running replicas, %d launches after a confirmed cancellation, want 3 and 0",
			s.runningTasks(service), s.environment.LaunchesAfterCancel,
		)
	}
	s.checkRecovery(t)
}

// A zone with workers and a controller is partitioned, for about as long as a worker lease and for
// much longer.
func TestZonePartition(t *testing.T) {
	for _, count := range []int{16, 18, 20, 60, 120} {
		t.Run(fmt.Sprintf("%d rounds", count), func(t *testing.T) {
			s := newReadyCluster()
			for _, zone := range s.environment.Zones {
				s.submitService(2, func(j *api.Job) { j.Zone = zone })
			}
			cancelled := s.submitService(2, func(j *api.Job) { j.Zone = "y" })
			s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(cancelled) == 2 })
			s.partitionZone("y")
			s.runRounds(t, 1)
			// Without this the other controllers would return the machines, from which no heartbeat arrives.
			s.environment.Cloud.Down = count > 100
			s.cancel(0, cancelled)
			s.runRounds(t, count)
			s.checkRecovery(t)
		})
	}
}
