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

// The checkers catch a controller that breaks the rules: one that believes in a shorter
// lease, or a higher limit, than the world has. Unchanged, the same events break nothing.
func TestCheckersCatch(t *testing.T) {
	shorterLease := func(s *config.Settings) { s.Facts.Workers.LeaseS = 4 }
	shorterCancelTimeout := func(s *config.Settings) { s.Facts.Workers.CancelTimeoutS = 30 }
	higherLimit := func(s *config.Settings) { s.Facts.Teams[0].MaxGPUs = 9 }
	for _, x := range []struct {
		name   string
		rule   simulator.Rule
		mutate func(*config.Settings)
		play   func(*testCluster)
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
			t.Run(fmt.Sprintf("%s, mutated %t", x.name, mutated), func(t *testing.T) {
				s := newReadyCluster()
				if mutated {
					for _, n := range s.nodes {
						x.mutate(n.controller.node.Settings)
					}
				}
				x.play(s)
				caught := slices.ContainsFunc(s.environment.Violations, func(v simulator.Violation) bool { return v.Rule == x.rule })
				if caught != mutated {
					t.Errorf("%s, mutated %t: %v", x.rule, mutated, s.environment.Violations)
				}
			})
		}
	}
}

// partitionServiceMachine partitions one machine while its tasks run on and another has room.
func partitionServiceMachine(s *testCluster) {
	s.submitService(3, nil)
	s.runFor(60)
	for _, x := range s.environment.Cloud.Workers() {
		if len(x.Tasks) == 2 {
			x.Partitioned = true
		}
	}
	s.runFor(60)
}

// hangServiceMachine hangs one machine within its lease, after which it goes on.
func hangServiceMachine(s *testCluster) {
	s.submitService(3, nil)
	s.runFor(60)
	for _, x := range s.environment.Cloud.Workers() {
		if len(x.Tasks) == 2 {
			x.Hung = true
			defer func() { x.Hung = false }()
		}
	}
	s.runFor(17) // just less than its lease
}

// cancelServiceInPartitionedZone partitions a zone as a service there is cancelled.
func cancelServiceInPartitionedZone(s *testCluster) {
	s.cancelInPartitionedZone(func() string {
		return s.submitService(4, func(j *api.Job) { j.Zone = "y" })
	})
}

// cancelInPartitionedZone partitions zone y, with n1, which leads the shard of the machines
// there, as a job there is cancelled.
func (s *testCluster) cancelInPartitionedZone(submit func() string) {
	s.setCancelTimeout(16 * time.Second)
	id := submit()
	s.runFor(60)
	s.partitionZone("y")
	s.runRound()
	s.cancel(0, id)
	s.runFor(60)
}

// setCancelTimeout sets in which time cancelled tasks have to end. A controller that believes
// in another time than the world has keeps it.
func (s *testCluster) setCancelTimeout(d time.Duration) {
	before := s.environment.CancelTimeout.Seconds()
	s.environment.CancelTimeout = d
	for _, n := range s.nodes {
		if f := &n.controller.node.Settings.Facts.Workers; f.CancelTimeoutS == before {
			f.CancelTimeoutS = d.Seconds()
		}
	}
}

// submitArrayBeyondLimit submits an array that needs more than its team may have.
func submitArrayBeyondLimit(s *testCluster) {
	s.submitArray(12, time.Minute, func(j *api.Job) { j.Team = "a" })
	s.runFor(80)
}

// partitionGangMachine partitions a machine with tasks of a gang, which go on where they can't
// be seen, while there is room to be taken.
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

// partitionGangZone partitions all machines in the zone of a gang that goes together, while
// the other zone has room to be taken.
func partitionGangZone(s *testCluster) {
	s.environment.PeerLossTimeout = 20 * time.Second
	id := s.submitArray(3, 5*time.Minute, func(j *api.Job) { j.Kind, j.SingleZone = api.Gang, true })
	for _, zone := range s.environment.Zones {
		s.submitArray(4, 5*time.Minute, func(j *api.Job) { j.Priority, j.Zone = "idle", zone })
	}
	s.runFor(60)
	zone := s.workerOf(id).Zone
	for _, x := range s.environment.Cloud.WorkersByHost {
		x.Partitioned = x.Zone == zone
	}
	s.runFor(60)
}

// cancelGangInPartitionedZone partitions a zone as a gang there is cancelled.
func cancelGangInPartitionedZone(s *testCluster) {
	s.cancelInPartitionedZone(func() string {
		return s.submitArray(4, 5*time.Minute, func(j *api.Job) { j.Kind, j.Zone = api.Gang, "y" })
	})
}

// submitGangsBeyondLimit submits several gangs that together need more than their team may
// have.
func submitGangsBeyondLimit(s *testCluster) {
	for range 4 {
		s.submitArray(3, time.Minute, func(j *api.Job) { j.Team, j.Kind = "a", api.Gang })
	}
	s.runFor(80)
}

// The checker of what waits catches too: a controller that believes in a lower limit than
// there is leaves a job waiting beside room.
func TestWaitingCheckerCatches(t *testing.T) {
	for _, mutated := range []bool{false, true} {
		t.Run(fmt.Sprintf("mutated %t", mutated), func(t *testing.T) {
			s := newTestCluster()
			s.environment.TeamGPULimits["b"] = 8
			for i := range s.nodes {
				s.startNode(i)
			}
			s.runRounds(t, 10)
			id := s.submitService(3, nil) // leaves room on one of two machines
			s.runUntil(t, 80, "replicas run", func() bool { return s.runningTasks(id) == 3 })
			s.environment.Cloud.NoCapacity = true
			if mutated {
				for _, n := range s.nodes {
					n.controller.node.Settings.Facts.Teams[1].MaxGPUs = 3
				}
			}
			s.submitArray(1, time.Second, nil)
			since := map[string]time.Time{}
			for range 240 {
				s.runRound()
				s.checkWaiting(since)
			}
			if caught := len(s.environment.Violations) > 0; caught != mutated {
				t.Errorf("mutated %t: %v", mutated, s.environment.Violations)
			}
		})
	}
}

// failureRecorder keeps what a checker would fail with.
type failureRecorder []string

// Helper does nothing.
func (r *failureRecorder) Helper() {}

// Fatalf records a failure.
func (r *failureRecorder) Fatalf(format string, args ...any) {
	*r = append(*r, fmt.Sprintf(format, args...))
}

// The checker of invalid submissions catches: a controller that knows a team too many, or a
// machine type that there is not, accepts what can't run.
func TestInvalidSubmissionCheckerCatches(t *testing.T) {
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
			var caught failureRecorder
			if s.submitInvalid(&caught, 1); len(caught) > 0 != (name != "") {
				t.Errorf("mutated %q: %v", name, caught)
			}
		})
	}
}
