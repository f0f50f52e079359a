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

// gang submits one to a world where room for it is up.
func (s *sim) gang(t *testing.T, change func(*api.Job, *time.Duration)) string {
	t.Helper()
	id := s.job(func(r *api.Job, d *time.Duration) {
		r.Kind, r.Tasks, r.GPUs, r.CPUs, r.MemGB = api.Gang, 4, 1, 1, 4
		*d = 30 * time.Second
		if change != nil {
			change(r, d)
		}
	})
	if !s.w.Jobs[id].Accepted {
		t.Fatal("not accepted")
	}
	return id
}

// holder returns a machine that has a task of the job.
func (s *sim) holder(id string) *simulator.Worker {
	for _, h := range s.w.Cloud.Names() {
		for _, p := range s.w.Cloud.Hosts[h].Heartbeat().Tasks {
			if uid, _, _ := api.SplitTaskName(p.Task); uid == id {
				return s.w.Cloud.Hosts[h]
			}
		}
	}
	return nil
}

// phases counts a job's tasks by what their workers say.
func (s *sim) phases(id, phase string) int {
	n := 0
	for _, x := range s.w.Cloud.Hosts {
		for _, p := range x.Heartbeat().Tasks {
			if uid, _, _ := api.SplitTaskName(p.Task); uid == id && p.Phase == phase {
				n++
			}
		}
	}
	return n
}

// A gang of one, one that several shards hold together, and one whose tasks take several
// records each start all at once under one number, and end at once.
func TestGangsRunTogether(t *testing.T) {
	for _, n := range []int{1, 4, 60} {
		s := warmSim()
		id := s.gang(t, func(r *api.Job, _ *time.Duration) {
			if r.Tasks = n; n > 4 {
				r.GPUs, r.CPUs = 0, 0.5
			}
		})
		s.rounds(t, 300, "all run", func() bool {
			on := s.phases(id, api.Running)
			if on != 0 && on != n {
				t.Fatalf("%d of %d run", on, n)
			}
			return on == n
		})
		s.rounds(t, 200, "done", s.done(id))
		s.rounds(t, 40, "its records are gone", func() bool {
			c := s.nodes[0].c
			return c.testState().Cache.Jobs[id] == nil && len(c.testState().Cache.TaskRanges[id]) == 0
		})
	}
}

// While a gang gathers one of its machines is lost: the others wait for a replacement
// under the same number, and the lost task is surely dead before that starts.
func TestGatheringGangGetsReplacement(t *testing.T) {
	s := warmSim()
	s.w.GangWait = 25 * time.Second
	for _, n := range s.nodes {
		n.c.node.Settings.Facts.Workers.GangWaitS = 25
	}
	other := s.gang(t, func(_ *api.Job, d *time.Duration) { *d = 2 * time.Second }) // machines for all are up
	s.rounds(t, 300, "done", s.done(other))
	s.w.MachineType.Fetch = 6 * time.Second
	id := s.gang(t, nil)
	s.rounds(t, 40, "some have been launched", func() bool { return s.phases(id, api.Fetching) == 4 })
	s.w.Cloud.Kill(s.holder(id).Host)
	s.rounds(t, 100, "all run", func() bool { return s.phases(id, api.Running) == 4 })
	if g := s.nodes[0].c.testState().Cache.Jobs[id].Record.Gang; g.Attempt != 1 {
		t.Fatalf("runs as attempt %d", g.Attempt)
	}
	s.rounds(t, 200, "done", s.done(id))
}

// A running gang loses a machine: the attempt is over as a whole, and the next one goes
// on from the last checkpoint when all of the old one is surely gone.
func TestRunningGangLosesMachine(t *testing.T) {
	for _, how := range []string{"killed", "hangs", "cut"} {
		s := warmSim()
		id := s.gang(t, func(r *api.Job, _ *time.Duration) { r.CheckpointS, r.SaveS, r.Together = 5, 1, true })
		s.rounds(t, 300, "all run", func() bool { return s.phases(id, api.Running) == 4 })
		for range 20 {
			s.round()
		}
		x := s.holder(id)
		switch how {
		case "killed":
			s.w.Cloud.Kill(x.Host)
		case "hangs":
			x.Hung = true
		case "cut":
			x.Partitioned = true
		}
		s.rounds(t, 400, how+": a later attempt runs", func() bool {
			j := s.nodes[0].c.testState().Cache.Jobs[id]
			return j != nil && j.Record.Gang.Attempt > 1 && s.phases(id, api.Running) == 4
		})
		s.rounds(t, 300, "done", s.done(id))
	}
}

// A gang told to make room for work of higher rank saves its progress as a whole, and
// later goes on from there.
func TestPreemptedGangSaves(t *testing.T) {
	s := warmSim()
	id := s.gang(t, func(r *api.Job, d *time.Duration) {
		r.Priority, r.CheckpointS, r.SaveS, *d = "idle", 100, 1, 40*time.Second
	})
	s.rounds(t, 300, "all run", func() bool { return s.phases(id, api.Running) == 4 })
	for range 20 {
		s.round()
	}
	s.w.Cloud.Full = true
	s.job(func(r *api.Job, _ *time.Duration) { r.Priority, r.Tasks, r.Kind = "production", 4, api.Array })
	saved := false
	s.rounds(t, 100, "the gang has left", func() bool {
		for _, x := range s.w.Cloud.Hosts {
			for _, p := range x.Heartbeat().Tasks {
				uid, _, _ := api.SplitTaskName(p.Task)
				saved = saved || uid == id && p.Phase == api.Ended && p.Saved
			}
		}
		return s.phases(id, api.Running) == 0
	})
	if !saved {
		t.Fatal("its progress was lost")
	}
	s.w.Cloud.Full = false
	s.rounds(t, 400, "done", s.done(id))
}

