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

// A machine that was fenced before its first heartbeat was answered once counted
// as silent since long before it was rented, and went back at once.
func TestNewMachineIsKept(t *testing.T) {
	s := newTestCluster()
	s.runFor(60) // terms grow old
	id := s.submitJob(nil)
	s.runUntil(t, 20, "machine rented", func() bool { return len(s.environment.Cloud.WorkersByHost) > 0 })
	first := s.environment.Cloud.HostNames()[0]
	for range 30 { // the controllers hear of it only by their own fences
		for i := range s.nodes {
			s.stepNode(i)
		}
		s.environment.Advance(roundInterval)
		if s.environment.Cloud.WorkersByHost[first] == nil {
			t.Fatal("the machine went back")
		}
	}
	s.runUntil(t, 60, "array done", s.isDone(id))
}

// New machines are up within two seconds and get work at once while writes lag, and the
// leader ends.
func TestFastBoot(t *testing.T) {
	for _, boot := range []time.Duration{0, time.Second, 2 * time.Second} {
		t.Run(fmt.Sprintf("boot in %v", boot), func(t *testing.T) {
			s := newReadyCluster()
			s.environment.MachineType.BootTime = boot
			a := s.submitArray(12, 2*time.Second, nil)
			// Who rents hears no response and ends: only the machines tell that they are there.
			for k := 0; k < 20 && len(s.environment.Cloud.WorkersByHost) == 0; k++ {
				for _, n := range s.nodes {
					s.environment.Cloud.NextFault[n.name] = simulator.ResponseLost
				}
				s.runRounds(t, 1)
			}
			if len(s.environment.Cloud.WorkersByHost) == 0 {
				t.Error("nothing was rented")
			}
			for i := range s.nodes {
				s.startNode(i)
			}
			s.submitService(3, nil)
			for k := range 30 {
				s.environment.Store.NextFault[s.nodes[k%3].name] = simulator.Fault(k % 4)
				s.environment.Cloud.NextFault[s.nodes[(k+1)%3].name] = simulator.Fault(k % 3)
				if k%5 == 4 {
					s.environment.Store.DeliverDelayed()
				}
				if k%10 == 9 {
					s.startNode(k / 10)
				}
				s.runRounds(t, 1)
			}
			s.runUntil(t, 200, "array done", s.isDone(a))
			s.checkRecovery(t)
			s.runUntil(t, 400, "no machine is left over", func() bool { return len(s.environment.Cloud.WorkersByHost) <= 4 })
		})
	}
}

// A job that needs a thousand machines has them all rented while the first boot. Its tasks
// were once looked at a few hundred at a time: those met the machines that were coming,
// and nothing more was rented before they were up.
func TestLargeJobRentsAllItNeeds(t *testing.T) {
	s := newTestCluster()
	s.environment.MachineType.BootTime = 100 * time.Second
	s.runFor(10)
	s.submitJob(func(r *api.Job, d *time.Duration) { r.Tasks, *d = 2000, time.Hour })
	s.runUntil(t, 60, "a thousand machines are rented", func() bool { return len(s.environment.Cloud.WorkersByHost) >= 1000 })
	if n := len(s.environment.Cloud.WorkersByHost); n > 1100 {
		t.Errorf("%d machines are rented for 2000 tasks, two a machine", n)
	}
	for _, x := range s.environment.Cloud.Workers() {
		if x.Booted() {
			t.Fatal("the first machines are up before the last are rented")
		}
	}
}

// Headroom is rented for as soon as more is wanted, and in each round until there is enough: one takes no
// more than the cloud gives at once, and looking only a sixteenth of a boot apart left
// the first minutes with too few machines.
func TestHeadroomBeyondOneRental(t *testing.T) {
	s := newTestCluster()
	s.environment.MachineType.BootTime = time.Minute
	s.runFor(4)
	c := s.nodes[0].controller
	c.node.Settings.Facts.Objectives = []config.Objective{{Kind: config.ObjectiveWait, Class: "l", WithinS: 10}}
	run := &api.Job{
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
		c.testState().Accounting.Arrivals().Record(&job.Record{Spec: *run, AcceptedMS: c.node.Now().UnixMilli()})
	}
	s.runFor(6) // a sixteenth of a boot is eight rounds
	if n := len(s.environment.Cloud.WorkersByHost); n < 150 {
		t.Fatalf("%d machines after three seconds", n)
	}
	rented := len(s.environment.Cloud.WorkersByHost)
	s.runFor(6)
	if n := len(s.environment.Cloud.WorkersByHost); n != rented {
		t.Fatalf("%d machines, then %d, though there was enough", rented, n)
	}
}
