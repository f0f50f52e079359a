// Package zonehealth evaluates whether a zone is healthy, suspect, down or recovering. It is a pure
// state machine over one record of the state service that all controllers share. The record holds
// what the leaders of shards observe of the zone's machines, and the state that results. A change is
// committed by a conditional write on the record: if several controllers write, one succeeds and the
// writes based on an older version are refused. Record.Transitions increases whenever the zone goes
// down or starts to recover.
//
// Invariants:
//   - a zone enters Down only if the evaluating controller has an observer, that is, contact with
//     machines of another zone (its own or a peer's), so that a partitioned controller never
//     declares a zone down;
//   - neither Down nor Recovering lasts longer than Limits.MaxStateDuration while controllers can
//     write;
//   - Record.Transitions never decreases, and a failure soon after another halves
//     Record.SlowStartShare.
package zonehealth

import "time"

// minZoneMachines is the number of machines that a zone must have before it can become suspect: the
// loss of one or two machines is as likely to have a cause other than the zone.
const minZoneMachines = 3

// returnedShare is the share of the machines before the failure that must have returned for a zone
// to be recovering.
const returnedShare = 1. / 16

// Evaluate returns the record with the state that follows from its observations. hasObserver is
// whether machines of another zone are in contact with the evaluating controller or a peer.
func (r *Record) Evaluate(now time.Time, hasObserver bool, limits *Limits) Record {
	next := *r
	stateAge := now.Sub(time.UnixMilli(r.SinceMS))
	e := evaluation{next: &next, total: r.TotalObservation(), stateAge: stateAge, now: now, hasObserver: hasObserver, limits: limits}
	if e.mostUnclear() && stateAge < limits.MaxStateDuration && !e.machinesReturned() {
		// The leader of a shard has just changed. Machines from which the new leader has not received
		// a heartbeat yet count neither as lost nor as returned; the others do count.
		return next
	}
	switch r.State {
	case Suspect:
		e.evaluateSuspect()
	case Down:
		e.evaluateDown()
	case Recovering:
		e.evaluateRecovering()
	case Healthy:
		e.evaluateHealthy()
	default: // the zero value, or a state that this version does not define
		e.evaluateHealthy()
	}
	return next
}

// evaluation holds the inputs of a state change and the record that it changes.
type evaluation struct {
	next        *Record
	total       Observation
	stateAge    time.Duration // time in the current state
	now         time.Time
	hasObserver bool
	limits      *Limits
}

// mostUnclear reports whether at least half of the machines are unclear.
func (e *evaluation) mostUnclear() bool {
	return e.total.Unclear > 0 && 2*e.total.Unclear >= e.total.Healthy+e.total.Lost+e.total.Unclear
}

// machinesReturned reports whether enough machines of a zone that is down have returned.
func (e *evaluation) machinesReturned() bool {
	returned := e.total.Healthy - min(e.next.HealthyWatermark, e.total.Healthy)
	return e.next.State == Down && returned >= max(1, int(returnedShare*float64(e.next.MachinesBeforeFailure)))
}

func (e *evaluation) evaluateHealthy() {
	if e.total.Healthy+e.total.Lost >= minZoneMachines && e.total.LostShare() >= e.limits.SuspectShare {
		e.next.enterState(Suspect, e.now)
	}
}

func (e *evaluation) evaluateSuspect() {
	confirmAfter := e.limits.ConfirmAfter
	if e.next.RentalsRefused() {
		confirmAfter /= 2 // refused rentals support the suspicion
	}
	share := e.total.LostShare()
	cleared := share < e.limits.SuspectShare/2 || share < e.limits.DownShare && e.stateAge >= e.limits.MaxStateDuration
	switch {
	case cleared:
		e.next.enterState(Healthy, e.now)
	case share >= e.limits.DownShare && e.stateAge >= confirmAfter && e.hasObserver:
		e.next.enterDown(e.total, e.now, e.limits)
	}
}

func (e *evaluation) evaluateDown() {
	e.next.HealthyWatermark = min(e.next.HealthyWatermark, e.total.Healthy)
	if e.machinesReturned() || e.total.Lost == 0 || e.stateAge >= e.limits.MaxStateDuration {
		e.next.enterState(Recovering, e.now)
		e.next.Transitions++
		e.next.HealthyWatermark = e.total.Healthy
	}
}

func (e *evaluation) evaluateRecovering() {
	e.next.HealthyWatermark = max(e.next.HealthyWatermark, e.total.Healthy)
	failedAgain := float64(e.total.Healthy) <= float64(e.next.HealthyWatermark)*(1-e.limits.DownShare)
	if failedAgain && e.next.HealthyWatermark > 0 && e.total.Lost > 0 && e.hasObserver {
		e.next.enterDown(e.total, e.now, e.limits) // it failed again during the recovery
		return
	}
	fullyOpen := e.next.isNearlyRecovered(e.limits) && e.next.AdmissionShare(e.now, e.limits) >= 1
	if fullyOpen || e.stateAge >= e.limits.MaxStateDuration {
		e.next.enterState(Healthy, e.now)
	}
}
