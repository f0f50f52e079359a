package estimate

import (
	"math"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/node"
)

// UnlimitedSeconds stands for the deadline or the slack of a job without a deadline.
const UnlimitedSeconds = 1e9

// maxClasses bounds the number of classes with a recorded bias, because users can name classes
// freely.
const maxClasses = 64

// Bounds of a single observed ratio of run time to estimate, and the weights of a new ratio and of the
// past bias in the new bias.
const (
	minRatio       = 0.1
	maxRatio       = 10
	newRatioWeight = 0.1
	pastBiasWeight = 1 - newRatioWeight
)

// Estimates estimates how long tasks run and how long jobs may wait and run. The lock of
// internal/state guards it.
type Estimates struct {
	node        *node.Info
	runtimeBias map[string]float64 // moving average of the ratio of run time to the users' estimate, by class
}

// New returns estimates without any observation.
func New(node *node.Info) *Estimates {
	return &Estimates{node: node, runtimeBias: map[string]float64{}}
}

// ObserveRuntime updates the bias of a class with the ratio of a task's run time to its user's
// estimate. The estimates of a class are often mostly too high or mostly too low.
func (e *Estimates) ObserveRuntime(class string, ratio float64) {
	past, known := e.runtimeBias[class]
	if !known && len(e.runtimeBias) >= maxClasses {
		clear(e.runtimeBias)
	}
	ratio = min(max(ratio, minRatio), maxRatio)
	if known {
		ratio = math.Exp(pastBiasWeight*math.Log(past) + newRatioWeight*math.Log(ratio))
	}
	e.runtimeBias[class] = ratio
}

// EstimatedRuntime returns the expected run time of a task of the job in seconds, without the time
// to fetch its image.
func (e *Estimates) EstimatedRuntime(spec *api.Job) float64 {
	if bias, known := e.runtimeBias[spec.Class]; known {
		return spec.EstimatedRunS * bias
	}
	return spec.EstimatedRunS
}

// DeadlineSeconds returns the time by which a job should be finished, in seconds from its
// submission: the earlier of its own deadline and its class's objective, or UnlimitedSeconds if it has
// neither.
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

// WaitingSlack returns how many seconds a job of the class can wait without missing its deadline or
// an objective, if fetching its image takes fetchSeconds; infinity if it has neither.
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
		slack = min(slack, 2*e.node.Settings.HeartbeatInterval().Seconds()) // tasks within a team's guarantee need not wait
	}
	return slack
}
