//go:build !race

package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// Three controllers fill four thousand simulated machines with tasks. One controller stops and another
// one acquires its shard, then all controllers restart at once. No rule of the protocol may be violated.
//
// The test runs in simulated time in one goroutine, so it does not show whether real processes handle
// this load. Under the race detector it would take minutes, so it is excluded there and test.sh runs it
// separately.
func TestFourThousandMachines(t *testing.T) {
	scenario := newLoadScenario(simulator.Deployment4000())
	scenario.phase = "fill"
	for _, class := range []*simulator.JobClass{&scenario.deployment.ServiceJobs, &scenario.deployment.ArrayJobs} {
		for range class.InitialJobs {
			scenario.submitNewJob(class)
		}
	}
	scenario.runPhase("fill", 150*time.Second)
	booted := scenario.bootedMachines()
	const minBooted = 3400 // the randomly drawn jobs need about four thousand
	if booted < minBooted {
		t.Fatalf("%d machines have booted when the fill phase ends, want at least %d", booted, minBooted)
	}
	tasksBefore := scenario.totalPresentTasks()

	scenario.nodes[2].running = false
	scenario.runPhase("takeover", 30*time.Second)
	if leader := scenario.nodes[0].state().Cache.Leaders["n2"].Record; leader == nil || leader.Node == "n2" {
		t.Fatalf("shard of the stopped controller n2 has leader record %+v, want another leader", leader)
	}
	for i := range scenario.nodes {
		scenario.startNode(i)
	}
	scenario.runPhase("start", 45*time.Second)

	if tasksAfter := scenario.totalPresentTasks(); tasksAfter < tasksBefore*9/10 {
		t.Errorf("%d unfinished tasks are on machines after the restart, want at least 9/10 of the %d before", tasksAfter, tasksBefore)
	}
	scenario.checkAcceptedJobs(t)
	for _, violation := range scenario.environment.Violations {
		t.Error(violation)
	}
}

// bootedMachines counts the machines that have booted.
func (l *loadScenario) bootedMachines() int {
	n := 0
	for _, worker := range l.environment.Cloud.Workers() {
		if worker.Booted() {
			n++
		}
	}
	return n
}

// totalPresentTasks counts the unfinished tasks on all machines.
func (l *loadScenario) totalPresentTasks() int {
	n := 0
	for _, worker := range l.environment.Cloud.Workers() {
		n += len(worker.UnfinishedTaskJobs())
	}
	return n
}

// checkAcceptedJobs queries every job at every controller and checks that the jobs that were accepted
// and not cancelled are found. The simulator checks the content of the responses.
func (l *loadScenario) checkAcceptedJobs(t *testing.T) {
	t.Helper()
	for i := range l.nodes {
		for _, uid := range l.jobIDs {
			status, body := l.request("user", i, "GET", "/v2/runs/"+uid, nil)
			l.checkResponse(uid, status, body, false)
			if job := l.environment.Jobs[uid]; job.Accepted && status != 200 && job.FinalPhase != api.JobCancelled {
				t.Errorf("controller %d answers with status %d, want 200, the query for accepted job %s", i, status, uid)
			}
		}
	}
}
