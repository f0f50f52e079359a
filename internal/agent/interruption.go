package agent

import (
	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/statecache"
)

// GangInterruptionIsDue reports whether a machine with a task of a gang is taken away so soon that
// all of them have to save now.
func (reg *Registry) GangInterruptionIsDue(j *statecache.Job) bool {
	for _, ch := range j.Ranges {
		for _, p := range ch.Record.Placements {
			if s := reg.ByHost[p.Host]; s != nil && reg.InterruptionIsDue(s, j) {
				return true
			}
		}
	}
	return false
}

// ExitReasonOf reads a cause of a task's end. One that this version doesn't know says
// nothing of who is to blame, and that the task did not complete.
func ExitReasonOf(cause api.ExitCause) job.ExitReason {
	switch cause {
	case api.CauseDone:
		return job.ExitDone
	case api.CauseError, api.CauseUnknown:
		return job.ExitError
	case api.CauseNoRoom, api.CauseBusy:
		return job.ExitRefused
	case api.CausePeerLost, api.CauseGangIncomplete:
		return job.ExitPeerLost
	case api.CauseStopped:
		return job.ExitLost
	}
	return job.ExitLost
}
