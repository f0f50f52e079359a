package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
	"violetturn/internal/zonehealth"
)

// zoneScenario is a cluster of three zones with a controller in each. Services and arrays that
// are bound to zone x run there, more arrays wait for capacity in it, and the cloud rents no more
// machines.
type zoneScenario struct {
	*testCluster
	t          testing.TB
	services   []string
	arrays     []string
	taskStarts []zoneTaskStart
}

// zoneTaskStart records the start of a task in zone x.
type zoneTaskStart struct {
	startedAt time.Time
	uid       string
	isReplica bool // the task is a replica of a service, not a task of an array
	host      string
}

const (
	serviceReplicas = 8 // replicas of all services that are bound to zone x
	arrayTasks      = 8 // tasks of each array
)

// enableZoneRecovery enables zone recovery on a controller.
func enableZoneRecovery(n *testNode) { n.controller.node.Features.ZoneRecovery.Enabled = true }

// newZoneScenario returns a scenario in which the services and the first arrays run, while more
// arrays wait. onStart is called for each controller that starts.
func newZoneScenario(tb testing.TB, onStart func(*testNode)) *zoneScenario {
	tb.Helper()
	const lease = 9 * time.Second
	z := &zoneScenario{testCluster: newTestCluster(), t: tb}
	z.environment.WorkerLease, z.environment.CancelTimeout = lease, 4*lease
	z.environment.Zones = []string{"x", "y", "z"}
	z.environment.TeamGPULimits = map[string]float64{}
	z.restartNodes(onStart)
	z.submitInitialJobs()
	z.environment.Cloud.NoCapacity = true
	for range 3 { // these wait for the capacity that the first arrays use
		z.arrays = append(z.arrays, z.submitIdleArray(arrayTasks, time.Hour))
	}
	z.environment.OnTaskStarted = func(worker *simulator.Worker, uid string) {
		if worker.Zone == "x" {
			z.taskStarts = append(z.taskStarts, zoneTaskStart{z.environment.Now, uid, z.isService(uid), worker.Host})
		}
	}
	z.runFor(30)
	return z
}

// submitInitialJobs submits services in the other zones, and services and arrays in zone x, and
// waits until they run.
func (z *zoneScenario) submitInitialJobs() {
	z.t.Helper()
	for _, zone := range []string{"y", "z"} {
		z.submitJob(func(j *api.Job, _ *time.Duration) {
			j.Kind, j.Priority, j.Tasks, j.Zone = api.Service, "production", 8, zone
		})
	}
	for range 2 {
		z.services = append(z.services, z.submitZoneService(serviceReplicas/2))
	}
	z.runUntil(z.t, 160, "services run in zone x", func() bool { return z.runningReplicas() == serviceReplicas })
	for range 2 {
		z.arrays = append(z.arrays, z.submitIdleArray(arrayTasks, time.Hour))
	}
	z.runUntil(z.t, 160, "arrays run in zone x", func() bool {
		return z.runningTasks(z.arrays[0])+z.runningTasks(z.arrays[1]) == 2*arrayTasks
	})
}

// submitZoneService submits a production service that is bound to zone x.
func (z *zoneScenario) submitZoneService(tasks int) string {
	return z.submitJob(func(j *api.Job, _ *time.Duration) {
		j.Kind, j.Priority, j.Tasks, j.Zone, j.Image = api.Service, "production", tasks, "x", "reader"
	})
}

// submitIdleArray submits an array of priority idle that is bound to zone x.
func (z *zoneScenario) submitIdleArray(tasks int, runTime time.Duration) string {
	return z.submitJob(func(j *api.Job, jobRunTime *time.Duration) {
		j.Priority, j.Tasks, j.Zone, j.Image, *jobRunTime = "idle", tasks, "x", "array", runTime
		j.CheckpointIntervalS, j.SaveDurationS = 5, 4 // a stopped task saves its progress first
	})
}

// isService reports whether a job is a service.
func (z *zoneScenario) isService(uid string) bool {
	return z.environment.Jobs[uid].Spec.Kind == api.Service
}

// runningReplicas counts the running replicas of the services of zone x.
func (z *zoneScenario) runningReplicas() (n int) {
	for _, uid := range z.services {
		n += z.runningTasks(uid)
	}
	return n
}

