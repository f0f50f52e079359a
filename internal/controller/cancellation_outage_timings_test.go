package controller

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
)

// A leader that is paused after it judged a heartbeat and then sends its response; a worker
// that hears nothing but old responses; leases and cancellation timeouts that leave much
// time, little, or none at all. On both sides of each bound: no task is on its machine later
// than the timeout after any user was told, and with controllers that answer one another, a
// confirmation comes once all faults are over.
func TestCancellationDuringStoreOutageTimings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOutageSchedule(t)
		o.submitServices()
		o.scheduleFaults()
		o.play()
		o.confirmAfterFaults()
	})
}

// outageSchedule is a cluster in which a job is cancelled during an outage of the state
// service, with drawn times of all events.
type outageSchedule struct {
	*testCluster
	t             *rapid.T
	job           string // that is cancelled
	leader, other int    // the leader of its shard, and the controller that is asked to cancel it
	events        []scheduledEvent
}

// scheduledEvent is something that happens at a time.
type scheduledEvent struct {
	at time.Time
	do func()
}

// newOutageSchedule returns a cluster with a drawn lease and cancellation timeout.
func newOutageSchedule(t *rapid.T) *outageSchedule {
	o := &outageSchedule{testCluster: newTestCluster(), t: t, other: 1}
	o.environment.WorkerLease = o.drawSeconds("lease", 4, 20)
	timeout := float64(o.environment.WorkerLease) * rapid.Float64Range(0.4, 4).Draw(t, "cancel_s/lease_s")
	o.environment.CancelTimeout = time.Duration(timeout).Round(100 * time.Millisecond)
	for i := range o.nodes {
		o.startNode(i)
	}
	o.runFor(10)
	return o
}

// drawSeconds draws a time in tenths of seconds.
func (o *outageSchedule) drawSeconds(name string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from*10, to*10).Draw(o.t, name)) * 100 * time.Millisecond
}

// submitServices submits two services, the last of which is cancelled, and runs until some
// of their tasks run while others are still being started.
func (o *outageSchedule) submitServices() {
	for range 2 {
		o.job = o.submitJob(func(j *api.Job, _ *time.Duration) {
			j.Kind, j.Tasks, j.Zone = api.Service, rapid.IntRange(1, 3).Draw(o.t, "tasks"), "x"
			if rapid.Bool().Draw(o.t, "saves") {
				j.CheckpointIntervalS, j.SaveDurationS = 5, 3
			}
		})
	}
	o.runFor(rapid.IntRange(24, 60).Draw(o.t, "rounds"))
	if len(o.runningTasksByHost(o.job)) > 0 {
		o.leader, o.other = o.leaderOfJob(o.t, o.job)
	}
}

// drawTime draws a time within so many seconds.
func (o *outageSchedule) drawTime(name string, most int) time.Time {
	return o.environment.Now.Add(o.drawSeconds(name, 0, most))
}

// span returns the longest time that a fault lasts, in whole seconds.
func (o *outageSchedule) span() int {
	return int(2 * (o.environment.CancelTimeout + o.environment.WorkerLease) / time.Second)
}

// at schedules an event within so many seconds.
func (o *outageSchedule) at(name string, most int, do func()) {
	o.events = append(o.events, scheduledEvent{o.drawTime(name, most), do})
}

// during schedules a fault that begins within so many seconds, and its end.
func (o *outageSchedule) during(name string, most int, set func(on bool)) {
	from := o.drawTime(name+" from", most)
	until := from.Add(o.drawSeconds(name+" for", 0, o.span()))
	o.events = append(o.events,
		scheduledEvent{from, func() { set(true) }},
		scheduledEvent{until, func() { set(false) }})
}

