// Package zonehealth judges whether a zone is up, down or coming back. It is a pure state
// machine over one record of the state service that all controllers share: what the leaders
// of shards observe of the zone's machines, and the state that follows. A change is committed by
// conditional write on the record, so that of several controllers one wins and a late one
// is refused; Record.Transitions rises with each change of what work may be placed in the zone.
//
// Invariants:
//   - a zone goes down only with an observer: the controller that says so hears machines of
//     another zone, so that one that is itself cut off never does;
//   - neither Down nor Recovering outlasts Limits.MaxStateDuration while controllers can write;
//   - Record.Transitions never falls, and Record.SlowStartShare is halved by a failure soon
//     after another.
package zonehealth

import "time"

// minMachines is how many machines a zone must have to be judged: one or two are as likely
// lost by themselves.
const minMachines = 3

// returnShare is the share of the machines there were before that have to be back for a
// zone to be recovering.
const returnShare = 1. / 16

// Evaluate returns the record as it is to be now, by what its observations say. hasObserver tells
// whether the controller that judges hears machines of another zone.
func (r *Record) Evaluate(now time.Time, hasObserver bool, limits *Limits) Record {
	next := *r
	lasted := now.Sub(time.UnixMilli(r.SinceMS))
	j := judgement{next: &next, sum: r.TotalObservation(), lasted: lasted, now: now, hasObserver: hasObserver, limits: limits}
	if j.mostUnclear() && lasted < limits.MaxStateDuration && !j.machinesReturned() {
		// A shard has just changed hands: what its new leader has not heard of yet is
		// neither lost nor back. What it has heard of is.
		return next
	}
	switch r.State {
	case Suspect:
		j.suspect()
	case Down:
		j.down()
	case Recovering:
		j.recovering()
	case Healthy:
		j.healthy()
	default: // a state that this version doesn't know
		j.healthy()
	}
	return next
}

// judgement is what a change of state rests on, and the record that it changes.
type judgement struct {
	next        *Record
	sum         Observation
	lasted      time.Duration // of the present state
	now         time.Time
	hasObserver bool
	limits      *Limits
}

// mostUnclear reports whether at least half of the machines are unclear.
func (j *judgement) mostUnclear() bool {
	return j.sum.Unclear > 0 && 2*j.sum.Unclear >= j.sum.Healthy+j.sum.Lost+j.sum.Unclear
}

// machinesReturned reports whether machines of a zone that is down are back.
func (j *judgement) machinesReturned() bool {
	back := j.sum.Healthy - min(j.next.HealthyWatermark, j.sum.Healthy)
	return j.next.State == Down && back >= max(1, int(returnShare*float64(j.next.MachinesBeforeFailure)))
}

func (j *judgement) healthy() {
	if j.sum.Healthy+j.sum.Lost >= minMachines && j.sum.LostShare() >= j.limits.SuspectShare {
		j.next.enter(Suspect, j.now)
	}
}

func (j *judgement) suspect() {
	confirm := j.limits.ConfirmAfter
	if j.next.RentalsRefused() {
		confirm /= 2 // the cloud says the same
	}
	share := j.sum.LostShare()
	over := share < j.limits.SuspectShare/2 || share < j.limits.DownShare && j.lasted >= j.limits.MaxStateDuration
	switch {
	case over:
		j.next.enter(Healthy, j.now)
	case share >= j.limits.DownShare && j.lasted >= confirm && j.hasObserver:
		j.next.goDown(j.sum, j.now, j.limits)
	}
}

func (j *judgement) down() {
	j.next.HealthyWatermark = min(j.next.HealthyWatermark, j.sum.Healthy)
	if j.machinesReturned() || j.sum.Lost == 0 || j.lasted >= j.limits.MaxStateDuration {
		j.next.enter(Recovering, j.now)
		j.next.Transitions++
		j.next.HealthyWatermark = j.sum.Healthy
	}
}

func (j *judgement) recovering() {
	j.next.HealthyWatermark = max(j.next.HealthyWatermark, j.sum.Healthy)
	fell := float64(j.sum.Healthy) <= float64(j.next.HealthyWatermark)*(1-j.limits.DownShare)
	if fell && j.next.HealthyWatermark > 0 && j.sum.Lost > 0 && j.hasObserver {
		j.next.goDown(j.sum, j.now, j.limits) // again, in the middle of the recovery
		return
	}
	open := j.next.productionServed(j.limits) && j.next.AdmissionShare(j.now, j.limits) >= 1
	if open || j.lasted >= j.limits.MaxStateDuration {
		j.next.enter(Healthy, j.now)
	}
}
