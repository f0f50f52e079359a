package estimate

import (
	"math"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/node"
)

// UnlimitedSeconds stands for a time without end: a deadline or a slack where there is none.
const UnlimitedSeconds = 1e9

// maxClasses bounds the classes that are remembered: users may name classes at will.
const maxClasses = 64

// Bounds of a single observation, and the weight that a new one has against those before.
const (
	minBias        = 0.1
	maxBias        = 10
	newBiasWeight  = 0.1
	pastBiasWeight = 1 - newBiasWeight
)

// Estimates is how long tasks run and how long jobs may wait and take. The lock of
// internal/state guards it.
type Estimates struct {
	node        *node.Info
	runtimeBias map[string]float64 // by class, run times divided by their users' estimates
}

// New returns estimates that have observed no task.
func New(node *node.Info) *Estimates {
	return &Estimates{node: node, runtimeBias: map[string]float64{}}
}

// ObserveRuntime learns from a task's run time divided by its user's estimate. The estimates of a
// class are often mostly too high or mostly too low.
func (e *Estimates) ObserveRuntime(class string, ratio float64) {
	past, known := e.runtimeBias[class]
	if !known && len(e.runtimeBias) >= maxClasses {
		clear(e.runtimeBias)
	}
	ratio = min(max(ratio, minBias), maxBias)
	if known {
		ratio = math.Exp(pastBiasWeight*math.Log(past) + newBiasWeight*math.Log(ratio))
	}
	e.runtimeBias[class] = ratio
}

// EstimatedRuntime returns how many seconds a task of the job is expected to run, once it has its
// image.
func (e *Estimates) EstimatedRuntime(spec *api.Job) float64 {
	if bias, known := e.runtimeBias[spec.Class]; known {
		return spec.EstimatedRunS * bias
	}
	return spec.EstimatedRunS
}

// DeadlineSeconds returns when a job should be complete, in seconds from its submission;
// UnlimitedSeconds if nothing asks for it.
func (e *Estimates) DeadlineSeconds(spec *api.Job) float64 {
	deadline := float64(UnlimitedSeconds)
	if spec.DeadlineS != nil {
		deadline = *spec.DeadlineS
	}
	for _, objective := range e.node.Settings.Facts.Objectives {
		if objective.Kind == config.ObjectiveFinished && objective.Class == spec.Class && spec.Kind != api.Service {
			deadline = min(deadline, objective.WithinS)
		}
	}
	return deadline
}

// WaitingSlack returns how many seconds a job of the class can wait before it misses its
// deadline or an objective, when fetching its image takes so many seconds; infinity if it has
// none.
func (e *Estimates) WaitingSlack(class string, spec *api.Job, fetchSeconds float64) float64 {
	slack := math.Inf(1)
	if spec.DeadlineS != nil {
		slack = *spec.DeadlineS - spec.EstimatedRunS - fetchSeconds
	}
	for _, objective := range e.node.Settings.Facts.Objectives {
		if objective.Class != class {
			continue
		}
		switch objective.Kind {
		case config.ObjectiveWait:
			slack = min(slack, objective.WithinS-fetchSeconds)
		case config.ObjectiveFinished:
			slack = min(slack, objective.WithinS-fetchSeconds-spec.EstimatedRunS)
		}
	}
	if team, ok := e.node.Settings.Team(spec.Team); ok && (team.GuaranteedCPUs > 0 || team.GuaranteedGPUs > 0) {
		slack = min(slack, 2*e.node.Settings.HeartbeatInterval().Seconds()) // work within a guarantee need not wait
	}
	return slack
}
