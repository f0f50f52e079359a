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

// A gang of one, one in several shards, and one whose tasks take several
// records each start all at once under one number, and end at once.
func TestGangsRunTogether(t *testing.T) {
	for _, n := range []int{1, 4, 60} {
		t.Run(fmt.Sprintf("%d tasks", n), func(t *testing.T) {
			s := newReadyCluster()
			id := s.submitGang(t, func(r *api.Job, _ *time.Duration) {
				if r.Tasks = n; n > 4 {
					r.GPUs, r.CPUs = 0, 0.5
				}
			})
			s.runUntil(t, 300, "all run", func() bool {
				on := s.tasksInPhase(id, api.TaskRunning)
				if on != 0 && on != n {
					t.Fatalf("%d of %d run", on, n)
				}
				return on == n
			})
			s.runUntil(t, 200, "done", s.isDone(id))
			s.runUntil(t, 40, "its records are gone", func() bool {
				c := s.nodes[0].controller
				return c.testState().Cache.Jobs[id] == nil && len(c.testState().Cache.TaskRanges[id]) == 0
			})
		})
	}
}

// While a gang gathers one of its machines is lost: the others wait for a replacement
// under the same number, and the lost task is surely dead before that starts.
func TestGatheringGangGetsReplacement(t *testing.T) {
	s := newReadyCluster()
	s.environment.GangStartTimeout = 25 * time.Second
	for _, n := range s.nodes {
		n.controller.node.Settings.Facts.Workers.GangGatherTimeoutS = 25
	}
	other := s.submitGang(t, func(_ *api.Job, d *time.Duration) { *d = 2 * time.Second }) // machines for all are up
	s.runUntil(t, 300, "done", s.isDone(other))
	s.environment.MachineType.FetchTime = 6 * time.Second
	id := s.submitGang(t, nil)
	s.runUntil(t, 40, "some have been launched", func() bool { return s.tasksInPhase(id, api.TaskFetching) == 4 })
	s.environment.Cloud.Terminate(s.workerOf(id).Host)
	s.runUntil(t, 100, "all run", func() bool { return s.tasksInPhase(id, api.TaskRunning) == 4 })
	if g := s.nodes[0].state().Cache.Jobs[id].Record.Gang; g.Attempt != 1 {
		t.Fatalf("runs as attempt %d", g.Attempt)
	}
	s.runUntil(t, 200, "done", s.isDone(id))
}

// A running gang loses a machine: the attempt is over as a whole, and the next one goes
// on from the last checkpoint when all of the old one is surely gone.
func TestRunningGangLosesMachine(t *testing.T) {
	for _, how := range []string{"terminated", "hung", "partitioned"} {
		t.Run(how, func(t *testing.T) {
			s := newReadyCluster()
			id := s.submitGang(t, func(r *api.Job, _ *time.Duration) { r.CheckpointIntervalS, r.SaveDurationS, r.SingleZone = 5, 1, true })
			s.runUntil(t, 300, "all run", func() bool { return s.tasksInPhase(id, api.TaskRunning) == 4 })
			s.runFor(20)
			x := s.workerOf(id)
			switch how {
			case "terminated":
				s.environment.Cloud.Terminate(x.Host)
			case "hung":
				x.Hung = true
			case "partitioned":
				x.Partitioned = true
			}
			s.runUntil(t, 400, how+": a later attempt runs", func() bool {
				j := s.nodes[0].state().Cache.Jobs[id]
				return j != nil && j.Record.Gang.Attempt > 1 && s.tasksInPhase(id, api.TaskRunning) == 4
			})
			s.runUntil(t, 300, "done", s.isDone(id))
		})
	}
}

// A gang told to make room for work of higher priority saves its progress as a whole, and
// later goes on from there.
func TestPreemptedGangSaves(t *testing.T) {
	s := newReadyCluster()
	id := s.submitGang(t, func(r *api.Job, d *time.Duration) {
		r.Priority, r.CheckpointIntervalS, r.SaveDurationS, *d = "idle", 100, 1, 40*time.Second
	})
	s.runUntil(t, 300, "all run", func() bool { return s.tasksInPhase(id, api.TaskRunning) == 4 })
	s.runFor(20)
	s.environment.Cloud.NoCapacity = true
	s.submitJob(func(r *api.Job, _ *time.Duration) { r.Priority, r.Tasks, r.Kind = "production", 4, api.Array })
	saved := false
	s.runUntil(t, 100, "the gang has left", func() bool {
		for _, x := range s.environment.Cloud.WorkersByHost {
			for _, p := range x.Heartbeat().Tasks {
				uid, _, _ := api.SplitTaskName(p.Task)
				saved = saved || uid == id && p.Phase == api.TaskEnded && p.Saved
			}
		}
		return s.tasksInPhase(id, api.TaskRunning) == 0
	})
	if !saved {
		t.Fatal("its progress was lost")
	}
	s.environment.Cloud.NoCapacity = false
	s.runUntil(t, 400, "done", s.isDone(id))
}

