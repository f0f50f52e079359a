package simulator

import (
	"time"

	"violetturn/internal/api"
)

// tickInterval is the longest step of a world's clock: short enough for every timer.
const tickInterval = 100 * time.Millisecond

// MachineType is the one machine type of the world.
type MachineType struct {
	Name              string
	CPUs, GPUs, MemGB float64
	BootTime          time.Duration
	FetchTime         time.Duration // of any image
}

// Settings are the deployment's facts, as the world keeps them.
type Settings struct {
	MachineType      MachineType
	Zones            []string
	WorkerLease      time.Duration      // of a worker
	CancelTimeout    time.Duration      // after which no task of a cancelled job may run
	GangStartTimeout time.Duration      // how long a gang's task waits for the others to start
	PeerLossTimeout  time.Duration      // after which a gang's tasks notice that one is lost
	TeamGPULimits    map[string]float64 // accelerators of a team's tasks at most; none: no limit
	ListLag          time.Duration      // of the cloud's list
}

// Callbacks are told of events at the moment when they happen. Each may be nil.
type Callbacks struct {
	OnTaskDone    func(uid string)            // a task of the job was completed
	OnTaskStarted func(x *Worker, uid string) // a task of the job started on the worker
}

// Environment is everything outside the controllers.
type Environment struct {
	Settings
	Callbacks

	Now   time.Time
	Store *Store
	Cloud *Cloud
	Jobs  map[string]*Job

	Violations          []Violation // rules broken, in order
	LaunchesAfterCancel int         // tasks that began to fetch after their user was told that the job is cancelled
}

// Job is a job as its user sees it.
type Job struct {
	Spec            api.Job
	RunTime         time.Duration // of a task
	RunTimeStep     time.Duration // by how much longer each next task runs
	Accepted        bool          // a user was told that it is accepted
	FinalPhase      api.JobPhase  // last phase told, if it was done or cancelled
	CancelRequested bool          // a user asked for its cancellation
	CancelConfirmed time.Time     // when its user was told that it is cancelled
	DoneTasks       map[int]bool  // tasks that were completed
	gang            gangProgress
}

// NewEnvironment returns a world without machines, jobs and faults, whose clock stands at start.
func NewEnvironment(start time.Time) *Environment {
	w := &Environment{Now: start, Jobs: map[string]*Job{}, Settings: Settings{TeamGPULimits: map[string]float64{}}}
	w.Store = newStore(w)
	w.Cloud = newCloud(w)
	return w
}

// Advance moves the clock, in steps small enough for every timer.
func (w *Environment) Advance(d time.Duration) {
	for end := w.Now.Add(d); w.Now.Before(end); {
		w.Now = w.Now.Add(min(tickInterval, end.Sub(w.Now)))
		w.Store.tick()
		for _, x := range w.Cloud.Workers() {
			x.tick()
		}
		w.tickGangs()
		w.checkCancelled()
	}
}

// taskDone records that a task was completed.
func (w *Environment) taskDone(j *Job, index int) {
	j.DoneTasks[index] = true
	if w.OnTaskDone != nil {
		w.OnTaskDone(j.Spec.UID)
	}
}

// seconds returns a number of seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