// A gang that holds only some of its room gives it back after too many misses, and what
// is held when its user cancels is free at once, without a word from the machines.
func TestHeldRoomIsFreed(t *testing.T) {
	s := warmSim()
	c := s.nodes[0].c
	warm := s.job(func(r *api.Job, d *time.Duration) { r.Tasks, *d = 4, 2*time.Second })
	s.rounds(t, 300, "done", s.done(warm))
	lease := func(withdraw bool) {
		id := s.gang(t, func(r *api.Job, _ *time.Duration) { r.Tasks, r.GPUs, r.Team = 300, 1, "b" })
		j := c.testState().Cache.Jobs[id]
		var host *sched.Host
		for _, h := range c.testState().Scheduler.SchedulableHosts(c.node.Now()) {
			if h.Shard == "n0" {
				host = h
			}
		}
		if host == nil {
			t.Fatal("no machine of its own part")
		}
		c.guard.Lock()
		tx, _, _ := c.testState().Scheduler.GangTransaction(&scheduler.GangClaim{UID: id, Placements: []capacity.Placement{{UID: id, Host: host}}}, c.node.Now())
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
		if withdraw {
			s.cancel(0, id)
			c.decisions.UpdateGangs(t.Context())
			if n := j.CountPlaced(); n != 0 {
				t.Fatalf("%d places are held after the cancellation", n)
			}
			return
		}
		s.rounds(t, 40, "released", func() bool { return j.CountPlaced() == 0 })
		if !c.testState().Scheduler.HasReleasedClaims(id) {
			t.Fatal("does not go before newer ones")
		}
		for _, x := range s.w.Cloud.Hosts {
			for _, p := range x.Heartbeat().Tasks {
				if uid, _, _ := api.SplitTaskName(p.Task); uid == id {
					t.Fatal("a task was started without the others")
				}
			}
		}
		s.cancel(0, id)
	}
	lease(true)
	lease(false)
}

// Once one task is done all are, whatever becomes of their machines and of the shard's
// owner: nothing is started again, and nobody calls the job anything else.
func TestDoneGangStaysDone(t *testing.T) {
	s := warmSim()
	id := s.gang(t, func(r *api.Job, d *time.Duration) { r.Together, *d = true, 8*time.Second })
	s.rounds(t, 300, "all run", func() bool { return s.phases(id, api.Running) == 4 })
	x := s.holder(id)
	s.rounds(t, 60, "its tasks are done", func() bool { return s.phases(id, api.Running) == 0 })
	s.w.Cloud.Kill(x.Host)
	s.nodes[0].up = false
	for range 6 {
		s.round()
	}
	s.start(0)
	s.rounds(t, 100, "done", s.done(id))
	for range 40 {
		s.round()
		if n := s.phases(id, api.Running) + s.phases(id, api.Gathering); n > 0 {
			t.Fatalf("%d tasks of a done gang run", n)
		}
	}
}

// What a newer worker says in words that this version doesn't have is read as the
// safest: a task that runs, an end without success.
func TestUnknownWords(t *testing.T) {
	if agent.ExitReasonOf("melted") != job.ExitLost || api.KnownCause("melted") || api.KnownPhase("melting") {
		t.Fatal("an unknown word is taken for a known one")
	}
	for _, how := range []string{api.CausePeerLost, api.CauseGangIncomplete} {
		g := &job.Gang{Attempt: 1, Launched: true}
		if g.TaskEnded(1, agent.ExitReasonOf(how), true); !g.Ended {
			t.Fatalf("goes on after %s", how)
		}
	}
}

// Two gangs that each find half of what they need don't block one another, and a large
// one begins under a stream of small ones.
func TestGangsDontBlockOneAnother(t *testing.T) {
	s := warmSim()
	first := s.gang(t, func(r *api.Job, d *time.Duration) { r.Tasks, *d = 8, 3*time.Second })
	second := s.gang(t, func(r *api.Job, d *time.Duration) { r.Tasks, *d = 8, 3*time.Second })
	s.rounds(t, 400, "the first", s.done(first))
	s.rounds(t, 400, "the second", s.done(second))
	s.w.Cloud.Full = true // what there is has to do
	large := s.gang(t, func(r *api.Job, d *time.Duration) { r.Tasks, *d = 8, 3*time.Second })
	k := 0
	s.rounds(t, 480, "the large one", func() bool {
		if k++; k%6 == 0 {
			id := fmt.Sprintf("run-%06d", 1000+k)
			r := s.w.Jobs[large].Spec
			r.UID, r.Tasks = id, 2
			s.w.Jobs[id] = &simulator.Job{Spec: r, RunTime: 6 * time.Second, Done: map[int]bool{}}
			s.submit(0, id)
		}
		return s.done(large)()
	})
}

// A gang that goes together and finds no room looks for it in the zone where it can have
// some: it once stuck to its own, which was full of work of its own rank and where nothing
// was left to rent, while the other had tasks of lower rank.
func TestGangTakesTheZoneThatYields(t *testing.T) {
	s := warmSim()
	for zone, priority := range map[string]string{"x": "standard", "y": "idle"} {
		s.job(func(r *api.Job, d *time.Duration) {
			r.Zone, r.Priority, r.Tasks, *d = zone, priority, 4, 10*time.Minute
		})
	}
	s.rounds(t, 100, "both zones are full", func() bool { return s.running("run-000000")+s.running("run-000001") == 8 })
	s.w.Cloud.Full = true
	id := s.gang(t, func(r *api.Job, _ *time.Duration) { r.Together, r.Tasks = true, 3 })
	s.rounds(t, 80, "all run", func() bool { return s.phases(id, api.Running) == 3 })
}
