package controller

import (
	"fmt"
	"testing"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/capacity"
	"violetturn/internal/job"
	"violetturn/internal/sched"
	"violetturn/internal/scheduler"
	"violetturn/internal/simulator"
)

// The tasks of a gang start together under one attempt number and end together. The gangs are one of
// a single task, one in several shards, and one whose tasks need several records.
func TestGangTasksStartAndEndTogether(t *testing.T) {
	for _, tasks := range []int{1, 4, 60} {
		t.Run(fmt.Sprintf("%d tasks", tasks), func(t *testing.T) {
			s := newReadyCluster()
			id := s.submitGang(t, func(j *api.Job, _ *time.Duration) {
				if j.Tasks = tasks; tasks > 4 {
					j.GPUs, j.CPUs = 0, 0.5
				}
			})
			s.runUntil(t, 300, "all tasks run", func() bool {
				running := s.tasksInPhase(id, api.TaskRunning)
				if running != 0 && running != tasks {
					t.Fatalf("%d tasks run, want 0 or all %d", running, tasks)
				}
				return running == tasks
			})
			s.runUntil(t, 200, "job done", s.isDone(id))
			s.runUntil(t, 40, "job records are deleted", func() bool {
				controller := s.nodes[0].controller
				return controller.testState().Cache.Jobs[id] == nil && len(controller.testState().Cache.TaskRanges[id]) == 0
			})
		})
	}
}

// A gang loses one of its machines while its tasks gather: the others wait for a replacement in
// the same attempt, which starts after the lost task has certainly ended.
func TestGatheringGangGetsReplacement(t *testing.T) {
	s := newReadyCluster()
	s.environment.GangStartTimeout = 25 * time.Second
	for _, n := range s.nodes {
		n.controller.node.Settings.Facts.Workers.GangGatherTimeoutS = 25
	}
	// The first gang leaves a booted machine for each task.
	firstGang := s.submitGang(t, func(_ *api.Job, runTime *time.Duration) { *runTime = 2 * time.Second })
	s.runUntil(t, 300, "job done", s.isDone(firstGang))
	s.environment.MachineType.FetchTime = 6 * time.Second
	id := s.submitGang(t, nil)
	s.runUntil(t, 40, "tasks are launched", func() bool { return s.tasksInPhase(id, api.TaskFetching) == 4 })
	s.environment.Cloud.Terminate(s.workerOf(id).Host)
	s.runUntil(t, 100, "all tasks run", func() bool { return s.tasksInPhase(id, api.TaskRunning) == 4 })
	if gang := s.nodes[0].state().Cache.Jobs[id].Record.Gang; gang.Attempt != 1 {
		t.Fatalf("gang runs as attempt %d, want 1", gang.Attempt)
	}
	s.runUntil(t, 200, "job done", s.isDone(id))
}

// A running gang loses a machine: the whole attempt ends, and the next one continues from the
// last checkpoint after all tasks of the old attempt have certainly ended.
func TestRunningGangLosesMachine(t *testing.T) {
	for _, failure := range []string{"terminated", "hung", "partitioned"} {
		t.Run(failure, func(t *testing.T) {
			s := newReadyCluster()
			id := s.submitGang(t, func(j *api.Job, _ *time.Duration) { j.CheckpointIntervalS, j.SaveDurationS, j.SingleZone = 5, 1, true })
			s.runUntil(t, 300, "all tasks run", func() bool { return s.tasksInPhase(id, api.TaskRunning) == 4 })
			s.runFor(20)
			worker := s.workerOf(id)
			switch failure {
			case "terminated":
				s.environment.Cloud.Terminate(worker.Host)
			case "hung":
				worker.Hung = true
			case "partitioned":
				worker.Partitioned = true
			}
			s.runUntil(t, 400, failure+": a later attempt runs", func() bool {
				j := s.nodes[0].state().Cache.Jobs[id]
				return j != nil && j.Record.Gang.Attempt > 1 && s.tasksInPhase(id, api.TaskRunning) == 4
			})
			s.runUntil(t, 300, "job done", s.isDone(id))
		})
	}
}

