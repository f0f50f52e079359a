package controller

import (
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
	"violetturn/internal/zonehealth"
)

// zoneWorld is a world of three zones, a controller at home in each, whose zone x has
// readers and arrays that are bound to it, and more arrays that wait for room there. The
// cloud has no more machines to give.
type zoneWorld struct {
	*sim
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

// switchOn has a controller run with zone recovery.
func switchOn(n *simNode) { n.c.node.Features.ZoneRecovery.Enabled = true }

func newZoneWorld(t testing.TB, started func(*simNode)) *zoneWorld {
	t.Helper()
	return newZoneWorldWithLease(t, 9*time.Second, started)
}

func newZoneWorldWithLease(t testing.TB, lease time.Duration, started func(*simNode)) *zoneWorld {
	t.Helper()
	z := &zoneWorld{sim: newSim(), t: t}
	z.w.Lease, z.w.CancelS = lease, 4*lease
	z.w.Zones = []string{"x", "y", "z"}
	z.w.TeamGPULimits = map[string]float64{}
	z.sim.started = started
	for i := range z.nodes {
		z.start(i)
	}
	for range 10 {
		z.round()
	}
	for _, zone := range []string{"y", "z"} {
		z.job(func(r *api.Job, _ *time.Duration) {
			r.Kind, r.Priority, r.Tasks, r.Zone = api.Service, "production", 8, zone
		})
	}
	for range 2 {
		z.readers = append(z.readers, z.reader(readerTasks/2))
	}
	z.rounds(t, 160, "readers run", func() bool { return z.readersUp() == readerTasks })
	for range 2 {
		z.arrays = append(z.arrays, z.array(arrayTasks, time.Hour))
	}
	z.rounds(t, 160, "arrays run", func() bool { return z.running(z.arrays[0])+z.running(z.arrays[1]) == 2*arrayTasks })
	z.w.Cloud.Full = true
	for range 3 { // they wait for the room of the others
		z.arrays = append(z.arrays, z.array(arrayTasks, time.Hour))
	}
	z.w.OnTaskStarted = func(x *simulator.Worker, uid string) {
		if x.Zone == "x" {
			z.starts = append(z.starts, zoneStart{z.w.Now, uid, z.isReader(uid), x.Host})
		}
	}
	for range 30 {
		z.round()
	}
	return z
}

func (z *zoneWorld) reader(tasks int) string {
	return z.job(func(r *api.Job, _ *time.Duration) {
		r.Kind, r.Priority, r.Tasks, r.Zone, r.Image = api.Service, "production", tasks, "x", "reader"
	})
}

func (z *zoneWorld) array(tasks int, d time.Duration) string {
	return z.job(func(r *api.Job, run *time.Duration) {
		r.Priority, r.Tasks, r.Zone, r.Image, *run = "idle", tasks, "x", "array", d
		r.CheckpointS, r.SaveS = 5, 4 // it saves before it leaves
	})
}

func (z *zoneWorld) isReader(uid string) bool { return z.w.Jobs[uid].Spec.Kind == api.Service }

func (z *zoneWorld) readersUp() (n int) {
	for _, uid := range z.readers {
		n += z.running(uid)
	}
	return n
}

// in lists the machines of zone x, those with readers first.
func (z *zoneWorld) in() (withReaders, others []*simulator.Worker) {
	for _, x := range z.w.Cloud.Workers() {
		switch {
		case x.Zone != "x":
		case len(x.PresentJobs()) > 0 && z.isReader(x.PresentJobs()[0]):
			withReaders = append(withReaders, x)
		default:
			others = append(others, x)
		}
	}
	return withReaders, others
}

// cut cuts machines off, or has them return.
func cutAll(machines []*simulator.Worker, cut bool) {
	for _, x := range machines {
		x.Partitioned = cut
	}
}

// state returns the zone's state as a controller has it.
func (z *zoneWorld) state(node int) zonehealth.Record {
	if v := z.nodes[node].c.testState().Cache.Zones["x"].Record; v != nil {
		return *v
	}
	return zonehealth.Record{}
}

// until plays until a controller has the zone in a state.
func (z *zoneWorld) until(state zonehealth.State, node, most int) {
	z.t.Helper()
	z.rounds(z.t, most, "zone x is "+string(state), func() bool { return z.state(node).State == state })
}

// arraysBefore counts the tasks of arrays that started in x before the readers ran again.
func (z *zoneWorld) arraysBefore(from time.Time) (n int) {
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

// halfReturns cuts the zone off and lets the machines return that had no readers: those
// that had are lost.
func (z *zoneWorld) halfReturns(down bool) (returned time.Time) {
	withReaders, others := z.in()
	cutAll(withReaders, true)
	cutAll(others, true)
	if down {
		z.until(zonehealth.Down, 1, 40)
	} else {
		for range 20 {
			z.round()
		}
	}
	for _, x := range withReaders {
		z.w.Cloud.Kill(x.Host)
	}
	cutAll(others, false)
	return z.w.Now
}

// Half of a zone returns, without the readers' machines, before these are surely gone: the
// readers run again before any array has taken what they need there, and the arrays follow
// step by step. Without the feature arrays take all of it first, and are stopped again.
func TestReadersFirstWhenHalfReturns(t *testing.T) {
	for _, on := range []bool{true, false} {
		started := func(*simNode) {}
		if on {
			started = switchOn
		}
		z := newZoneWorld(t, started)
		_, others := z.in()
		beside := 2*len(others) - readerTasks
		returned := z.halfReturns(on)
		z.rounds(t, 200, "readers run again", func() bool { return z.readersUp() == readerTasks })
		after := z.w.Now.Sub(returned)
		before := z.arraysBefore(returned)
		t.Logf("feature %t: readers run after %v, %d tasks of arrays started before", on, after, before)
		if on && before > beside {
			t.Errorf("%d tasks of arrays started before the readers ran again, with room for %d beside them", before, beside)
		}
		if !on && before <= beside {
			t.Error("without the feature no array is ahead: the test shows nothing")
		}
		z.rounds(t, 400, "arrays are back", func() bool { return z.arraysUp() >= 2*arrayTasks-readerTasks })
	}
}

func (z *zoneWorld) arraysUp() (n int) {
	for _, uid := range z.arrays {
		n += z.running(uid)
	}
	return n
}
