package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
)

// Deployment is the size and the load of a simulated deployment.
type Deployment struct {
	Name                        string
	HeartbeatS, LeaseS, CancelS float64
	Boot, Fetch                 time.Duration
	MachineType                 MachineType
	State                       config.StateLimits
	TeamGPUs                    float64 // of each team at most; 0: no limit
	Services, Arrays            Class
}

// Class is a class of jobs that users submit.
type Class struct {
	Name      string
	Service   bool
	Initial   int     // jobs that are there from the start
	PerSecond float64 // and that come then
	Tasks     int     // on the mean
	CPUs      float64
	MemGB     float64
	RunTime   time.Duration // of a task, or until a service is cancelled
	Images    int
}

// Large is of the size of a grown deployment of some two thousand machines and three
// controllers.
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
		Arrays: Class{Name: "array", Initial: 75, PerSecond: 1, Tasks: 15, CPUs: 6, MemGB: 48, RunTime: 80 * time.Second, Images: 18},
	}
}

// Huge is of some four thousand machines and three controllers, on a state service of the
// grown deployments' rates, with long tasks.
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

// Small is of the size of a grown deployment of some three hundred machines, whose
// workers report often.
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
		Arrays: Class{Name: "array", Initial: 11, PerSecond: 0.2, Tasks: 15, CPUs: 5, MemGB: 36, RunTime: 60 * time.Second, Images: 8},
	}
}

// World makes the world of the deployment.
func (d *Deployment) World(start time.Time) *World {
	w := New(start)
	w.MachineType = d.MachineType
	w.MachineType.Boot, w.MachineType.Fetch = d.Boot, d.Fetch
	w.Zones = []string{"x", "y", "z"}
	w.Lease, w.CancelS = time.Duration(d.LeaseS*float64(time.Second)), time.Duration(d.CancelS*float64(time.Second))
	w.ListLag = 5 * time.Second
	return w
}

// NewJob makes job n of a class, and tells how long it runs.
func (c *Class) NewJob(n int, rnd *rand.Rand) (api.Job, time.Duration) {
	run := api.Job{UID: fmt.Sprintf("run-%06d", n), Class: c.Name, Team: []string{"a", "b"}[n%2], Kind: api.Array, Priority: "standard",
		Tasks: 1 + rnd.IntN(
			2*c.Tasks,
		), CPUs: c.CPUs, GPUs: 1, MemGB: c.MemGB, Image: fmt.Sprintf("%s-%d", c.Name, rnd.IntN(c.Images)), ImageGB: 4,
		Spot: true, EstimateS: c.RunTime.Seconds(), CheckpointS: 30, SaveS: 2}
	if c.Service {
		run.Kind, run.Priority, run.Spot, run.Spread = api.Service, "production", false, true
		run.EstimateS, run.CheckpointS, run.SaveS = 0, 0, 0
	}
	return run, time.Duration(float64(c.RunTime) * (0.5 + rnd.Float64()))
}

// Submission is the body with which a user submits a job.
func Submission(r *api.Job) []byte {
	m := map[string]any{"uid": r.UID, "lane": r.Class, "owner": r.Team, "shape": r.Kind, "rank": r.Priority, "pieces": r.Tasks,
		"cpus": r.CPUs, "gpus": r.GPUs, "memGb": r.MemGB, "bundle": r.Image, "sizeGb": r.ImageGB, "together": r.Together,
		"scatter": r.Spread, "loaners": r.Spot, "guessS": r.EstimateS, "bookmarkS": r.CheckpointS, "stowS": r.SaveS}
	if r.Zone != "" {
		m["site"] = r.Zone
	}
	return api.JSON(m)
}
