package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/simulator"
)

// The checkers of the environment must detect a controller that breaks a rule because its settings
// have a shorter worker lease, a shorter cancellation timeout or a higher team limit than the
// environment. With the right settings, the same events must violate nothing.
func TestCheckersDetectViolations(t *testing.T) {
	shorterLease := func(s *config.Settings) { s.Facts.Workers.LeaseS = 4 }
	shorterCancelTimeout := func(s *config.Settings) { s.Facts.Workers.CancelTimeoutS = 30 }
	higherLimit := func(s *config.Settings) { s.Facts.Teams[0].MaxGPUs = 9 }
	for _, test := range []struct {
		name     string
		rule     simulator.Rule
		mutate   func(*config.Settings)
		scenario func(*testCluster)
	}{
		{"gang on a partitioned machine", simulator.RuleRanTwice, shorterLease, partitionGangMachine},
		{"gang in a partitioned zone", simulator.RulePlacement, shorterLease, partitionGangZone},
		{"cancelled gang in a partitioned zone", simulator.RuleRanAfterCancel, shorterCancelTimeout, cancelGangInPartitionedZone},
		{"gangs beyond their team's limit", simulator.RuleQuota, higherLimit, submitGangsBeyondLimit},
		{"service on a partitioned machine", simulator.RuleRanTwice, shorterLease, partitionServiceMachine},
		{"service on a hung machine", simulator.RuleRanTwice, shorterLease, hangServiceMachine},
		{"cancelled service in a partitioned zone", simulator.RuleRanAfterCancel, shorterCancelTimeout, cancelServiceInPartitionedZone},
		{"array beyond its team's limit", simulator.RuleQuota, higherLimit, submitArrayBeyondLimit},
	} {
		for _, mutated := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, mutated %t", test.name, mutated), func(t *testing.T) {
				s := newReadyCluster()
				if mutated {
					for _, n := range s.nodes {
						test.mutate(n.controller.node.Settings)
					}
				}
				test.scenario(s)
				detected := slices.ContainsFunc(s.environment.Violations, func(v simulator.Violation) bool { return v.Rule == test.rule })
				if detected != mutated {
					t.Errorf("violation of %s: got %t, want %t; violations: %v", test.rule, detected, mutated, s.environment.Violations)
				}
			})
		}
	}
}

// partitionServiceMachine partitions one machine, whose tasks continue to run, while another machine
// has free capacity.
func partitionServiceMachine(s *testCluster) {
	s.submitService(3, nil)
	s.runFor(60)
	for _, worker := range s.environment.Cloud.Workers() {
		if len(worker.Tasks) == 2 {
			worker.Partitioned = true
		}
	}
	s.runFor(60)
}

// hangServiceMachine hangs one machine for slightly less than its worker lease; then the machine
// continues.
func hangServiceMachine(s *testCluster) {
	s.submitService(3, nil)
	s.runFor(60)
	for _, worker := range s.environment.Cloud.Workers() {
		if len(worker.Tasks) == 2 {
			worker.Hung = true
			defer func() { worker.Hung = false }()
		}
	}
	s.runFor(17) // 8.5 s; the lease is 9 s
}

// cancelServiceInPartitionedZone cancels a service in a zone that has just been partitioned.
func cancelServiceInPartitionedZone(s *testCluster) {
	s.cancelInPartitionedZone(func() string {
		return s.submitService(4, func(j *api.Job) { j.Zone = "y" })
	})
}

// cancelInPartitionedZone submits a job in zone y, partitions the zone and then cancels the job.
// The partitioned zone contains n1, which leads the shard of the machines there.
func (s *testCluster) cancelInPartitionedZone(submit func() string) {
	s.setCancelTimeout(16 * time.Second)
	id := submit()
	s.runFor(60)
	s.partitionZone("y")
	s.runRound()
	s.cancel(0, id)
	s.runFor(60)
}

// setCancelTimeout sets the time within which cancelled tasks must end. A controller whose settings
// differ from the environment keeps its own timeout.
func (s *testCluster) setCancelTimeout(d time.Duration) {
	before := s.environment.CancelTimeout.Seconds()
	s.environment.CancelTimeout = d
	for _, n := range s.nodes {
		if f := &n.controller.node.Settings.Facts.Workers; f.CancelTimeoutS == before {
			f.CancelTimeoutS = d.Seconds()
		}
	}
}

// submitArrayBeyondLimit submits an array that needs more GPUs than its team may use.
func submitArrayBeyondLimit(s *testCluster) {
	s.submitArray(12, time.Minute, func(j *api.Job) { j.Team = "a" })
	s.runFor(80)
}

