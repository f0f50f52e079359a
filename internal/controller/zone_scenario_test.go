package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
	"violetturn/internal/zonehealth"
)

// zoneScenario is a cluster of three zones, a controller at home in each, whose zone x has
// readers and arrays that are bound to it, and more arrays that wait for room there. The
// cloud has no more machines to give.
type zoneScenario struct {
	*testCluster
	t       testing.TB
	readers []string
	arrays  []string
	starts  []zoneStart
}

// zoneStart is a task that started in zone x.
type zoneStart struct {
	at     time.Time
	uid    string
	reader bool
	host   string
}

const (
	readerTasks = 8
	arrayTasks  = 8
)

// enableZoneRecovery switches zone recovery on at a controller.
func enableZoneRecovery(n *testNode) { n.controller.node.Features.ZoneRecovery.Enabled = true }

// newZoneScenario returns a scenario whose readers and arrays run, while more arrays wait.
func newZoneScenario(tb testing.TB, started func(*testNode)) *zoneScenario {
	tb.Helper()
	const lease = 9 * time.Second
	z := &zoneScenario{testCluster: newTestCluster(), t: tb}
	z.environment.WorkerLease, z.environment.CancelTimeout = lease, 4*lease
	z.environment.Zones = []string{"x", "y", "z"}
	z.environment.TeamGPULimits = map[string]float64{}
	z.restartNodes(started)
	z.fill()
	z.environment.Cloud.NoCapacity = true
	for range 3 { // they wait for the room of the others
		z.arrays = append(z.arrays, z.submitIdleArray(arrayTasks, time.Hour))
	}
	z.environment.OnTaskStarted = func(x *simulator.Worker, uid string) {
		if x.Zone == "x" {
			z.starts = append(z.starts, zoneStart{z.environment.Now, uid, z.isReader(uid), x.Host})
		}
	}
	z.runFor(30)
	return z
}

// fill runs services in the other zones, and readers and arrays in zone x.
func (z *zoneScenario) fill() {
	z.t.Helper()
	for _, zone := range []string{"y", "z"} {
		z.submitJob(func(r *api.Job, _ *time.Duration) {
			r.Kind, r.Priority, r.Tasks, r.Zone = api.Service, "production", 8, zone
		})
	}
	for range 2 {
		z.readers = append(z.readers, z.submitReader(readerTasks/2))
	}
	z.runUntil(z.t, 160, "readers run", func() bool { return z.runningReaders() == readerTasks })
	for range 2 {
		z.arrays = append(z.arrays, z.submitIdleArray(arrayTasks, time.Hour))
	}
	z.runUntil(z.t, 160, "arrays run", func() bool { return z.runningTasks(z.arrays[0])+z.runningTasks(z.arrays[1]) == 2*arrayTasks })
}

// submitReader submits a service of readers in zone x.
func (z *zoneScenario) submitReader(tasks int) string {
	return z.submitJob(func(r *api.Job, _ *time.Duration) {
		r.Kind, r.Priority, r.Tasks, r.Zone, r.Image = api.Service, "production", tasks, "x", "reader"
	})
}

// submitIdleArray submits an array of low priority in zone x.
func (z *zoneScenario) submitIdleArray(tasks int, d time.Duration) string {
	return z.submitJob(func(r *api.Job, run *time.Duration) {
		r.Priority, r.Tasks, r.Zone, r.Image, *run = "idle", tasks, "x", "array", d
		r.CheckpointIntervalS, r.SaveDurationS = 5, 4 // it saves before it leaves
	})
}

// isReader reports whether a job is a service of readers.
func (z *zoneScenario) isReader(uid string) bool {
	return z.environment.Jobs[uid].Spec.Kind == api.Service
}

// runningReaders counts the readers that run.
func (z *zoneScenario) runningReaders() (n int) {
	for _, uid := range z.readers {
		n += z.runningTasks(uid)
	}
	return n
}

// runningArrays counts the tasks of arrays that run.
func (z *zoneScenario) runningArrays() (n int) {
	for _, uid := range z.arrays {
		n += z.runningTasks(uid)
	}
	return n
}

// machines returns the machines of zone x, those with readers first.
func (z *zoneScenario) machines() (withReaders, others []*simulator.Worker) {
	for _, x := range z.environment.Cloud.Workers() {
		switch {
		case x.Zone != "x":
		case len(x.UnfinishedTaskJobs()) > 0 && z.isReader(x.UnfinishedTaskJobs()[0]):
			withReaders = append(withReaders, x)
		default:
			others = append(others, x)
		}
	}
	return withReaders, others
}

// setPartitioned partitions machines from all else, or ends that.
func setPartitioned(machines []*simulator.Worker, partitioned bool) {
	for _, x := range machines {
		x.Partitioned = partitioned
	}
}

// zoneRecord returns the record of zone x as a controller has it.
func (z *zoneScenario) zoneRecord(node int) zonehealth.Record {
	if v := z.nodes[node].state().Cache.Zones["x"].Record; v != nil {
		return *v
	}
	return zonehealth.Record{}
}

// runUntilZone runs until a controller has zone x in a state.
func (z *zoneScenario) runUntilZone(state zonehealth.State, node, most int) {
	z.t.Helper()
	z.runUntil(z.t, most, "zone x is "+string(state), func() bool { return z.zoneRecord(node).State == state })
}

// runChecked runs rounds and fails if a rule is broken.
func (z *zoneScenario) runChecked(rounds int) {
	z.t.Helper()
	z.runRounds(z.t, rounds)
}

// loseZone partitions all machines of zone x until the zone is down.
func (z *zoneScenario) loseZone() (withReaders, others []*simulator.Worker) {
	z.t.Helper()
	withReaders, others = z.machines()
	setPartitioned(withReaders, true)
	setPartitioned(others, true)
	z.runUntilZone(zonehealth.Down, 1, 60)
	return withReaders, others
}

// runUntilRecovered runs until readers and arrays run again and the zone is healthy.
func (z *zoneScenario) runUntilRecovered(arrays int) {
	z.t.Helper()
	z.runUntil(z.t, 300, "readers run again", func() bool { return z.runningReaders() == readerTasks })
	z.runUntil(z.t, 600, "arrays are back", func() bool { return z.runningArrays() >= arrays })
	z.runUntilZone(zonehealth.Healthy, 1, 200)
}

// arrayStartsBeforeReaders counts the tasks of arrays that started in x before the readers ran again.
func (z *zoneScenario) arrayStartsBeforeReaders(from time.Time) (n int) {
	readers := 0
	for _, s := range z.starts {
		if s.at.Before(from) {
			continue
		}
		if s.reader {
			readers++
		} else if readers < readerTasks {
			n++
		}
	}
	return n
}

// returnHalf partitions the zone and lets the machines return that had no readers: those
// that had are lost.
func (z *zoneScenario) returnHalf(down bool) (returned time.Time) {
	withReaders, others := z.machines()
	setPartitioned(withReaders, true)
	setPartitioned(others, true)
	if down {
		z.runUntilZone(zonehealth.Down, 1, 40)
	} else {
		z.runFor(20)
	}
	for _, x := range withReaders {
		z.environment.Cloud.Terminate(x.Host)
	}
	setPartitioned(others, false)
	return z.environment.Now
}
