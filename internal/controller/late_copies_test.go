package controller

import (
	"slices"
	"strings"
	"testing"
	"time"

	"violetturn/internal/api"
)

// attemptOn returns the task of a job with one task as the machine's worker reports it, ended or not; nil
// if it reports none.
func (s *testCluster) attemptOn(host, uid string) *api.TaskState {
	tasks := s.environment.Cloud.WorkersByHost[host].Heartbeat().Tasks
	i := slices.IndexFunc(tasks, func(task api.TaskState) bool { return strings.HasPrefix(task.Task, uid+"/") })
	if i < 0 {
		return nil
	}
	return &tasks[i]
}

// lateCopyCase is what happens to a running task before a copy of its launch arrives.
type lateCopyCase struct {
	name    string
	runTime time.Duration // of the task; 0: it is a replica
	run     func(t *testing.T, s *testCluster, uid, host string)
}

// lateCopyCases are the ways in which a task leaves its machine.
func lateCopyCases() []lateCopyCase {
	cancel := func(t *testing.T, s *testCluster, uid, _ string) {
		t.Helper()
		s.cancel(1, uid)
		s.runUntil(t, 40, "task stopped", func() bool { return s.presentTasks(uid) == 0 })
	}
	restart := func(t *testing.T, s *testCluster, uid, host string) {
		t.Helper()
		cancel(t, s, uid, host)
		for i := range s.nodes {
			s.startNode(i)
		}
		s.runRounds(t, 2)
	}
	nextLeader := func(t *testing.T, s *testCluster, uid, host string) {
		t.Helper()
		s.nodes[s.preferredLeaderOf(host)].running = false
		s.runRounds(t, 20)
		cancel(t, s, uid, host)
	}
	moved := func(t *testing.T, s *testCluster, uid, host string) {
		t.Helper()
		notice := 6.0 // in which the task has to save, but not its companion
		s.environment.Cloud.WorkersByHost[host].SpotNoticeS = &notice
		s.runUntil(t, 10, "task stopped", func() bool { return !s.isOn(host, uid) })
		s.environment.Cloud.WorkersByHost[host].SpotNoticeS = nil
		leader := s.nodes[s.preferredLeaderOf(host)]
		leader.state().Agents.Agent(host).AvoidUntil = s.environment.Now.Add(time.Minute)
		s.runUntil(t, 120, "task runs on another machine", func() bool { return s.runningTasks(uid) == 1 })
	}
	done := func(t *testing.T, s *testCluster, uid, _ string) {
		t.Helper()
		s.runUntil(t, 40, "task done", s.isDone(uid))
	}
	return []lateCopyCase{
		{"done", 5 * time.Second, done},
		{"cancelled", 0, cancel},
		{"controllers restarted", 0, restart},
		{"next leader", 0, nextLeader},
		{"moved", 0, moved},
	}
}

// Guards against a late copy of a launch that starts an attempt which the worker has forgotten: a task
// on two machines at once, or a cancelled task that runs again.
func TestLateCopyOfLaunchStartsNothing(t *testing.T) {
	for _, c := range lateCopyCases() {
		t.Run(c.name, func(t *testing.T) {
			s := newReadyCluster()
			companion := s.submitArray(1, time.Hour, small) // keeps the machine in use
			s.runUntil(t, 60, "companion runs", func() bool { return s.runningTasks(companion) == 1 })
			host := s.workerOf(companion).Host
			id := s.submitJob(func(j *api.Job, runTime *time.Duration) {
				small(j)
				j.Tasks, j.SaveDurationS, *runTime = 1, 5, c.runTime
				if c.runTime == 0 {
					j.Kind = api.Service
				}
			})
			s.runUntil(t, 60, "replica runs", func() bool { return s.isOn(host, id) })
			launched := s.attemptOn(host, id)
			c.run(t, s, id, host)
			for round := range 400 {
				if round >= 40 && round%10 == 0 {
					s.submitService(1, small) // launches on the machine have the worker clear ended attempts
				}
				s.runRounds(t, 1)
				s.deliverCommandCopies()
				s.deliverLaunchCopies()
				if former := s.attemptOn(host, id); former != nil && former.Attempt == launched.Attempt && former.Phase != api.TaskEnded {
					t.Fatalf("round %d: the ended attempt is %q after copies of all messages, want it ended", round, former.Phase)
				}
			}
			if former := s.attemptOn(host, id); former != nil && former.Attempt == launched.Attempt {
				t.Error("the ended attempt is not cleared after 400 rounds, want it cleared")
			}
		})
	}
}

// isOn reports whether a machine has a task of a job that has not ended.
func (s *testCluster) isOn(host, uid string) bool {
	return slices.Contains(s.environment.Cloud.WorkersByHost[host].UnfinishedTaskJobs(), uid)
}
