package simulator

import (
	"time"

	"violetturn/internal/config"
	"violetturn/internal/numeric"
)

// listLag is how old the machine list that the simulated cloud returns is.
const listLag = 5 * time.Second

// Deployment defines the machines, timings, limits and load of a simulated deployment.
type Deployment struct {
	Name                                       string
	HeartbeatIntervalS, LeaseS, CancelTimeoutS float64       // heartbeat interval, worker lease and cancel timeout in seconds
	BootTime, FetchTime                        time.Duration // time that a machine takes to boot; time to fetch any image
	MachineType                                MachineType
	StateLimits                                config.StateLimits
	TeamGPULimit                               float64 // maximum GPUs of a team's tasks; 0: no limit
	ServiceJobs, ArrayJobs                     JobClass
}

// JobClass defines a group of similar jobs that simulated users submit.
type JobClass struct {
	Name          string
	Service       bool          // the jobs are services; otherwise they are arrays
	InitialJobs   int           // jobs submitted at the start
	JobsPerSecond float64       // jobs submitted per second after the start
	MeanTasks     int           // mean number of tasks of a job
	CPUs          float64       // of each task
	MemGB         float64       // of each task
	RunTime       time.Duration // mean run time of an array's tasks, or mean time until a service is cancelled
	ImageCount    int           // number of different images, one of which each job uses
}

// Deployment2000 returns a deployment of about 2000 machines and three controllers.
func Deployment2000() *Deployment {
	return &Deployment{
		Name: "2000-machines", HeartbeatIntervalS: 10, LeaseS: 45, CancelTimeoutS: 75, BootTime: 60 * time.Second,
		FetchTime:    8 * time.Second,
		MachineType:  MachineType{Name: "m", CPUs: 16, GPUs: 2, MemGB: 128},
		StateLimits:  config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 16, TxnOps: 20},
		TeamGPULimit: 4000,
		ServiceJobs: JobClass{
			Name:          "service",
			Service:       true,
			InitialJobs:   150,
			JobsPerSecond: 0.25,
			MeanTasks:     6,
			CPUs:          5,
			MemGB:         38,
			RunTime:       500 * time.Second,
			ImageCount:    6,
		},
		ArrayJobs: JobClass{
			Name:          "array",
			InitialJobs:   75,
			JobsPerSecond: 1,
			MeanTasks:     15,
			CPUs:          6,
			MemGB:         48,
			RunTime:       80 * time.Second,
			ImageCount:    18,
		},
	}
}

// Deployment4000 returns a deployment of about 4000 machines and three controllers, with the same
// state service limits as Deployment2000, and with longer tasks.
func Deployment4000() *Deployment {
	return &Deployment{
		Name: "4000-machines", HeartbeatIntervalS: 10, LeaseS: 45, CancelTimeoutS: 75, BootTime: 60 * time.Second,
		FetchTime:    8 * time.Second,
		MachineType:  MachineType{Name: "m", CPUs: 16, GPUs: 2, MemGB: 128},
		StateLimits:  config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 16, TxnOps: 20},
		TeamGPULimit: 8000,
		ServiceJobs: JobClass{
			Name:          "service",
			Service:       true,
			InitialJobs:   240,
			JobsPerSecond: 0.1,
			MeanTasks:     8,
			CPUs:          5,
			MemGB:         38,
			RunTime:       2000 * time.Second,
			ImageCount:    6,
		},
		ArrayJobs: JobClass{
			Name:          "array",
			InitialJobs:   66,
			JobsPerSecond: 0.15,
			MeanTasks:     60,
			CPUs:          6,
			MemGB:         48,
			RunTime:       400 * time.Second,
			ImageCount:    18,
		},
	}
}

// Deployment300 returns a deployment of about 300 machines, whose workers send heartbeats often.
func Deployment300() *Deployment {
	return &Deployment{
		Name: "300-machines", HeartbeatIntervalS: 1.5, LeaseS: 10, CancelTimeoutS: 40, BootTime: 40 * time.Second,
		FetchTime:   8 * time.Second,
		MachineType: MachineType{Name: "m", CPUs: 12, GPUs: 2, MemGB: 96},
		StateLimits: config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 4, TxnOps: 8},
		ServiceJobs: JobClass{
			Name:          "service",
			Service:       true,
			InitialJobs:   18,
			JobsPerSecond: 0.05,
			MeanTasks:     8,
			CPUs:          4,
			MemGB:         29,
			RunTime:       500 * time.Second,
			ImageCount:    4,
		},
		ArrayJobs: JobClass{
			Name:          "array",
			InitialJobs:   11,
			JobsPerSecond: 0.2,
			MeanTasks:     15,
			CPUs:          5,
			MemGB:         36,
			RunTime:       60 * time.Second,
			ImageCount:    8,
		},
	}
}

// NewEnvironment returns a new simulated environment for the deployment.
func (d *Deployment) NewEnvironment(start time.Time) *Environment {
	env := NewEnvironment(start)
	env.MachineType = d.MachineType
	env.MachineType.BootTime, env.MachineType.FetchTime = d.BootTime, d.FetchTime
	env.Zones = []string{"x", "y", "z"}
	env.WorkerLease, env.CancelTimeout = numeric.Duration(d.LeaseS), numeric.Duration(d.CancelTimeoutS)
	env.ListLag = listLag
	return env
}
