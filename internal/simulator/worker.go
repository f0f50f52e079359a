package simulator

import (
	"time"

	"violetturn/internal/api"
)

// Machine is a machine as the cloud rented it.
type Machine struct {
	Host, Addr, MachineType, Zone string
	Spot                          bool
}

// AgentState is what a worker says of itself and of its sequence of messages.
type AgentState struct {
	AgentEpoch  uint64 // rises when its lease ends
	Sequence    uint64 // of its last heartbeat
	Token       uint64 // highest fencing token that it obeyed
	SpotNoticeS *float64
}

// Worker is a machine's worker.
type Worker struct {
	Machine
	AgentState
	WorkerFaults
	Tasks []*Task
	Node  int // the controller that it reports to

	w                            *Environment
	rentedAt, upAt, terminatedAt time.Time
	renewedAt                    time.Time // when the last heartbeat that was answered was sent
	epochStartedAt               time.Time // when the agent epoch began
}

// newWorker returns the worker of a machine that is rented now.
func newWorker(w *Environment, m Machine) *Worker {
	return &Worker{
		Machine:    m,
		AgentState: AgentState{AgentEpoch: 1},
		w:          w,
		rentedAt:   w.Now,
		upAt:       w.Now.Add(w.MachineType.BootTime),
	}
}

// Task is an attempt on a machine.
type Task struct {
	uid       string // of the job
	job       *Job
	index     int
	attempt   uint64
	phase     api.TaskPhase
	cause     api.ExitCause // of the end
	since     time.Time     // when the phase began
	saveUntil time.Time
	saved     bool
}

// name returns the name of the task.
func (t *Task) name() string { return api.TaskName(t.uid, t.index) }

// end ends the task.
func (t *Task) end(cause api.ExitCause) { t.phase, t.cause = api.TaskEnded, cause }

// isOnMachine reports whether the task is on its machine in the sense of the rules.
func (t *Task) isOnMachine() bool {
	return t.phase == api.TaskRunning || t.phase == api.TaskSaving || t.phase == api.TaskGathering
}

// Booted reports whether the machine has booted.
func (x *Worker) Booted() bool { return !x.w.Now.Before(x.upAt) }

// tick ends the worker's lease if its time is over, and else advances its tasks.
func (x *Worker) tick() {
	if !x.Booted() {
		return
	}
	if x.epochStartedAt.IsZero() {
		x.epochStartedAt = x.w.Now
	}
	if x.leaseExpired() {
		x.Tasks = nil
		x.AgentEpoch++
		x.epochStartedAt, x.renewedAt = x.w.Now, time.Time{}
		return
	}
	if x.Hung {
		return
	}
	for _, t := range x.Tasks {
		x.tickTask(t)
	}
}

// leaseExpired reports whether the worker's lease, from its last renewal or from the start
// of its epoch, is over.
func (x *Worker) leaseExpired() bool {
	last := x.epochStartedAt
	if x.renewedAt.After(last) {
		last = x.renewedAt
	}
	return x.w.Now.Sub(last) > x.w.WorkerLease
}

// tickTask advances a task. Gangs run in tickGangs.
func (x *Worker) tickTask(t *Task) {
	inPhase := x.w.Now.Sub(t.since)
	switch t.phase {
	case api.TaskFetching:
		if inPhase < x.w.MachineType.FetchTime {
			return
		}
		t.phase, t.since = api.TaskRunning, x.w.Now
		if t.job.Spec.Kind == api.Gang {
			t.phase = api.TaskGathering
		}
		x.w.taskStarted(x, t)
	case api.TaskRunning:
		if t.job.Spec.Kind == api.Array && inPhase >= t.job.RunTime+time.Duration(t.index)*t.job.RunTimeStep {
			t.end(api.CauseDone)
			x.w.taskDone(t.job, t.index)
		}
	case api.TaskSaving:
		if !x.w.Now.Before(t.saveUntil) {
			t.end(api.CauseStopped)
		}
	case api.TaskGathering, api.TaskEnded: // time changes nothing here
	}
}

// UnfinishedTaskJobs names the job of each task that takes room on the machine.
func (x *Worker) UnfinishedTaskJobs() []string {
	var out []string
	for _, t := range x.Tasks {
		if t.phase != api.TaskEnded {
			out = append(out, t.uid)
		}
	}
	return out
}

// FreeCapacity returns what the machine's tasks leave of its CPUs and GPUs.
func (x *Worker) FreeCapacity() (cpus, gpus float64) {
	cpus, gpus = x.w.MachineType.CPUs, x.w.MachineType.GPUs
	for _, t := range x.Tasks {
		if t.phase != api.TaskEnded {
			cpus -= t.job.Spec.CPUs
			gpus -= t.job.Spec.GPUs
		}
	}
	return cpus, gpus
}
