package simulator

import (
	"time"

	"violetturn/internal/api"
)

// Machine describes a rented machine.
type Machine struct {
	Host, Addr, MachineType, Zone string
	Spot                          bool
}

// AgentState is the state that a worker reports in its heartbeats besides its machine and tasks.
type AgentState struct {
	AgentEpoch  uint64 // incremented when the worker's lease expires
	Sequence    uint64 // number of the worker's last heartbeat
	Token       uint64 // highest fencing token that the worker has accepted
	SpotNoticeS *float64
}

// Worker is the worker process of a machine, together with its machine.
type Worker struct {
	Machine
	AgentState
	WorkerFaults
	Tasks     []*Task
	NodeIndex int // index of the controller that the worker sends heartbeats to

	env                              *Environment
	rentedAt, bootedAt, terminatedAt time.Time
	renewedAt                        time.Time // when the last acknowledged heartbeat was sent
	epochStartedAt                   time.Time // when the agent epoch began
}

// newWorker returns the worker of a newly rented machine.
func newWorker(env *Environment, m Machine) *Worker {
	return &Worker{
		Machine:    m,
		AgentState: AgentState{AgentEpoch: 1},
		env:        env,
		rentedAt:   env.Now,
		bootedAt:   env.Now.Add(env.MachineType.BootTime),
	}
}

// Task is an attempt of a task on a machine.
type Task struct {
	uid       string // of the job
	job       *Job
	index     int
	attempt   uint64
	phase     api.TaskPhase
	cause     api.ExitCause // of the task's end
	since     time.Time     // when the phase began
	saveUntil time.Time
	saved     bool
}

// name returns the task's name in messages.
func (t *Task) name() string { return api.TaskName(t.uid, t.index) }

// end ends the task with the given cause.
func (t *Task) end(cause api.ExitCause) { t.phase, t.cause = api.TaskEnded, cause }

// isActive reports whether the rules count the task as being on its machine: after its image was
// fetched, until the task ends.
func (t *Task) isActive() bool {
	return t.phase == api.TaskRunning || t.phase == api.TaskSaving || t.phase == api.TaskGathering
}

// Booted reports whether the machine has booted.
func (w *Worker) Booted() bool { return !w.env.Now.Before(w.bootedAt) }

// tick expires the worker's lease if it is due. Otherwise it advances the worker's tasks.
func (w *Worker) tick() {
	if !w.Booted() {
		return
	}
	if w.epochStartedAt.IsZero() {
		w.epochStartedAt = w.env.Now
	}
	if w.leaseExpired() {
		w.Tasks = nil
		w.AgentEpoch++
		w.epochStartedAt, w.renewedAt = w.env.Now, time.Time{}
		return
	}
	if w.Hung {
		return
	}
	for _, t := range w.Tasks {
		w.tickTask(t)
	}
}

// leaseExpired reports whether the worker's lease has expired. The lease starts with its last
// renewal, or with the agent epoch if it has not been renewed since.
func (w *Worker) leaseExpired() bool {
	leaseStart := w.epochStartedAt
	if w.renewedAt.After(leaseStart) {
		leaseStart = w.renewedAt
	}
	return w.env.Now.Sub(leaseStart) > w.env.WorkerLease
}

// tickTask advances a task. tickGangs advances gathering and running tasks of gangs.
func (w *Worker) tickTask(t *Task) {
	timeInPhase := w.env.Now.Sub(t.since)
	switch t.phase {
	case api.TaskFetching:
		if timeInPhase < w.env.MachineType.FetchTime {
			return
		}
		t.phase, t.since = api.TaskRunning, w.env.Now
		if t.job.Spec.Kind == api.Gang {
			t.phase = api.TaskGathering
		}
		w.env.taskStarted(w, t)
	case api.TaskRunning:
		if t.job.Spec.Kind == api.Array && timeInPhase >= t.job.RunTime+time.Duration(t.index)*t.job.RunTimeStep {
			t.end(api.CauseDone)
			w.env.taskDone(t.job, t.index)
		}
	case api.TaskSaving:
		if !w.env.Now.Before(t.saveUntil) {
			t.end(api.CauseStopped)
		}
	case api.TaskGathering, api.TaskEnded: // not changed by time
	}
}

// UnfinishedTaskJobs returns the job ID of each task on the machine that has not ended.
func (w *Worker) UnfinishedTaskJobs() []string {
	var uids []string
	for _, t := range w.Tasks {
		if t.phase != api.TaskEnded {
			uids = append(uids, t.uid)
		}
	}
	return uids
}

// FreeCapacity returns the CPUs and GPUs of the machine that its tasks do not use.
func (w *Worker) FreeCapacity() (cpus, gpus float64) {
	cpus, gpus = w.env.MachineType.CPUs, w.env.MachineType.GPUs
	for _, t := range w.Tasks {
		if t.phase != api.TaskEnded {
			cpus -= t.job.Spec.CPUs
			gpus -= t.job.Spec.GPUs
		}
	}
	return cpus, gpus
}