// A gang that has reserved only some of its room releases it after too many misses, and what
// is reserved when its user cancels is free at once, without a word from the machines.
func TestReservedRoomIsReleased(t *testing.T) {
	s := newReadyCluster()
	c := s.nodes[0].controller
	warm := s.submitJob(func(r *api.Job, d *time.Duration) { r.Tasks, *d = 4, 2*time.Second })
	s.runUntil(t, 300, "done", s.isDone(warm))
	reserve := func(cancelled bool) {
		id := s.submitGang(t, func(r *api.Job, _ *time.Duration) { r.Tasks, r.GPUs, r.Team = 300, 1, "b" })
		j := c.testState().Cache.Jobs[id]
		var host *sched.Host
		for _, h := range c.testState().Scheduler.SchedulableHosts(c.node.Now()) {
			if h.Shard == "n0" {
				host = h
			}
		}
		if host == nil {
			t.Fatal("no machine of its own shard")
		}
		c.guard.Lock()
		claim := &scheduler.GangClaim{UID: id, Placements: []capacity.Placement{{UID: id, Host: host}}}
		tx := c.testState().Scheduler.GangTransaction(claim, c.node.Now()).Transaction
		c.guard.Unlock()
		if tx == nil {
			t.Fatal("nothing claimed")
		}
		if done, _, err := c.sync.Commit(t.Context(), "gangs", tx, 0); !done {
			t.Fatal(err)
		}
		if p := j.GangPhase(); p != job.GangReserving {
			t.Fatalf("is %s", p)
		}
		if cancelled {
			s.cancel(0, id)
			c.decisions.UpdateGangs(t.Context())
			if n := j.CountPlaced(); n != 0 {
				t.Fatalf("%d places are reserved after the cancellation", n)
			}
			return
		}
		s.runUntil(t, 40, "released", func() bool { return j.CountPlaced() == 0 })
		if !c.testState().Scheduler.HasReleasedClaims(id) {
			t.Fatal("does not go before newer ones")
		}
		for _, x := range s.environment.Cloud.WorkersByHost {
			for _, p := range x.Heartbeat().Tasks {
				if uid, _, _ := api.SplitTaskName(p.Task); uid == id {
					t.Fatal("a task was started without the others")
				}
			}
		}
		s.cancel(0, id)
	}
	reserve(true)
	reserve(false)
}

// Once one task is done all are, whatever becomes of their machines and of the shard's
// leader: nothing is started again, and nobody calls the job anything else.
func TestDoneGangStaysDone(t *testing.T) {
	s := newReadyCluster()
	id := s.submitGang(t, func(r *api.Job, d *time.Duration) { r.SingleZone, *d = true, 8*time.Second })
	s.runUntil(t, 300, "all run", func() bool { return s.tasksInPhase(id, api.TaskRunning) == 4 })
	x := s.workerOf(id)
	s.runUntil(t, 60, "its tasks are done", func() bool { return s.tasksInPhase(id, api.TaskRunning) == 0 })
	s.environment.Cloud.Terminate(x.Host)
	s.nodes[0].running = false
	s.runFor(6)
	s.startNode(0)
	s.runUntil(t, 100, "done", s.isDone(id))
	for range 40 {
		s.runRound()
		if n := s.tasksInPhase(id, api.TaskRunning) + s.tasksInPhase(id, api.TaskGathering); n > 0 {
			t.Fatalf("%d tasks of a done gang run", n)
		}
	}
}

// What a newer worker says in words that this version doesn't have is read as the
// safest: a task that runs, an end without success.
func TestUnknownPhasesAndCauses(t *testing.T) {
	if agent.ExitReasonOf("melted") != job.ExitLost || api.ExitCause("melted").Known() || api.TaskPhase("melting").Known() {
		t.Fatal("an unknown word is taken for a known one")
	}
	for _, how := range []api.ExitCause{api.CausePeerLost, api.CauseGangIncomplete} {
		g := &job.Gang{Attempt: 1, Launched: true}
		if g.RecordTaskEnd(1, agent.ExitReasonOf(how), true); !g.Ended {
			t.Fatalf("goes on after %s", how)
		}
	}
}

// Two gangs that each find half of what they need don't block one another, and a large
// one begins under a stream of small ones.
func TestGangsDontBlockOneAnother(t *testing.T) {
	s := newReadyCluster()
	first := s.submitGang(t, func(r *api.Job, d *time.Duration) { r.Tasks, *d = 8, 3*time.Second })
	second := s.submitGang(t, func(r *api.Job, d *time.Duration) { r.Tasks, *d = 8, 3*time.Second })
	s.runUntil(t, 400, "the first", s.isDone(first))
	s.runUntil(t, 400, "the second", s.isDone(second))
	s.environment.Cloud.NoCapacity = true // what there is has to do
	large := s.submitGang(t, func(r *api.Job, d *time.Duration) { r.Tasks, *d = 8, 3*time.Second })
	k := 0
	s.runUntil(t, 480, "the large one", func() bool {
		if k++; k%6 == 0 {
			id := fmt.Sprintf("run-%06d", 1000+k)
			r := s.environment.Jobs[large].Spec
			r.UID, r.Tasks = id, 2
			s.environment.Jobs[id] = &simulator.Job{Spec: r, RunTime: 6 * time.Second, DoneTasks: map[int]bool{}}
			s.submit(0, id)
		}
		return s.isDone(large)()
	})
}

// A gang that goes together and finds no room looks for it in the zone where it can have
// some: it once stuck to its own, which was full of work of its own priority and where nothing
// was left to rent, while the other had tasks of lower priority.
func TestGangTakesTheZoneThatYields(t *testing.T) {
	s := newReadyCluster()
	for zone, priority := range map[string]api.Priority{"x": api.Standard, "y": api.Idle} {
		s.submitJob(func(r *api.Job, d *time.Duration) {
			r.Zone, r.Priority, r.Tasks, *d = zone, priority, 4, 10*time.Minute
		})
	}
	s.runUntil(t, 100, "both zones are full", func() bool { return s.runningTasks("run-000000")+s.runningTasks("run-000001") == 8 })
	s.environment.Cloud.NoCapacity = true
	id := s.submitGang(t, func(r *api.Job, _ *time.Duration) { r.SingleZone, r.Tasks = true, 3 })
	s.runUntil(t, 80, "all run", func() bool { return s.tasksInPhase(id, api.TaskRunning) == 3 })
}
