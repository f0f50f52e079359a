package controller

import (
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/simulator"
)

// A machine that was fenced (by raising its token to the current term) before its first heartbeat
// was answered must not be returned at once. It once counted as silent since a time long before it
// was rented.
func TestNewMachineIsNotReturned(t *testing.T) {
	s := newTestCluster()
	s.runFor(60) // the terms are old by then
	id := s.submitJob(nil)
	s.runUntil(t, 20, "machine rented", func() bool { return len(s.environment.Cloud.WorkersByHost) > 0 })
	firstMachine := s.environment.Cloud.HostNames()[0]
	for range 30 { // no heartbeats: the controllers only fence the machine
		for i := range s.nodes {
			s.stepNode(i)
		}
		s.environment.Advance(roundInterval)
		if s.environment.Cloud.WorkersByHost[firstMachine] == nil {
			t.Fatalf("machine %s was returned before its first heartbeat, want it kept", firstMachine)
		}
	}
	s.runUntil(t, 60, "array done", s.isDone(id))
}

// New machines boot within two seconds and get work at once, while requests to the services fail
// or are delayed and controllers restart.
func TestMachinesThatBootFast(t *testing.T) {
	for _, boot := range []time.Duration{0, time.Second, 2 * time.Second} {
		t.Run(fmt.Sprintf("boot in %v", boot), func(t *testing.T) {
			s := newReadyCluster()
			s.environment.MachineType.BootTime = boot
			array := s.submitArray(12, 2*time.Second, nil)
			// The controller that rents receives no response and is restarted: only the
			// heartbeats of the machines show that they exist.
			for round := 0; round < 20 && len(s.environment.Cloud.WorkersByHost) == 0; round++ {
				for _, n := range s.nodes {
					s.environment.Cloud.NextFault[n.name] = simulator.ResponseLost
				}
				s.runRounds(t, 1)
			}
			if len(s.environment.Cloud.WorkersByHost) == 0 {
				t.Error("no machine was rented in 20 rounds, want at least one")
			}
			for i := range s.nodes {
				s.startNode(i)
			}
			s.submitService(3, nil)
			for round := range 30 {
				s.environment.Store.NextFault[s.nodes[round%3].name] = simulator.Fault(round % 4)
				s.environment.Cloud.NextFault[s.nodes[(round+1)%3].name] = simulator.Fault(round % 3)
				if round%5 == 4 {
					s.environment.Store.DeliverDelayed()
				}
				if round%10 == 9 {
					s.startNode(round / 10)
				}
				s.runRounds(t, 1)
			}
			s.runUntil(t, 200, "array done", s.isDone(array))
			s.checkRecovery(t)
			s.runUntil(t, 400, "at most 4 machines remain", func() bool { return len(s.environment.Cloud.WorkersByHost) <= 4 })
		})
	}
}

// All machines of a job that needs a thousand are rented while the first ones boot. The job's tasks
// were once planned a few hundred at a time: those fit the provisioning machines, and no more
// machines were rented until these had booted.
func TestLargeJobRentsAllMachinesWhileFirstBoot(t *testing.T) {
	s := newTestCluster()
	s.environment.MachineType.BootTime = 100 * time.Second
	s.runFor(10)
	s.submitJob(func(j *api.Job, runTime *time.Duration) { j.Tasks, *runTime = 2000, time.Hour })
	s.runUntil(t, 60, "a thousand machines are rented", func() bool { return len(s.environment.Cloud.WorkersByHost) >= 1000 })
	if machines := len(s.environment.Cloud.WorkersByHost); machines > 1100 {
		t.Errorf("%d machines are rented for 2000 tasks, two per machine; want at most 1100", machines)
	}
	for _, worker := range s.environment.Cloud.Workers() {
		if worker.Booted() {
			t.Fatalf("machine %s has booted before the last machine was rented, want none booted", worker.Host)
		}
	}
}

// Headroom is rented as soon as it is needed, and in each run of the autoscaler until there is
// enough. A rental is limited to what the cloud provides at once, and an autoscaler that checked the
// headroom only every sixteenth of a boot time once rented too few machines in the first minutes.
func TestHeadroomTakesSeveralRentals(t *testing.T) {
	s := newTestCluster()
	s.environment.MachineType.BootTime = time.Minute
	s.runFor(4)
	c := s.nodes[0].controller
	c.node.Settings.Facts.Objectives = []config.Objective{{Kind: config.ObjectiveWait, Class: "l", WithinS: 10}}
	spec := &api.Job{
		UID:      "run-1",
		Class:    "l",
		Team:     "b",
		Kind:     api.Service,
		Priority: "production",
		Tasks:    40,
		CPUs:     1,
		GPUs:     1,
		MemGB:    4,
		Image:    "i",
	}
	for range 40 {
		c.testState().Accounting.Arrivals().Record(&job.Record{Spec: *spec, AcceptedMS: c.node.Now().UnixMilli()})
	}
	s.runFor(6) // a sixteenth of the boot time is eight rounds
	if machines := len(s.environment.Cloud.WorkersByHost); machines < 150 {
		t.Fatalf("%d machines after three seconds, want at least 150", machines)
	}
	rented := len(s.environment.Cloud.WorkersByHost)
	s.runFor(6)
	if machines := len(s.environment.Cloud.WorkersByHost); machines != rented {
		t.Fatalf("%d machines, and %d three seconds later: want no change, as there were enough", rented, machines)
	}
}
