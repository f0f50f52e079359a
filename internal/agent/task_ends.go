package agent

import (
	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/logkey"
	"violetturn/internal/statecache"
)

// failedJobsToCordon is the number of jobs with failed tasks on a machine, without a successful
// task in between, at which the machine is assumed to be faulty and is cordoned.
const failedJobsToCordon = 2

// HandleTaskEnd logs the end of a task that a worker reported, and records what its cause implies
// about the machine.
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
		if len(agent.FailedJobs) >= failedJobsToCordon && !agent.Cordoned {
			r.node.Log.Info("machine cordoned", logkey.Host(host), logkey.Reason("tasks of several jobs failed there"))
			agent.Cordoned = true
		}
	case api.CauseInsufficientResources:
		agent.AvoidUntil = r.node.Now().Add(2 * r.node.Settings.HeartbeatInterval())
	case api.CauseStopped, api.CauseBusy, api.CauseUnknownTask, api.CausePeerLost, api.CauseGangIncomplete:
		// implies nothing about the machine
	}
}

// ExitReasonOf returns the exit reason for the cause that a worker reported: job.ExitLost for a
// cause unknown to this version, since the task did not complete, and whether the task or the
// machine failed is unknown.
func ExitReasonOf(cause api.ExitCause) job.ExitReason {
	switch cause {
	case api.CauseDone:
		return job.ExitDone
	case api.CauseError, api.CauseUnknownTask:
		return job.ExitError
	case api.CauseInsufficientResources, api.CauseBusy:
		return job.ExitRefused
	case api.CausePeerLost, api.CauseGangIncomplete:
		return job.ExitPeerLost
	case api.CauseStopped:
		return job.ExitLost
	}
	return job.ExitLost
}
