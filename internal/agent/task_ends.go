package agent

import (
	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/logkey"
	"violetturn/internal/statecache"
)

// maxFailedJobs is how many jobs' tasks fail on a machine, without one that succeeds in between,
// until the machine is held to be at fault.
const maxFailedJobs = 2

// HandleTaskEnd notes what a task's end says of its machine.
func (r *Registry) HandleTaskEnd(host string, agent *Agent, j *statecache.Job, task *api.TaskState) {
	if !task.Cause.Known() {
		r.node.Log.Error("unknown exit cause reported", logkey.Host(host), logkey.Cause(task.Cause.String()))
	}
	r.node.Log.Info("task ended", logkey.Task(task.Task), logkey.Attempt(task.Attempt), logkey.Host(host),
		logkey.Cause(task.Cause.String()), logkey.Saved(task.Saved))
	switch task.Cause {
	case api.CauseDone:
		clear(agent.FailedJobs)
	case api.CauseError:
		agent.FailedJobs[j.Record.Spec.UID] = true
		if len(agent.FailedJobs) >= maxFailedJobs && !agent.Cordoned {
			r.node.Log.Info("machine cordoned", logkey.Host(host), logkey.Why("tasks of several jobs failed there"))
			agent.Cordoned = true
		}
	case api.CauseNoRoom:
		agent.AvoidUntil = r.node.Now().Add(2 * r.node.Settings.HeartbeatInterval())
	case api.CauseStopped, api.CauseBusy, api.CauseUnknown, api.CausePeerLost, api.CauseGangIncomplete:
		// says nothing of the machine
	}
}

// ExitReasonOf returns the reason of a task's end by the cause that its worker gave. A cause that
// this version doesn't know says nothing of who is to blame, and that the task did not complete.
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