// runningArrayTasks counts the running tasks of the arrays of zone x.
func (z *zoneScenario) runningArrayTasks() (n int) {
	for _, uid := range z.arrays {
		n += z.runningTasks(uid)
	}
	return n
}

// zoneMachines returns the machines of zone x: those that run a replica of a service, and the
// others.
func (z *zoneScenario) zoneMachines() (serviceMachines, otherMachines []*simulator.Worker) {
	for _, worker := range z.environment.Cloud.Workers() {
		switch {
		case worker.Zone != "x":
		case len(worker.UnfinishedTaskJobs()) > 0 && z.isService(worker.UnfinishedTaskJobs()[0]):
			serviceMachines = append(serviceMachines, worker)
		default:
			otherMachines = append(otherMachines, worker)
		}
	}
	return serviceMachines, otherMachines
}

// setPartitioned partitions machines from everything else, or ends their partition.
func setPartitioned(machines []*simulator.Worker, partitioned bool) {
	for _, worker := range machines {
		worker.Partitioned = partitioned
	}
}

// zoneRecord returns the record of zone x that a controller has cached.
func (z *zoneScenario) zoneRecord(node int) zonehealth.Record {
	if record := z.nodes[node].state().Cache.Zones["x"].Record; record != nil {
		return *record
	}
	return zonehealth.Record{}
}

// runUntilZoneState runs until the record of zone x that a controller has cached has a state.
func (z *zoneScenario) runUntilZoneState(state zonehealth.State, node, maxRounds int) {
	z.t.Helper()
	z.runUntil(z.t, maxRounds, "zone x is "+string(state), func() bool { return z.zoneRecord(node).State == state })
}

// runChecked runs rounds and fails if a rule of the simulator is violated.
func (z *zoneScenario) runChecked(rounds int) {
	z.t.Helper()
	z.runRounds(z.t, rounds)
}

// partitionUntilDown partitions all machines of zone x until the zone is recorded as down.
func (z *zoneScenario) partitionUntilDown() (serviceMachines, otherMachines []*simulator.Worker) {
	z.t.Helper()
	serviceMachines, otherMachines = z.zoneMachines()
	setPartitioned(serviceMachines, true)
	setPartitioned(otherMachines, true)
	z.runUntilZoneState(zonehealth.Down, 1, 60)
	return serviceMachines, otherMachines
}

// runUntilRecovered runs until all replicas and arrayTaskCount array tasks run again and the zone
// is healthy.
func (z *zoneScenario) runUntilRecovered(arrayTaskCount int) {
	z.t.Helper()
	z.runUntil(z.t, 300, "all replicas run again", func() bool { return z.runningReplicas() == serviceReplicas })
	z.runUntil(z.t, 600, "arrays run again", func() bool { return z.runningArrayTasks() >= arrayTaskCount })
	z.runUntilZoneState(zonehealth.Healthy, 1, 200)
}

// arrayStartsBeforeServices counts the array tasks that started in zone x since a time, but
// before all replicas of the services had started again.
func (z *zoneScenario) arrayStartsBeforeServices(from time.Time) (count int) {
	startedReplicas := 0
	for _, start := range z.taskStarts {
		if start.startedAt.Before(from) {
			continue
		}
		if start.isReplica {
			startedReplicas++
		} else if startedReplicas < serviceReplicas {
			count++
		}
	}
	return count
}

// returnMachinesWithoutServices partitions zone x, terminates its machines that ran services, and
// ends the partition of the others. With untilDown it first waits until the zone is down. It
// returns the time at which the partition ended.
func (z *zoneScenario) returnMachinesWithoutServices(untilDown bool) (returnedAt time.Time) {
	serviceMachines, otherMachines := z.zoneMachines()
	setPartitioned(serviceMachines, true)
	setPartitioned(otherMachines, true)
	if untilDown {
		z.runUntilZoneState(zonehealth.Down, 1, 40)
	} else {
		z.runFor(20)
	}
	for _, worker := range serviceMachines {
		z.environment.Cloud.Terminate(worker.Host)
	}
	setPartitioned(otherMachines, false)
	return z.environment.Now
}