// A gang that is preempted by work of higher priority saves its progress as a whole, and later
// continues from it.
func TestPreemptedGangSavesProgress(t *testing.T) {
	s := newReadyCluster()
	id := s.submitGang(t, func(j *api.Job, runTime *time.Duration) {
		j.Priority, j.CheckpointIntervalS, j.SaveDurationS, *runTime = "idle", 100, 1, 40*time.Second
	})
	s.runUntil(t, 300, "all tasks run", func() bool { return s.tasksInPhase(id, api.TaskRunning) == 4 })
	s.runFor(20)
	s.environment.Cloud.NoCapacity = true
	s.submitJob(func(j *api.Job, _ *time.Duration) { j.Priority, j.Tasks, j.Kind = "production", 4, api.Array })
	saved := false
	s.runUntil(t, 100, "gang is preempted", func() bool {
		for _, worker := range s.environment.Cloud.WorkersByHost {
			for _, taskState := range worker.Heartbeat().Tasks {
				uid, _, _ := api.SplitTaskName(taskState.Task)
				saved = saved || uid == id && taskState.Phase == api.TaskEnded && taskState.Saved
			}
		}
		return s.tasksInPhase(id, api.TaskRunning) == 0
	})
	if !saved {
		t.Fatal("no task of the preempted gang reports saved progress, want at least one")
	}
	s.environment.Cloud.NoCapacity = false
	s.runUntil(t, 400, "job done", s.isDone(id))
}

// A gang that has reserved only a part of the capacity it needs releases it after too many failed
// claims. Capacity that is reserved when the user cancels becomes free at once, without a heartbeat
// from the machines.
func TestReservedCapacityIsReleased(t *testing.T) {
	s := newReadyCluster()
	c := s.nodes[0].controller
	warmUp := s.submitJob(func(j *api.Job, runTime *time.Duration) { j.Tasks, *runTime = 4, 2*time.Second })
	s.runUntil(t, 300, "job done", s.isDone(warmUp))
	reserve := func(cancelled bool) {
		id := s.submitGang(t, func(j *api.Job, _ *time.Duration) { j.Tasks, j.GPUs, j.Team = 300, 1, "b" })
		j := c.testState().Cache.Jobs[id]
		var host *sched.Host
		for _, candidate := range c.testState().Scheduler.SchedulableHosts(c.node.Now()) {
			if candidate.Shard == "n0" {
				host = candidate
			}
		}
		if host == nil {
			t.Fatal("no schedulable machine of shard n0, want one")
		}
		c.guard.Lock()
		gangClaim := &scheduler.GangClaim{UID: id, Placements: []capacity.Placement{{UID: id, Host: host}}}
		transaction := c.testState().Scheduler.GangTransaction(gangClaim, c.node.Now()).Transaction
		c.guard.Unlock()
		if transaction == nil {
			t.Fatal("no transaction for the claim of the gang, want one")
		}
		if committed, _, err := c.sync.Commit(t.Context(), "gangs", transaction, 0); !committed {
			t.Fatal(err)
		}
		if phase := j.GangPhase(); phase != job.GangReserving {
			t.Fatalf("gang is in phase %s, want %s", phase, job.GangReserving)
		}
		if cancelled {
			s.cancel(0, id)
			c.decisions.UpdateGangs(t.Context())
			if placed := j.CountPlaced(); placed != 0 {
				t.Fatalf("%d placements are reserved after the cancellation, want 0", placed)
			}
			return
		}
		s.runUntil(t, 40, "claims are released", func() bool { return j.CountPlaced() == 0 })
		if !c.testState().Scheduler.HasReleasedClaims(id) {
			t.Fatal("released claims of the gang: not recorded, want them recorded, as newer gangs would be placed first otherwise")
		}
		for _, worker := range s.environment.Cloud.WorkersByHost {
			for _, taskState := range worker.Heartbeat().Tasks {
				if uid, _, _ := api.SplitTaskName(taskState.Task); uid == id {
					t.Fatalf("task %s was started without the rest of the gang, want no task started", taskState.Task)
				}
			}
		}
		s.cancel(0, id)
	}
	reserve(true)
	reserve(false)
}

