package job

// Gang is the state of the newest attempt of a gang: a job whose tasks all run at the same
// time or not at all. It is part of the main record, which is written with every change of the
// job's tasks, so that the version of one record covers all tasks, whichever records hold their
// placements. Every placement of an attempt has the attempt's number. GangPhase lists the
// states of an attempt.
type Gang struct {
	Attempt   uint64 `json:"t,omitempty"` // the attempt's number, higher than that of any earlier attempt
	Launched  bool   `json:"g,omitempty"`
	Stopping  bool   `json:"h,omitempty"`
	Ended     bool   `json:"v,omitempty"`
	Done      bool   `json:"d,omitempty"`
	LaunchedS int64  `json:"a,omitempty"` // when the attempt was launched, in seconds after the job was accepted

	ErrorStreak   int `json:"r,omitempty"` // consecutive attempts that failed because of a task's error
	FailureStreak int `json:"f,omitempty"` // consecutive attempts that ended neither done nor by a requested stop
}

// GangPhase is a state of a gang's attempt. An attempt begins with its first placement. It
// passes through the phases in the order of their values, possibly skipping some, and never
// returns to an earlier one. After its last placement is removed the gang is GangIdle; only
// GangDone is final.
type GangPhase uint8

// The phases of an attempt.
const (
	// GangIdle: no attempt has been made, or all tasks of the newest one have certainly
	// exited, so that the next attempt may reserve machines.
	GangIdle GangPhase = iota
	// GangReserving: some tasks have a reserved placement, and no task may be launched yet.
	GangReserving
	// GangLaunched: all placements were reserved at the same time, so that the workers may
	// start the tasks. The tasks wait for each other to start (gathering) before they run. A
	// task lost while they gather is replaced under the same attempt number.
	GangLaunched
	// GangStopping: all tasks are being stopped; they save their state and exit.
	GangStopping
	// GangEnding: the attempt failed or was stopped, and some of its tasks have yet to exit.
	GangEnding
	// GangDone: one task is done, which completes the whole gang.
	GangDone
)

// String returns the phase's name in the log.
func (p GangPhase) String() string {
	switch p {
	case GangIdle:
		return "idle"
	case GangReserving:
		return "reserving"
	case GangLaunched:
		return "launched"
	case GangStopping:
		return "stopping"
	case GangEnding:
		return "ending"
	case GangDone:
		return "done"
	}
	return "unknown"
}

// ExitReason is the reason why a task of an attempt ended.
type ExitReason uint8

// The reasons why a task can end.
const (
	ExitLost     ExitReason = iota // its machine was lost, or the task was stopped on request
	ExitRefused                    // the worker refused to launch it: it was never started
	ExitError                      // a fault of its machine or of the job
	ExitPeerLost                   // another task of the gang had exited, or did not start in time
	ExitDone                       // the task completed
)

// String returns the reason's name in the log.
func (r ExitReason) String() string {
	switch r {
	case ExitLost:
		return "lost"
	case ExitRefused:
		return "refused"
	case ExitError:
		return "error"
	case ExitPeerLost:
		return "peer lost"
	case ExitDone:
		return "done"
	}
	return "unknown"
}

// Phase returns the phase of an attempt that has the given number of placed tasks. A nil gang is
// idle.
func (g *Gang) Phase(placed int) GangPhase {
	switch {
	case g == nil:
		return GangIdle
	case g.Done:
		return GangDone
	case g.Ended && placed > 0:
		return GangEnding
	case g.Ended || placed == 0:
		return GangIdle
	case g.Stopping:
		return GangStopping
	case g.Launched:
		return GangLaunched
	}
	return GangReserving
}

// MayLaunch reports whether a task placed with the given attempt number may be launched.
func (g *Gang) MayLaunch(attempt uint64) bool {
	return g != nil && g.Launched && !g.Stopping && !g.Ended && !g.Done && attempt == g.Attempt
}

// MustStop reports whether a task placed with the given attempt number has to be stopped.
func (g *Gang) MustStop(attempt uint64) bool {
	return g != nil && (g.Stopping || g.Ended || g.Done || attempt != g.Attempt)
}

// AcceptsPlacements reports whether tasks may be placed under the current attempt. It is true for a
// nil gang.
func (g *Gang) AcceptsPlacements() bool {
	return g == nil || !g.Stopping && !g.Ended && !g.Done
}

// EnsureAttempt returns the attempt number for new placements of a gang that has the given number
// of placed tasks. If the current attempt has ended or has no placements, EnsureAttempt starts a
// new one with a higher number than any earlier attempt.
func (g *Gang) EnsureAttempt(placed int) uint64 {
	if g.Ended || placed == 0 {
		*g = Gang{Attempt: g.Attempt + 1, ErrorStreak: g.ErrorStreak, FailureStreak: g.FailureStreak}
	}
	return g.Attempt
}

// Launch marks the attempt as launched, launchedS seconds after the job was accepted, so that the
// workers may start its tasks. All placements of the attempt must have been reserved.
func (g *Gang) Launch(launchedS int64) {
	if !g.Launched {
		g.Launched, g.LaunchedS = true, launchedS
	}
}

// RecordTaskEnd updates the state after a task of the given attempt ended and its placement was
// removed. gathering reports whether the attempt is certainly still waiting for all its tasks to
// start, with enough time left to replace one. The end of a task of an earlier attempt changes
// nothing.
func (g *Gang) RecordTaskEnd(attempt uint64, reason ExitReason, gathering bool) {
	switch {
	case g.Done || attempt != g.Attempt:
	case reason == ExitDone:
		// All tasks of a gang complete together. This overrides an earlier decision to stop
		// or fail the attempt, which was made before the completion was reported.
		g.Done, g.ErrorStreak, g.FailureStreak = true, 0, 0
	case g.Ended || !g.Launched: // the attempt has already ended, or the task was never started
	case gathering && (reason == ExitRefused || reason == ExitLost) && !g.Stopping:
		// The other tasks wait for a replacement under the same attempt number.
	default:
		g.fail(reason)
	}
}

// fail ends a launched attempt. An attempt that was being stopped does not count as a failure.
func (g *Gang) fail(reason ExitReason) {
	g.Ended = true
	if g.Stopping {
		return
	}
	g.FailureStreak++
	if reason == ExitError {
		g.ErrorStreak++ // errors of several tasks count once
	} else {
		g.ErrorStreak = 0
	}
}

// Abandon ends a launched attempt whose tasks can't all start in time, and counts it as a
// failure. It does nothing to an attempt that was not launched: no task of it runs, and its
// placements can be removed without ending the attempt.
func (g *Gang) Abandon() {
	if g.Launched && !g.Ended && !g.Done {
		g.Ended = true
		g.FailureStreak++
	}
}
