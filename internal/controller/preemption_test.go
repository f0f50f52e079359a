package controller

import (
	"slices"
	"testing"
	"time"

	"violetturn/internal/api"
)

// Work of a higher priority preempts work of a lower one, but no more tasks than it needs.
func TestProductionPreemptsIdle(t *testing.T) {
	s := newReadyCluster()
	idleJob := s.submitJob(func(j *api.Job, runTime *time.Duration) {
		j.Team, j.Priority, j.Tasks = "b", "idle", 4
		*runTime = time.Hour
	})
	s.runUntil(t, 80, "idle tasks run", func() bool { return s.runningTasks(idleJob) == 4 })
	s.environment.Cloud.NoCapacity = true
	productionJob := s.submitJob(func(j *api.Job, _ *time.Duration) { j.Kind, j.Priority, j.Tasks = api.Service, "production", 1 })
	s.runUntil(t, 20, "production task runs", func() bool { return s.runningTasks(productionJob) == 1 })
	if running := s.runningTasks(idleJob); running != 3 {
		t.Fatalf("%d idle tasks run, want 3 of 4", running)
	}
}

// Urgent and standard work exceeds the capacity, and responses to heartbeats are slow: the urgent
// jobs run first, and no job is lost.
func TestUrgentJobsRunFirstWhenCapacityIsShort(t *testing.T) {
	s := newReadyCluster()
	idleArray := s.submitArray(8, time.Hour, func(j *api.Job) { j.Priority = "idle" })
	s.runUntil(t, 80, "idle tasks run", func() bool { return s.runningTasks(idleArray) > 0 })
	s.environment.Cloud.NoCapacity = true
	var urgent []string
	for range 3 {
		urgent = append(urgent, s.submitArray(3, 3*time.Second, func(j *api.Job) { j.Priority = "urgent" }))
		s.submitArray(3, 3*time.Second, func(j *api.Job) { j.Priority = "standard" })
	}
	for round := 0; round < 400 && slices.ContainsFunc(urgent, func(id string) bool { return !s.isDone(id)() }); round++ {
		for i := range s.nodes {
			s.stepNode(i)
		}
		for i, host := range s.environment.Cloud.HostNames() { // some responses take more than a round
			fault := heartbeatServed
			if (round+i)%2 == 0 {
				fault = responseDelayed
			}
			s.sendHeartbeat(s.environment.Cloud.WorkersByHost[host], fault)
		}
		s.environment.Advance(roundInterval)
		s.checkViolations(t)
	}
	for _, id := range urgent {
		if !s.isDone(id)() {
			t.Errorf("urgent job %s is not done after 400 rounds, want it done", id)
		}
	}
	s.cancel(1, idleArray)
	s.checkRecovery(t)
}

// Guards against production work that waits for as long as a task that it preempts takes to save, if
// that is longer than any job may wait.
func TestProductionNeedNotWaitForLongSave(t *testing.T) {
	for _, saveDurationS := range []float64{241, 1e6, 1e9} {
		s := newReadyCluster()
		idleJob := s.submitArray(2, time.Hour, func(j *api.Job) {
			j.Priority, j.CheckpointIntervalS, j.SaveDurationS = api.Idle, 30, saveDurationS
		})
		s.runUntil(t, 80, "idle tasks run", func() bool { return s.runningTasks(idleJob) == 2 })
		s.environment.Cloud.NoCapacity = true
		productionJob := s.submitService(2, func(j *api.Job) { j.Priority = api.Production })
		s.runUntil(t, 40, "production tasks run", func() bool { return s.runningTasks(productionJob) == 2 })
	}
}

// Guards against a gang within its team's guarantee and work of another team that comes before it in the
// scheduling order but is beyond its own guarantee: the gang preempted that work again and again, which
// took the capacity back each time, and neither ever ran.
func TestGangDoesNotPreemptWorkThatReturnsBeforeIt(t *testing.T) {
	s := newTestCluster()
	s.environment.TeamGPULimits["a"] = 8 // half of it is guaranteed
	for i := range s.nodes {
		s.startNode(i)
	}
	s.runFor(10)
	var arrays []string
	for range 2 {
		arrays = append(arrays, s.submitArray(2, 20*time.Second, func(j *api.Job) { j.Priority = api.Production }))
	}
	s.runUntil(t, 80, "arrays run", func() bool { return s.runningTasks(arrays[0])+s.runningTasks(arrays[1]) == 4 })
	s.environment.Cloud.NoCapacity = true
	gang := s.submitGang(t, func(j *api.Job, _ *time.Duration) { j.Team, j.Priority = "a", api.Idle })
	for _, id := range append(arrays, gang) {
		s.runUntil(t, 200, id+" is done", s.isDone(id))
	}
}
