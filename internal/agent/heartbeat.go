package agent

import (
	"time"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// MayIntroduceTerm reports whether a worker that has not seen this term yet is to be answered,
// and counts the answer.
func (reg *Registry) MayIntroduceTerm(a *Agent, now time.Time) bool {
	return a.MayIntroduceTerm(now, reg.node.Settings.WorkerLeaseBound(), reg.node.Settings.HeartbeatInterval())
}

// HeartbeatTimeout is how long a worker waits for an answer (PROTOCOL).
const HeartbeatTimeout = 4 * time.Second

// NoteUnregistered notes a machine that has no record, to be recorded in a part of its
// zone. One whose record was dropped is gone, and names are never used again:
// what a cut held back, or a list that lags, must not bring it back as a ghost
// that counts as coming room. Only machines that the cloud lists come here, which bounds
// how many there are.
func (reg *Registry) NoteUnregistered(host string, m shard.Machine) {
	if reg.cache.Terminated[host] {
		return
	}
	if _, ok := reg.Unregistered[host]; ok {
		return
	}
	reg.Unregistered[host] = m
	reg.wake.Notify()
}

// InterruptionIsDue reports whether the cloud takes the machine away so soon that the task
// has to leave now; until then it runs on, for it may complete.
func (reg *Registry) InterruptionIsDue(s *Agent, j *statecache.Job) bool {
	if s.Heartbeat == nil || s.Heartbeat.SpotNoticeS == nil {
		return false
	}
	need := 2*j.Record.Spec.SaveS + 2*reg.node.Settings.HeartbeatInterval().Seconds()
	if j.IsGang() {
		need += reg.node.Settings.GangPeerTimeout().Seconds() // to tell all of them
	}
	return *s.Heartbeat.SpotNoticeS <= need
}

// NoteTaskEnd notes what a task's end says of the machine and of its job.
func (reg *Registry) NoteTaskEnd(host string, s *Agent, j *statecache.Job, _ *statecache.PlacedTask, l *api.TaskState) {
	uid := j.Record.Spec.UID
	if !l.Cause.Known() {
		reg.node.Log.Error("unknown exit cause reported", "host", host, "cause", l.Cause)
	}
	reg.node.Log.Info("task ended", "task", l.Task, "attempt", l.Attempt, "host", host, "cause", l.Cause, "saved", l.Saved)
	switch l.Cause {
	case api.CauseDone:
		clear(s.FailedJobs)
	case api.CauseError:
		s.FailedJobs[uid] = true
		if len(s.FailedJobs) >= 2 && !s.Cordoned {
			reg.node.Log.Info("machine cordoned", "host", host, "why", "tasks of several jobs failed there")
			s.Cordoned = true
		}
	case api.CauseNoRoom:
		s.AvoidUntil = reg.node.Now().Add(2 * reg.node.Settings.HeartbeatInterval())
	case api.CauseStopped, api.CauseBusy, api.CauseUnknown, api.CausePeerLost, api.CauseGangIncomplete:
		// says nothing of the machine
	}
}
