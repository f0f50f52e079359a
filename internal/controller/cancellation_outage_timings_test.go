package controller

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
)

// A leader may be paused between evaluating a heartbeat and sending its response, a worker may
// receive only old responses, and the drawn leases and cancellation timeouts leave much time,
// little time or none. Below, at and above each time bound, no task is on its machine for longer
// than the cancellation timeout after a user received the confirmation. Once all faults have
// ended, the cancellation is confirmed.
func TestCancellationDuringStoreOutageTimings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOutageSchedule(t)
		o.submitServices()
		o.scheduleFaults()
		o.runSchedule()
		o.confirmAfterFaults()
	})
}

// outageSchedule is a cluster in which a job is cancelled during an outage of the state service.
// The times of all events are drawn.
type outageSchedule struct {
	*testCluster
	t             *rapid.T
	cancelledJob  string // the job that is cancelled
	leader, other int    // the leader of its shard, and the controller that receives the cancellation
	events        []scheduledEvent
}

// scheduledEvent is a fault, the end of a fault or a request at a drawn time.
type scheduledEvent struct {
	at  time.Time
	run func()
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

// drawSeconds draws a duration from minSeconds to maxSeconds, in steps of a tenth of a second.
func (o *outageSchedule) drawSeconds(name string, minSeconds, maxSeconds int) time.Duration {
	return time.Duration(rapid.IntRange(minSeconds*10, maxSeconds*10).Draw(o.t, name)) * 100 * time.Millisecond
}

// submitServices submits two services, the second of which is cancelled, and runs for a drawn
// number of rounds, so that some of their tasks run while others may still be starting.
func (o *outageSchedule) submitServices() {
	for range 2 {
		o.cancelledJob = o.submitJob(func(j *api.Job, _ *time.Duration) {
			j.Kind, j.Tasks, j.Zone = api.Service, rapid.IntRange(1, 3).Draw(o.t, "tasks"), "x"
			if rapid.Bool().Draw(o.t, "saves") {
				j.CheckpointIntervalS, j.SaveDurationS = 5, 3
			}
		})
	}
	o.runFor(rapid.IntRange(24, 60).Draw(o.t, "rounds"))
	if len(o.runningTasksByHost(o.cancelledJob)) > 0 {
		o.leader, o.other = o.leaderOfJob(o.t, o.cancelledJob)
	}
}

// drawTime draws a time within maxSeconds from now.
func (o *outageSchedule) drawTime(name string, maxSeconds int) time.Time {
	return o.environment.Now.Add(o.drawSeconds(name, 0, maxSeconds))
}

// maxFaultSeconds returns the longest time that a fault lasts, in whole seconds.
func (o *outageSchedule) maxFaultSeconds() int {
	return int(2 * (o.environment.CancelTimeout + o.environment.WorkerLease) / time.Second)
}

// scheduleEvent schedules an event at a drawn time within maxSeconds.
func (o *outageSchedule) scheduleEvent(name string, maxSeconds int, run func()) {
	o.events = append(o.events, scheduledEvent{o.drawTime(name, maxSeconds), run})
}

// scheduleFault schedules a fault that begins within maxSeconds, and its end.
func (o *outageSchedule) scheduleFault(name string, maxSeconds int, set func(active bool)) {
	from := o.drawTime(name+" from", maxSeconds)
	until := from.Add(o.drawSeconds(name+" for", 0, o.maxFaultSeconds()))
	o.events = append(o.events,
		scheduledEvent{from, func() { set(true) }},
		scheduledEvent{until, func() { set(false) }})
}

// scheduleFaults schedules the refusal of the leader, the outage, the cancellation, and possible
// faults of the controllers.
func (o *outageSchedule) scheduleFaults() {
	name := o.nodes[o.leader].name
	o.scheduleFault("refused", 4, func(active bool) { o.environment.Store.RefusedControllers[name] = active })
	o.scheduleFault("outage", 8, func(active bool) { o.environment.Store.Down = active })
	o.scheduleEvent("cancel", 8, func() { o.cancel(o.other, o.cancelledJob) })
	if rapid.Bool().Draw(o.t, "peers refused") {
		o.scheduleFault("peers refused", 12, func(active bool) { o.peersRefused = active })
	}
	for _, i := range []int{o.leader, o.other} {
		o.scheduleControllerFault(i)
	}
	slices.SortStableFunc(o.events, func(a, b scheduledEvent) int { return a.at.Compare(b.at) })
}

// scheduleControllerFault may schedule that a controller is down for some time, restarts, or is
// paused.
func (o *outageSchedule) scheduleControllerFault(i int) {
	switch rapid.SampledFrom([]string{"", "", "down", "restart", "paused"}).Draw(o.t, "node") {
	case "down":
		o.scheduleFault("down", 16, func(down bool) {
			if o.nodes[i].running = false; !down {
				o.startNode(i)
			}
		})
	case "restart":
		o.scheduleEvent("restart", 16, func() { o.startNode(i) })
	case "paused":
		o.scheduleFault("paused", 16, func(paused bool) { o.nodes[i].paused = paused })
	}
}

// runSchedule runs controllers and workers, with drawn faults of heartbeats, until all events
// have happened.
func (o *outageSchedule) runSchedule() {
	const drawnFaultCount = 40
	step := rapid.SampledFrom([]time.Duration{200, 300, 500}).Draw(o.t, "step") * time.Millisecond
	faults := rapid.SliceOfN(rapid.IntRange(0, 11), drawnFaultCount, drawnFaultCount).Draw(o.t, "faults")
	end := o.environment.Now.Add(time.Duration(o.maxFaultSeconds()) * time.Second)
	for round := 0; o.environment.Now.Before(end) || len(o.events) > 0; round++ {
		o.runDueEvents()
		for i := range o.nodes {
			o.stepNode(i)
		}
		for i, host := range o.environment.Cloud.HostNames() {
			fault := heartbeatFault(faults[(round+i)%drawnFaultCount])
			if fault > responseDelayed {
				fault = heartbeatServed
			}
			o.sendHeartbeat(o.environment.Cloud.WorkersByHost[host], fault)
		}
		if o.environment.Jobs[o.cancelledJob].CancelRequested { // any controller may return the final phase to the user
			o.poll(round%len(o.nodes), o.cancelledJob)
		}
		o.environment.Advance(step)
		o.checkBounds()
	}
}

// runDueEvents runs the events whose time has come.
func (o *outageSchedule) runDueEvents() {
	for len(o.events) > 0 && !o.environment.Now.Before(o.events[0].at) {
		o.events[0].run()
		o.events = o.events[1:]
	}
}

// checkBounds fails the test if a rule is violated. The message contains the time bounds.
func (o *outageSchedule) checkBounds() {
	if len(o.environment.Violations) > 0 {
		cfg := o.nodes[0].controller.node.Settings
		o.t.Fatalf("lease %v, cancellation timeout %v, leadership grace %v, max staleness %v: violations %v, want none",
			o.environment.WorkerLease, o.environment.CancelTimeout, cfg.LeadershipGracePeriod(), cfg.MaxStaleness(),
			o.environment.Violations)
	}
}

// confirmAfterFaults ends all faults and checks that the cancellation is confirmed and that the
// tasks of the job end in time.
func (o *outageSchedule) confirmAfterFaults() {
	o.endFaults()
	j := o.environment.Jobs[o.cancelledJob]
	for round := 0; round < 300 && j.FinalPhase == ""; round++ {
		o.runRound()
		o.cancel(o.other, o.cancelledJob)
		o.checkBounds()
	}
	if j.FinalPhase != api.JobCancelled {
		o.t.Fatalf("lease %v, cancellation timeout %v: job in phase %q after all faults ended, want %q",
			o.environment.WorkerLease, o.environment.CancelTimeout, j.FinalPhase, api.JobCancelled)
	}
	for range rounds(o.environment.CancelTimeout) + 2 {
		o.runRound()
		o.checkBounds()
	}
}
