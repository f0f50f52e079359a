//go:build !race

package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// Four thousand simulated service machines: three controllers fill them, one ends and its machines
// are taken over, then all end at once and start anew, and go on without a broken rule.
//
// It is simulated time in one goroutine, so nothing shows how real processes keep up; and
// it takes minutes under the race detector, for which test.sh runs it apart.
func TestFourThousandMachines(t *testing.T) {
	l := newLoadScenario(simulator.Deployment4000())
	l.phase = "fill"
	for _, class := range []*simulator.JobClass{&l.deployment.ServiceJobs, &l.deployment.ArrayJobs} {
		for range class.InitialJobs {
			l.newJob(class)
		}
	}
	l.play("fill", 150*time.Second)
	up := l.machinesUp()
	const wanted = 3400 // about four thousand, as the jobs that are drawn need them
	if up < wanted {
		t.Fatalf("%d machines are up, not %d", up, wanted)
	}
	before := l.tasksRunning()

	l.nodes[2].running = false
	l.play("takeover", 30*time.Second)
	if own := l.nodes[0].state().Cache.Leaders["n2"].Record; own == nil || own.Node == "n2" {
		t.Fatalf("the lost controller's shard is led by %v", own)
	}
	for i := range l.nodes {
		l.startNode(i)
	}
	l.play("start", 45*time.Second)

	if after := l.tasksRunning(); after < before*9/10 {
		t.Errorf("%d tasks run after the restart, %d before", after, before)
	}
	l.checkAccepted(t)
	for _, broken := range l.environment.Violations {
		t.Error(broken)
	}
}

// machinesUp counts the machines that have booted.
func (l *loadScenario) machinesUp() int {
	n := 0
	for _, x := range l.environment.Cloud.Workers() {
		if x.Booted() {
			n++
		}
	}
	return n
}

// tasksRunning counts the tasks on machines.
func (l *loadScenario) tasksRunning() int {
	n := 0
	for _, x := range l.environment.Cloud.Workers() {
		n += len(x.UnfinishedTaskJobs())
	}
	return n
}

// checkAccepted asks every controller for every job and checks that those that were
// accepted are known. What is said is checked by the world.
func (l *loadScenario) checkAccepted(t *testing.T) {
	t.Helper()
	for i := range l.nodes {
		for _, uid := range l.jobIDs {
			status, body := l.request("user", i, "GET", "/v2/runs/"+uid, nil)
			l.checkResponse(uid, status, body, false)
			if j := l.environment.Jobs[uid]; j.Accepted && status != 200 && j.FinalPhase != api.JobCancelled {
				t.Errorf("controller %d answers %d for %s", i, status, uid)
			}
		}
	}
}
