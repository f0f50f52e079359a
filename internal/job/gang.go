package job

// Gang is the state of the newest attempt of a gang: a job all of whose tasks run at the same
// time or none does. It is part of the main record, which is written with every change of the
// job's tasks, so that one version covers all of them wherever their placements are recorded.
// Every placement of an attempt has the attempt's number. GangPhase tells which states an
// attempt goes through.
type Gang struct {
	Attempt   uint64 `json:"t,omitempty"` // the attempt's number; numbers only rise
	Launched  bool   `json:"g,omitempty"`
	Stopping  bool   `json:"h,omitempty"`
	Ended     bool   `json:"v,omitempty"`
	Done      bool   `json:"d,omitempty"`
	LaunchedS int64  `json:"a,omitempty"` // when it was launched, seconds after the job's acceptance

	ErrorStreak   int `json:"r,omitempty"` // attempts in a row that failed by an error of a task
	FailureStreak int `json:"f,omitempty"` // attempts in a row that ended without being done or told to stop
}

// GangPhase is a state of a gang's attempt. An attempt begins with its first placement. It
// goes through the phases in the order of their values, may leave some out, and never goes
// back; GangIdle follows when its last placement is gone, and only GangDone is final.
type GangPhase uint8

// The phases of an attempt.
const (
	// GangIdle is between attempts: there is none, or the last task of the newest one has
	// surely exited, so that the next one may reserve machines.
	GangIdle GangPhase = iota
	// GangReserving: some placements are reserved, and nothing may be launched.
	GangReserving
	// GangLaunched: all placements were reserved at one time, so that the workers may start
	// them. Until its tasks run they gather; one that is lost meanwhile is replaced under the
	// same attempt number.
	GangLaunched
	// GangStopping: all tasks were told to save and leave.
	GangStopping
	// GangEnding: the attempt failed as a whole, or was stopped, and some of its tasks have
	// yet to exit.
	GangEnding
	// GangDone: one task is done, and so all are.
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

// ExitReason is how a task of an attempt ended.
type ExitReason uint8

// The ways in which a task can end.
const (
	ExitLost     ExitReason = iota // with its machine, or it was told to stop
	ExitRefused                    // the worker refused it: it was never started
	ExitError                      // by a fault of its machine or of the job
	ExitPeerLost                   // because another task of the gang had exited, or did not start in time
	ExitDone                       // it is done
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

// Phase returns the attempt's phase while placed of its tasks are placed. A nil gang is idle.
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

// MayLaunch reports whether a placement with that attempt number may be launched.
func (g *Gang) MayLaunch(attempt uint64) bool {
	return g != nil && g.Launched && !g.Stopping && !g.Ended && !g.Done && attempt == g.Attempt
}

// MustStop reports whether a task with that attempt number has to leave its machine.
func (g *Gang) MustStop(attempt uint64) bool {
	return g != nil && (g.Stopping || g.Ended || g.Done || attempt != g.Attempt)
}

// AcceptsPlacements reports whether placements may be added to the attempt.
func (g *Gang) AcceptsPlacements() bool {
	return g == nil || !g.Stopping && !g.Ended && !g.Done
}

// EnsureAttempt returns the attempt number for new placements, while placed of the gang's tasks
// are placed. If the present attempt has ended or has no placements, a new one begins,
// numbered above every earlier one.
func (g *Gang) EnsureAttempt(placed int) uint64 {
	if g.Ended || placed == 0 {
		*g = Gang{Attempt: g.Attempt + 1, ErrorStreak: g.ErrorStreak, FailureStreak: g.FailureStreak}
	}
	return g.Attempt
}

// Launch lets the workers start the attempt, atS seconds after the job's acceptance: all its
// placements are reserved.
func (g *Gang) Launch(atS int64) {
	if !g.Launched {
		g.Launched, g.LaunchedS = true, atS
	}
}

// RecordTaskEnd changes the state by the end of a task of the given attempt whose placement is
// removed. gathering tells whether the attempt is surely still waiting for its tasks to start,
// with time to replace one. An end of an earlier attempt changes nothing.
func (g *Gang) RecordTaskEnd(attempt uint64, reason ExitReason, gathering bool) {
	switch {
	case g.Done || attempt != g.Attempt:
	case reason == ExitDone:
		// They complete together. What was decided of the attempt meanwhile rested
		// on not knowing that.
		g.Done, g.ErrorStreak, g.FailureStreak = true, 0, 0
	case g.Ended || !g.Launched: // known already, or a placement that was never started
	case gathering && (reason == ExitRefused || reason == ExitLost) && !g.Stopping:
		// The others wait for a replacement under the same number.
	default:
		g.fail(reason)
	}
}

// fail ends a launched attempt. One that was told to stop has not failed.
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

// Abandon ends a launched attempt that can't be complete in time. One that was not launched
// has no running tasks; its placements are removed without an end.
func (g *Gang) Abandon() {
	if g.Launched && !g.Ended && !g.Done {
		g.Ended = true
		g.FailureStreak++
	}
}
