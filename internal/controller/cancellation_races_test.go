package controller

import (
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// One-task jobs are submitted at four per second for a minute, and a quarter of them cause a
// cancellation of a recent job, through any controller and at any age of the job.
func TestOneTaskJobsWithCancellations(t *testing.T) {
	s := newReadyCluster()
	for round := range 120 { // one minute with two jobs per round
		for jobInRound := range 2 {
			id := s.submitArray(1, 2*time.Second, func(j *api.Job) { j.GPUs, j.CPUs, j.MemGB = 0, 0.5, 1 })
			if submitted := 2*round + jobInRound; submitted%4 == 0 {
				s.environment.Jobs[id].RunTime = time.Minute
				s.cancel(submitted%3, s.jobIDs[max(0, len(s.jobIDs)-1-submitted%7)])
			}
		}
		switch round {
		case 40:
			s.startNode(0)
		case 80:
			s.environment.Store.NextFault["n1"] = simulator.Delayed
		case 90:
			s.environment.Store.DeliverDelayed()
		}
		s.runRounds(t, 1)
	}
	s.checkRecovery(t)
}

// A cancellation, a query and a repeated submission arrive when the last task of a job ends, with
// no other fault and with a fault that loses or delays a request or response of the state
// service.
func TestCancellationAtLastTaskEnd(t *testing.T) {
	for node := range 3 {
		for _, fault := range []simulator.Fault{simulator.NoFault, simulator.ResponseLost, simulator.RequestLost, simulator.Delayed} {
			for _, kind := range []api.JobKind{api.Array, api.Gang} {
				t.Run(fmt.Sprintf("n%d, %s, fault %v", node, kind, fault), func(t *testing.T) {
					s := newReadyCluster()
					id := s.submitArray(2, 2*time.Second, func(j *api.Job) { j.Kind = kind })
					endedTasks := 0
					s.environment.OnTaskDone = func(uid string) {
						if endedTasks++; uid == id && endedTasks == 2 {
							s.environment.Store.NextFault[s.nodes[node].name] = fault
							s.cancel(node, id)
							s.queryEverywhere(id)
						}
					}
					s.runUntil(t, 80, "both tasks ended", func() bool { return endedTasks == 2 })
					for range 12 {
						s.queryEverywhere(id)
						s.runRounds(t, 1)
					}
					s.environment.Store.DeliverDelayed()
					s.queryEverywhere(id)
					if s.checkRecovery(t); s.environment.Jobs[id].FinalPhase == "" {
						t.Errorf("controller %d, fault %v, %s: job has no final phase, want one", node, fault, kind)
					}
				})
			}
		}
	}
}

// Another controller confirms a cancellation between a decision and its transaction. The decision
// is a placement, the end of the last task, or a claim of a gang. The transaction, which comes
// later, must have no effect.
func TestCancellationDuringDecision(t *testing.T) {
	for _, kind := range []api.JobKind{api.Array, api.Gang} {
		for _, lastTaskEnded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, last task ended %t", kind, lastTaskEnded), func(t *testing.T) {
				s := newReadyCluster()
				idleArray := s.submitArray(4, time.Hour, func(j *api.Job) { j.Priority = "idle" })
				s.runUntil(t, 80, "machines run tasks", func() bool { return s.runningTasks(idleArray) == 4 })
				id := s.submitArray(2, 2*time.Second, func(j *api.Job) { j.Kind = kind })
				if lastTaskEnded {
					endedTasks := 0
					s.environment.OnTaskDone = func(uid string) {
						if uid == id {
							endedTasks++
						}
					}
					s.runUntil(t, 80, "both tasks ended", func() bool { return endedTasks == 2 })
				}
				var confirmedPhase api.JobPhase
				s.beforeCommits(func(node int) {
					if confirmedPhase != "" {
						return
					}
					s.cancel((node+1)%3, id)
					confirmedPhase = s.environment.Jobs[id].FinalPhase
					s.queryEverywhere(id)
				})
				for range 12 {
					s.runRounds(t, 1)
					s.queryEverywhere(id)
				}
				if confirmedPhase != api.JobCancelled {
					t.Errorf("%s, last task ended %t: cancellation answered with phase %q, want %q",
						kind, lastTaskEnded, confirmedPhase, api.JobCancelled)
				}
				s.cancel(0, idleArray)
				s.checkRecovery(t)
				if s.environment.LaunchesAfterCancel > 0 {
					t.Errorf("%s, last task ended %t: %d tasks started after a confirmed cancellation, want 0",
						kind, lastTaskEnded, s.environment.LaunchesAfterCancel)
				}
			})
		}
	}
}

// Users query all controllers repeatedly and repeat the submission, right after a job was accepted,
// ended or confirmed as cancelled, and some cancel at once.
func TestQueriesRightAfterChanges(t *testing.T) {
	s := newReadyCluster()
	for round := range 24 {
		var id string
		if round%3 == 0 {
			id = s.submitService(1, nil)
		} else {
			id = s.submitArray(1, time.Second, nil)
		}
		s.queryEverywhere(id)
		if round%3 == 0 {
			s.cancel((round+1)%3, id)
			s.queryEverywhere(id)
			if s.environment.Jobs[id].FinalPhase != api.JobCancelled {
				t.Fatalf("job in phase %q after its cancellation, want %q", s.environment.Jobs[id].FinalPhase, api.JobCancelled)
			}
		}
		switch round {
		case 6:
			s.environment.Store.RefusedControllers["n2"] = true // it forwards requests to its peers
		case 12:
			s.environment.Store.RefusedControllers["n2"] = false
		case 15:
			s.startNode(1)
		}
		for range 4 {
			s.runRounds(t, 1)
			for _, id := range s.jobIDs {
				s.queryEverywhere(id)
			}
		}
	}
	s.checkRecovery(t)
	if s.environment.LaunchesAfterCancel > 0 {
		t.Errorf("%d tasks started after a confirmed cancellation, want 0", s.environment.LaunchesAfterCancel)
	}
}