// scheduleFaults schedules the refusal of the leader, the outage, the cancellation, and what
// else may happen to the controllers.
func (o *outageSchedule) scheduleFaults() {
	name := o.nodes[o.leader].name
	o.during("refused", 4, func(on bool) { o.environment.Store.RefusedNodes[name] = on })
	o.during("outage", 8, func(on bool) { o.environment.Store.Down = on })
	o.at("cancel", 8, func() { o.cancel(o.other, o.job) })
	if rapid.Bool().Draw(o.t, "peers refused") {
		o.during("peers refused", 12, func(on bool) { o.peersRefused = on })
	}
	for _, i := range []int{o.leader, o.other} {
		o.scheduleControllerFault(i)
	}
	slices.SortStableFunc(o.events, func(a, b scheduledEvent) int { return a.at.Compare(b.at) })
}

// scheduleControllerFault schedules that a controller is away, restarts or is paused, or
// nothing.
func (o *outageSchedule) scheduleControllerFault(i int) {
	switch rapid.SampledFrom([]string{"", "", "away", "restart", "paused"}).Draw(o.t, "node") {
	case "away":
		o.during("away", 16, func(away bool) {
			if o.nodes[i].running = false; !away {
				o.startNode(i)
			}
		})
	case "restart":
		o.at("restart", 16, func() { o.startNode(i) })
	case "paused":
		o.during("paused", 16, func(paused bool) { o.nodes[i].paused = paused })
	}
}

// play lets everybody act, with drawn faults of heartbeats, until all events have happened.
func (o *outageSchedule) play() {
	const drawnFaults = 40
	step := rapid.SampledFrom([]time.Duration{200, 300, 500}).Draw(o.t, "step") * time.Millisecond
	faults := rapid.SliceOfN(rapid.IntRange(0, 11), drawnFaults, drawnFaults).Draw(o.t, "faults")
	end := o.environment.Now.Add(time.Duration(o.span()) * time.Second)
	for k := 0; o.environment.Now.Before(end) || len(o.events) > 0; k++ {
		o.runDueEvents()
		for i := range o.nodes {
			o.stepNode(i)
		}
		for i, h := range o.environment.Cloud.HostNames() {
			fault := heartbeatFault(faults[(k+i)%drawnFaults])
			if fault > responseDelayed {
				fault = heartbeatServed
			}
			o.sendHeartbeat(o.environment.Cloud.WorkersByHost[h], fault)
		}
		if o.environment.Jobs[o.job].CancelRequested { // any node may be the one that tells
			o.poll(k%len(o.nodes), o.job)
		}
		o.environment.Advance(step)
		o.checkBounds()
	}
}

// runDueEvents runs the events whose time has come.
func (o *outageSchedule) runDueEvents() {
	for len(o.events) > 0 && !o.environment.Now.Before(o.events[0].at) {
		o.events[0].do()
		o.events = o.events[1:]
	}
}

// checkBounds fails if a rule is broken, and tells the bounds on time.
func (o *outageSchedule) checkBounds() {
	if len(o.environment.Violations) > 0 {
		cfg := o.nodes[0].controller.node.Settings
		o.t.Fatalf("lease %v, cancellation timeout %v, grace %v, staleness %v: %v",
			o.environment.WorkerLease, o.environment.CancelTimeout, cfg.LeadershipGrace(), cfg.MaxStaleness(), o.environment.Violations)
	}
}

// confirmAfterFaults ends all faults and checks that the cancellation is confirmed, and that
// its tasks are gone in time.
func (o *outageSchedule) confirmAfterFaults() {
	o.endFaults()
	j := o.environment.Jobs[o.job]
	for k := 0; k < 300 && j.FinalPhase == ""; k++ {
		o.runRound()
		o.cancel(o.other, o.job)
		o.checkBounds()
	}
	if j.FinalPhase != api.JobCancelled {
		o.t.Fatalf("lease %v, cancellation timeout %v: never confirmed", o.environment.WorkerLease, o.environment.CancelTimeout)
	}
	for range rounds(o.environment.CancelTimeout) + 2 {
		o.runRound()
		o.checkBounds()
	}
}
