package simulator

import (
	"time"

	"violetturn/internal/api"
)

// maxTick is the maximum step of the simulated clock, short enough for every simulated timer.
const maxTick = 100 * time.Millisecond

// MachineType is the only machine type of the simulated cloud.
type MachineType struct {
	Name              string
	CPUs, GPUs, MemGB float64
	BootTime          time.Duration // time that a machine takes to boot
	FetchTime         time.Duration // time to fetch any image
}

// Settings are the settings of a simulated deployment.
type Settings struct {
	MachineType      MachineType
	Zones            []string
	WorkerLease      time.Duration      // duration of a worker's lease
	CancelTimeout    time.Duration      // time after the confirmation of a cancellation by which all tasks of the job must have ended
	GangStartTimeout time.Duration      // time that a gang's task waits for the other tasks
	PeerLossTimeout  time.Duration      // time after which a gang's tasks detect the loss of one of them
	TeamGPULimits    map[string]float64 // maximum GPUs of a team's tasks; no entry: no limit
	ListLag          time.Duration      // age of the cloud's list of machines
}

// Callbacks are functions that are called at the moment of an event. Each may be nil.
type Callbacks struct {
	OnTaskDone    func(uid string)                 // a task of the job has completed
	OnTaskStarted func(worker *Worker, uid string) // a task of the job has started on the worker
}

// Environment is the simulated environment of the controllers.
type Environment struct {
	Settings
	Callbacks

	Now   time.Time
	Store *Store
	Cloud *Cloud
	Jobs  map[string]*Job // submitted jobs by their ID

	Violations          []Violation // in the order in which they occurred
	LaunchesAfterCancel int         // tasks launched after the cancellation of their job was confirmed to the user
}

// Job is a submitted job, with what its user has requested and received in responses.
type Job struct {
	Spec            api.Job
	RunTime         time.Duration // run time of the first task of an array, or of a gang
	RunTimeStep     time.Duration // difference between the run times of consecutive tasks of an array
	Accepted        bool          // a response has confirmed the job
	FinalPhase      api.JobPhase  // final phase (done or cancelled) reported to the user; "": none yet
	CancelRequested bool          // the user has requested the cancellation
	CancelConfirmed time.Time     // when a response first confirmed the cancellation; zero: not yet
	DoneTasks       map[int]bool  // indexes of the completed tasks
	gang            gangProgress  // of a gang
}

// NewEnvironment returns an environment without machines, jobs and faults, whose clock is set to
// start.
func NewEnvironment(start time.Time) *Environment {
	env := &Environment{Now: start, Jobs: map[string]*Job{}, Settings: Settings{TeamGPULimits: map[string]float64{}}}
	env.Store = newStore(env)
	env.Cloud = newCloud(env)
	return env
}

// Advance advances the clock by d, in steps of at most maxTick.
func (e *Environment) Advance(d time.Duration) {
	for end := e.Now.Add(d); e.Now.Before(end); {
		e.Now = e.Now.Add(min(maxTick, end.Sub(e.Now)))
		e.Store.tick()
		for _, worker := range e.Cloud.Workers() {
			worker.tick()
		}
		e.tickGangs()
		e.checkCancelled()
	}
}

// taskDone records that a task has completed.
func (e *Environment) taskDone(j *Job, index int) {
	j.DoneTasks[index] = true
	if e.OnTaskDone != nil {
		e.OnTaskDone(j.Spec.UID)
	}
}
