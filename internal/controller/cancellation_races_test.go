package controller

import (
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// One-task jobs come four a second for minutes and a quarter of them is cancelled, through
// any node and at any age.
func TestOneTaskJobs(t *testing.T) {
	s := newReadyCluster()
	for k := range 120 { // a minute of two jobs a round
		for i := range 2 {
			id := s.submitArray(1, 2*time.Second, func(r *api.Job) { r.GPUs, r.CPUs, r.MemGB = 0, 0.5, 1 })
			if n := 2*k + i; n%4 == 0 {
				s.environment.Jobs[id].RunTime = time.Minute
				s.cancel(n%3, s.jobIDs[max(0, len(s.jobIDs)-1-n%7)])
			}
		}
		switch k {
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

// A cancellation, a query and a repeated submission come at the end of a job's last task,
// with no other fault and with one that loses responses.
func TestCancellationAtLastTaskEnd(t *testing.T) {
	for node := range 3 {
		for _, f := range []simulator.Fault{simulator.NoFault, simulator.ResponseLost, simulator.RequestLost, simulator.Delayed} {
			for _, kind := range []api.JobKind{api.Array, api.Gang} {
				t.Run(fmt.Sprintf("n%d, %s, fault %v", node, kind, f), func(t *testing.T) {
					s := newReadyCluster()
					id := s.submitArray(2, 2*time.Second, func(r *api.Job) { r.Kind = kind })
					ends := 0
					s.environment.OnTaskDone = func(uid string) {
						if ends++; uid == id && ends == 2 {
							s.environment.Store.NextFault[s.nodes[node].name] = f
							s.cancel(node, id)
							s.queryEverywhere(id)
						}
					}
					s.runUntil(t, 80, "both ended", func() bool { return ends == 2 })
					for range 12 {
						s.queryEverywhere(id)
						s.runRounds(t, 1)
					}
					s.environment.Store.DeliverDelayed()
					s.queryEverywhere(id)
					if s.checkRecovery(t); s.environment.Jobs[id].FinalPhase == "" {
						t.Errorf("node %d, fault %d, %s: never over", node, f, kind)
					}
				})
			}
		}
	}
}

// A cancellation is confirmed by another node in the moment between a decision and its
// transaction: a placement, the end of the last task, a claim of a gang. The later of the
// two is not carried out.
func TestCancellationBesideDecision(t *testing.T) {
	for _, kind := range []api.JobKind{api.Array, api.Gang} {
		for _, last := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, last task ended %t", kind, last), func(t *testing.T) {
				s := newReadyCluster()
				low := s.submitArray(4, time.Hour, func(r *api.Job) { r.Priority = "idle" })
				s.runUntil(t, 80, "machines are up", func() bool { return s.runningTasks(low) == 4 })
				id := s.submitArray(2, 2*time.Second, func(r *api.Job) { r.Kind = kind })
				if last {
					ends := 0
					s.environment.OnTaskDone = func(uid string) {
						if uid == id {
							ends++
						}
					}
					s.runUntil(t, 80, "both ended", func() bool { return ends == 2 })
				}
				var told api.JobPhase
				s.beforeCommits(func(node int) {
					if told != "" {
						return
					}
					s.cancel((node+1)%3, id)
					told = s.environment.Jobs[id].FinalPhase
					s.queryEverywhere(id)
				})
				for range 12 {
					s.runRounds(t, 1)
					s.queryEverywhere(id)
				}
				if told != api.JobCancelled {
					t.Errorf("%s, last %t: told %q", kind, last, told)
				}
				s.cancel(0, low)
				s.checkRecovery(t)
				if s.environment.LaunchesAfterCancel > 0 {
					t.Errorf("%s, last %t: %d starts after a confirmed cancellation", kind, last, s.environment.LaunchesAfterCancel)
				}
			})
		}
	}
}

// Users ask at all nodes, again and again, and repeat the submission, right after a job
// was accepted, ended or confirmed as cancelled, and some cancel at once.
func TestQueriesRightAfterChanges(t *testing.T) {
	s := newReadyCluster()
	for k := range 24 {
		var id string
		if k%3 == 0 {
			id = s.submitService(1, nil)
		} else {
			id = s.submitArray(1, time.Second, nil)
		}
		s.queryEverywhere(id)
		if k%3 == 0 {
			s.cancel((k+1)%3, id)
			s.queryEverywhere(id)
			if s.environment.Jobs[id].FinalPhase != api.JobCancelled {
				t.Fatal("not confirmed")
			}
		}
		switch k {
		case 6:
			s.environment.Store.RefusedNodes["n2"] = true // it passes its users on
		case 12:
			s.environment.Store.RefusedNodes["n2"] = false
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
		t.Errorf("%d starts were sent after a confirmed cancellation", s.environment.LaunchesAfterCancel)
	}
}