// partitionGangMachine partitions a machine with tasks of a gang, which continue to run there,
// while other machines have capacity that can be gained by preemption.
func partitionGangMachine(s *testCluster) {
	s.environment.PeerLossTimeout = 20 * time.Second
	id := s.submitArray(3, 5*time.Minute, func(j *api.Job) { j.Kind = api.Gang })
	s.submitArray(2, 5*time.Minute, func(j *api.Job) { j.Priority = "idle" })
	s.runFor(60)
	for _, h := range s.environment.Cloud.HostNames() {
		if s.runningTasksByHost(id)[h] == 2 {
			s.environment.Cloud.WorkersByHost[h].Partitioned = true
		}
	}
	s.runFor(60)
}

// partitionGangZone partitions all machines in the zone of a single-zone gang, while the other
// zone has capacity that can be gained by preemption.
func partitionGangZone(s *testCluster) {
	s.environment.PeerLossTimeout = 20 * time.Second
	id := s.submitArray(3, 5*time.Minute, func(j *api.Job) { j.Kind, j.SingleZone = api.Gang, true })
	for _, zone := range s.environment.Zones {
		s.submitArray(4, 5*time.Minute, func(j *api.Job) { j.Priority, j.Zone = "idle", zone })
	}
	s.runFor(60)
	zone := s.workerOf(id).Zone
	for _, worker := range s.environment.Cloud.WorkersByHost {
		worker.Partitioned = worker.Zone == zone
	}
	s.runFor(60)
}

// cancelGangInPartitionedZone cancels a gang in a zone that has just been partitioned.
func cancelGangInPartitionedZone(s *testCluster) {
	s.cancelInPartitionedZone(func() string {
		return s.submitArray(4, 5*time.Minute, func(j *api.Job) { j.Kind, j.Zone = api.Gang, "y" })
	})
}

// submitGangsBeyondLimit submits several gangs that together need more GPUs than their team may
// use.
func submitGangsBeyondLimit(s *testCluster) {
	for range 4 {
		s.submitArray(3, time.Minute, func(j *api.Job) { j.Team, j.Kind = "a", api.Gang })
	}
	s.runFor(80)
}

// The checker of waiting tasks must detect a controller whose settings have a lower team limit than
// the environment: it leaves a job waiting although there is free capacity.
func TestWaitingCheckerDetectsStarvedJob(t *testing.T) {
	for _, mutated := range []bool{false, true} {
		t.Run(fmt.Sprintf("mutated %t", mutated), func(t *testing.T) {
			s := newTestCluster()
			s.environment.TeamGPULimits["b"] = 8
			for i := range s.nodes {
				s.startNode(i)
			}
			s.runRounds(t, 10)
			id := s.submitService(3, nil) // leaves free capacity on one of two machines
			s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(id) == 3 })
			s.environment.Cloud.NoCapacity = true
			if mutated {
				for _, n := range s.nodes {
					n.controller.node.Settings.Facts.Teams[1].MaxGPUs = 3
				}
			}
			s.submitArray(1, time.Second, nil)
			waitingSince := map[string]time.Time{}
			for range 240 {
				s.runRound()
				s.checkWaiting(waitingSince)
			}
			if detected := len(s.environment.Violations) > 0; detected != mutated {
				t.Errorf("violation by a waiting job: got %t, want %t; violations: %v", detected, mutated, s.environment.Violations)
			}
		})
	}
}

// failureRecorder is a fataler that records failures instead of failing a test.
type failureRecorder []string

// Helper does nothing.
func (r *failureRecorder) Helper() {}

// Fatalf records a failure.
func (r *failureRecorder) Fatalf(format string, args ...any) {
	*r = append(*r, fmt.Sprintf(format, args...))
}

// The checker of invalid submissions must detect a controller that accepts jobs which can't run,
// because it has a team in its settings that does not exist, or a machine type that is not offered.
func TestInvalidSubmissionCheckerDetectsAcceptedJob(t *testing.T) {
	for name, mutate := range map[string]func(c *Controller){
		"": func(*Controller) {},
		"a team": func(c *Controller) {
			c.node.Settings.Facts.Teams = append(c.node.Settings.Facts.Teams, config.Team{Name: "nobody"})
		},
		"a large machine type": func(c *Controller) { c.testState().Catalog.MachineTypes()[0].GPUs = 100 },
	} {
		t.Run("mutated "+name, func(t *testing.T) {
			s := newReadyCluster()
			mutate(s.nodes[1].controller)
			var failures failureRecorder
			if s.submitInvalid(&failures, 1); len(failures) > 0 != (name != "") {
				t.Errorf("failures of the checker with mutation %q: got %v, want any: %t", name, failures, name != "")
			}
		})
	}
}
