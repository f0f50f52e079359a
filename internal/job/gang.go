package job

// Gang is how the newest attempt of an gang stands: all its tasks run at the same
// time or none does. It is part of the main record, which is written with every change
// of the job's tasks, so that one version covers all of them wherever their places
// are recorded. Every place of an attempt has the attempt's number.
//
// An attempt begins with its first place and goes through these states, never back:
//
//	holding   places are taken; nothing may be launched (not Go)
//	launched  all places were held at one time: the workers may start them (Go).
//	          Until its tasks run they gather; one that is lost meanwhile is
//	          replaced under the same number
//	stopping  all tasks were told to save and leave (Halt)
//	ending    it failed as a whole, or was stopped: what is left of it leaves (Over)
//	over      the last of its tasks has surely exited; the next one may hold
//	done      one task is done, and so all are (Done)
type Gang struct {
	Attempt   uint64 `json:"t,omitempty"` // the attempt's number; they only rise
	Launched  bool   `json:"g,omitempty"`
	Stopping  bool   `json:"h,omitempty"`
	Ended     bool   `json:"v,omitempty"`
	Done      bool   `json:"d,omitempty"`
	LaunchedS int64  `json:"a,omitempty"` // when it was launched, seconds after the job's acceptance

	ErrorStreak   int `json:"r,omitempty"` // attempts in a row that failed by an error of a task
	FailureStreak int `json:"f,omitempty"` // attempts in a row that ended without being done or told to stop
}

// GangPhase names a state of an attempt.
type GangPhase string

// The states of an attempt.
const (
	GangIdle      GangPhase = "over" // none, or the last one has ended
	GangReserving GangPhase = "holding"
	GangLaunched  GangPhase = "launched"
	GangStopping  GangPhase = "stopping"
	GangEnding    GangPhase = "ending"
	GangDone      GangPhase = "done"
)

// Phase tells the state, when so many tasks are placed.
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

// MayLaunch reports whether a place with that number may be launched.
func (g *Gang) MayLaunch(try uint64) bool {
	return g != nil && g.Launched && !g.Stopping && !g.Ended && !g.Done && try == g.Attempt
}

// MustStop reports whether a task with that number has to leave its machine.
func (g *Gang) MustStop(try uint64) bool {
	return g != nil && (g.Stopping || g.Ended || g.Done || try != g.Attempt)
}

// AcceptsPlacements reports whether places may be added to the attempt.
func (g *Gang) AcceptsPlacements() bool {
	return g == nil || !g.Stopping && !g.Ended && !g.Done
}

// BeginAttempt returns the number for new places. Where nothing of the attempt before is left
// a new one begins, above every earlier number.
func (g *Gang) BeginAttempt(placed int) uint64 {
	if g.Ended || placed == 0 {
		*g = Gang{Attempt: g.Attempt + 1, ErrorStreak: g.ErrorStreak, FailureStreak: g.FailureStreak}
	}
	return g.Attempt
}

// Launch lets the workers start the attempt: all its places are held.
func (g *Gang) Launch(atS int64) {
	if !g.Launched {
		g.Launched, g.LaunchedS = true, atS
	}
}

// ExitReason is how a task of an attempt ended.
type ExitReason int

// How a task can end.
const (
	ExitLost     ExitReason = iota // with its machine, or it was told to stop
	ExitRefused                    // it never started there
	ExitError                      // by a fault of its machine or of the job
	ExitPeerLost                   // since another one had gone, or did not come in time
	ExitDone
)

// TaskEnded takes in the end of a task of attempt try whose place is given up. gathering
// tells that the attempt is surely still waiting for its tasks, with time to replace
// one. What it leaves behind decides about all tasks.
func (g *Gang) TaskEnded(try uint64, how ExitReason, gathering bool) {
	switch {
	case g.Done || try != g.Attempt:
	case how == ExitDone:
		// They complete together. What was decided of the attempt meanwhile rested
		// on not knowing that.
		g.Done, g.ErrorStreak, g.FailureStreak = true, 0, 0
	case g.Ended || !g.Launched: // known already, or a held place that was never started
	case gathering && (how == ExitRefused || how == ExitLost) && !g.Stopping:
		// The others wait for a replacement under the same number.
	default:
		g.Ended = true
		if !g.Stopping {
			g.FailureStreak++
			if how == ExitError {
				g.ErrorStreak++ // errors of several tasks count once
			} else {
				g.ErrorStreak = 0
			}
		}
	}
}

// Abandon ends an attempt that can't be complete in time; one that only holds goes at
// once, for nothing of it was ever started.
func (g *Gang) Abandon() {
	if g.Launched && !g.Ended && !g.Done {
		g.Ended = true
		g.FailureStreak++
	}
}