// Once one task of a gang is done all are, whatever happens to their machines and to the leader
// of the shard: no task is started again, and no controller reports another phase.
func TestDoneGangStaysDone(t *testing.T) {
	s := newReadyCluster()
	id := s.submitGang(t, func(j *api.Job, runTime *time.Duration) { j.SingleZone, *runTime = true, 8*time.Second })
	s.runUntil(t, 300, "all tasks run", func() bool { return s.tasksInPhase(id, api.TaskRunning) == 4 })
	worker := s.workerOf(id)
	s.runUntil(t, 60, "no task runs any more", func() bool { return s.tasksInPhase(id, api.TaskRunning) == 0 })
	s.environment.Cloud.Terminate(worker.Host)
	s.nodes[0].running = false
	s.runFor(6)
	s.startNode(0)
	s.runUntil(t, 100, "job done", s.isDone(id))
	for range 40 {
		s.runRound()
		if running := s.tasksInPhase(id, api.TaskRunning) + s.tasksInPhase(id, api.TaskGathering); running > 0 {
			t.Fatalf("%d tasks of a done gang run, want 0", running)
		}
	}
}

// Phases and causes that a newer worker sends and this version does not define are interpreted as
// the safest ones: a running task, and an end without success.
func TestUnknownPhasesAndCauses(t *testing.T) {
	if agent.ExitReasonOf("melted") != job.ExitLost || api.ExitCause("melted").Known() || api.TaskPhase("melting").Known() {
		t.Fatalf("unknown cause read as %v, want %v; unknown cause or phase must not count as known",
			agent.ExitReasonOf("melted"), job.ExitLost)
	}
	for _, cause := range []api.ExitCause{api.CausePeerLost, api.CauseGangIncomplete} {
		g := &job.Gang{Attempt: 1, Launched: true}
		if g.RecordTaskEnd(1, agent.ExitReasonOf(cause), true); !g.Ended {
			t.Fatalf("attempt continues after a task ended with cause %s, want it ended", cause)
		}
	}
}

// Two gangs that can each claim half of what they need don't block one another, and a large gang
// starts under a stream of small ones.
func TestGangsDontBlockOneAnother(t *testing.T) {
	s := newReadyCluster()
	firstGang := s.submitGang(t, func(j *api.Job, runTime *time.Duration) { j.Tasks, *runTime = 8, 3*time.Second })
	secondGang := s.submitGang(t, func(j *api.Job, runTime *time.Duration) { j.Tasks, *runTime = 8, 3*time.Second })
	s.runUntil(t, 400, "first gang done", s.isDone(firstGang))
	s.runUntil(t, 400, "second gang done", s.isDone(secondGang))
	s.environment.Cloud.NoCapacity = true // only the existing machines are available
	largeGang := s.submitGang(t, func(j *api.Job, runTime *time.Duration) { j.Tasks, *runTime = 8, 3*time.Second })
	round := 0
	s.runUntil(t, 480, "large gang done", func() bool {
		if round++; round%6 == 0 {
			id := fmt.Sprintf("run-%06d", 1000+round)
			spec := s.environment.Jobs[largeGang].Spec
			spec.UID, spec.Tasks = id, 2
			s.environment.Jobs[id] = &simulator.Job{Spec: spec, RunTime: 6 * time.Second, DoneTasks: map[int]bool{}}
			s.submit(0, id)
		}
		return s.isDone(largeGang)()
	})
}

// A gang that must run in a single zone and does not fit is placed in the zone where preemption
// can free capacity. It once stayed with its preferred zone, which was full of work of the same
// priority and had nothing left to rent, while the other zone ran tasks of lower priority.
func TestGangChoosesZoneWithPreemptibleTasks(t *testing.T) {
	s := newReadyCluster()
	for zone, priority := range map[string]api.Priority{"x": api.Standard, "y": api.Idle} {
		s.submitJob(func(j *api.Job, runTime *time.Duration) {
			j.Zone, j.Priority, j.Tasks, *runTime = zone, priority, 4, 10*time.Minute
		})
	}
	s.runUntil(t, 100, "both zones are full", func() bool { return s.runningTasks("run-000000")+s.runningTasks("run-000001") == 8 })
	s.environment.Cloud.NoCapacity = true
	id := s.submitGang(t, func(j *api.Job, _ *time.Duration) { j.SingleZone, j.Tasks = true, 3 })
	s.runUntil(t, 80, "all tasks run", func() bool { return s.tasksInPhase(id, api.TaskRunning) == 3 })
}
