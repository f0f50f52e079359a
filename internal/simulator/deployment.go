package simulator

import (
	"time"

	"violetturn/internal/config"
)

// listLag is the age of the cloud's list of machines in a deployment.
const listLag = 5 * time.Second

// Deployment defines the size and the load of a simulated deployment.
type Deployment struct {
	Name                        string
	HeartbeatS, LeaseS, CancelS float64       // seconds
	Boot, Fetch                 time.Duration // time that a machine takes to boot, time to fetch an image
	MachineType                 MachineType
	State                       config.StateLimits
	TeamGPUs                    float64 // GPU limit of each team; 0: no limit
	Services, Arrays            Class
}

// Class defines a class of jobs that users submit.
type Class struct {
	Name      string
	Service   bool
	Initial   int     // jobs submitted at the start
	PerSecond float64 // jobs submitted each second after the start
	Tasks     int     // mean number of tasks of a job
	CPUs      float64
	MemGB     float64
	RunTime   time.Duration // run time of an array's task, or time until a service is cancelled
	Images    int           // number of different images
}

// Large returns a deployment of about 2000 machines and three controllers.
func Large() *Deployment {
	return &Deployment{
		Name: "2000-machines", HeartbeatS: 10, LeaseS: 45, CancelS: 75, Boot: 60 * time.Second, Fetch: 8 * time.Second,
		MachineType: MachineType{Name: "m", CPUs: 16, GPUs: 2, MemGB: 128},
		State:       config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 16, TxnOps: 20},
		TeamGPUs:    4000,
		Services: Class{
			Name:      "service",
			Service:   true,
			Initial:   150,
			PerSecond: 0.25,
			Tasks:     6,
			CPUs:      5,
			MemGB:     38,
			RunTime:   500 * time.Second,
			Images:    6,
		},
		Arrays: Class{
			Name:      "array",
			Initial:   75,
			PerSecond: 1,
			Tasks:     15,
			CPUs:      6,
			MemGB:     48,
			RunTime:   80 * time.Second,
			Images:    18,
		},
	}
}

// Huge returns a deployment of about 4000 machines and three controllers, with the same state
// service limits as the one of 2000 machines, and with long tasks.
func Huge() *Deployment {
	return &Deployment{
		Name: "4000-machines", HeartbeatS: 10, LeaseS: 45, CancelS: 75, Boot: 60 * time.Second, Fetch: 8 * time.Second,
		MachineType: MachineType{Name: "m", CPUs: 16, GPUs: 2, MemGB: 128},
		State:       config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 16, TxnOps: 20},
		TeamGPUs:    8000,
		Services: Class{
			Name:      "service",
			Service:   true,
			Initial:   240,
			PerSecond: 0.1,
			Tasks:     8,
			CPUs:      5,
			MemGB:     38,
			RunTime:   2000 * time.Second,
			Images:    6,
		},
		Arrays: Class{
			Name:      "array",
			Initial:   66,
			PerSecond: 0.15,
			Tasks:     60,
			CPUs:      6,
			MemGB:     48,
			RunTime:   400 * time.Second,
			Images:    18,
		},
	}
}

// Small returns a deployment of about 300 machines, whose workers send heartbeats often.
func Small() *Deployment {
	return &Deployment{
		Name: "300-machines", HeartbeatS: 1.5, LeaseS: 10, CancelS: 40, Boot: 40 * time.Second, Fetch: 8 * time.Second,
		MachineType: MachineType{Name: "m", CPUs: 12, GPUs: 2, MemGB: 96},
		State:       config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 4, TxnOps: 8},
		Services: Class{
			Name:      "service",
			Service:   true,
			Initial:   18,
			PerSecond: 0.05,
			Tasks:     8,
			CPUs:      4,
			MemGB:     29,
			RunTime:   500 * time.Second,
			Images:    4,
		},
		Arrays: Class{
			Name:      "array",
			Initial:   11,
			PerSecond: 0.2,
			Tasks:     15,
			CPUs:      5,
			MemGB:     36,
			RunTime:   60 * time.Second,
			Images:    8,
		},
	}
}

// World returns a new simulated environment for the deployment.
func (d *Deployment) World(start time.Time) *World {
	env := New(start)
	env.MachineType = d.MachineType
	env.MachineType.Boot, env.MachineType.Fetch = d.Boot, d.Fetch
	env.Zones = []string{"x", "y", "z"}
	env.Lease, env.CancelTimeout = seconds(d.LeaseS), seconds(d.CancelS)
	env.ListLag = listLag
	return env
}
