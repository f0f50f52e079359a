package estimate

import (
	"math"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/node"
)

// ObserveRuntime learns how long tasks of a class run against their owners' estimates,
// which are often mostly too high or mostly too low.
func (e *Estimates) ObserveRuntime(class string, ratio float64) {
	const lanes = 64
	if _, ok := e.runtimeBias[class]; !ok && len(e.runtimeBias) >= lanes {
		clear(e.runtimeBias)
	}
	ratio = min(max(ratio, 0.1), 10)
	if old, ok := e.runtimeBias[class]; ok {
		ratio = math.Exp(0.9*math.Log(old) + 0.1*math.Log(ratio))
	}
	e.runtimeBias[class] = ratio
}

// EstimatedRuntime estimates how long a task of the job runs, image apart.
func (e *Estimates) EstimatedRuntime(r *api.Job) float64 {
	if b, ok := e.runtimeBias[r.Class]; ok {
		return r.EstimateS * b
	}
	return r.EstimateS
}

// DeadlineSeconds is when a job should be complete, in seconds from its submission.
func (e *Estimates) DeadlineSeconds(r *api.Job) float64 {
	w := float64(UnlimitedSeconds)
	if r.DeadlineS != nil {
		w = *r.DeadlineS
	}
	for _, o := range e.node.Settings.Facts.Objectives {
		if o.Kind == config.ObjectiveFinished && o.Class == r.Class && r.Kind != api.Service {
			w = min(w, o.WithinS)
		}
	}
	return w
}

// UnlimitedSeconds stands for a slack without end in expressions.
const UnlimitedSeconds = 1e9

// WaitingSlack is how long a job of the class can wait before it misses its aim, when
// fetching its image takes so many seconds.
func (e *Estimates) WaitingSlack(class string, r *api.Job, fetch float64) float64 {
	s := math.Inf(1)
	if r.DeadlineS != nil {
		s = *r.DeadlineS - r.EstimateS - fetch
	}
	for _, o := range e.node.Settings.Facts.Objectives {
		if o.Class != class {
			continue
		}
		switch o.Kind {
		case config.ObjectiveWait:
			s = min(s, o.WithinS-fetch)
		case config.ObjectiveFinished:
			s = min(s, o.WithinS-fetch-r.EstimateS)
		}
	}
	if team, ok := e.node.Settings.Team(r.Team); ok && (team.CPUs > 0 || team.GPUs > 0) {
		s = min(s, 2*e.node.Settings.HeartbeatInterval().Seconds()) // work within a guarantee need not wait
	}
	return s
}

func New(node *node.Info) *Estimates {
	return &Estimates{node: node, runtimeBias: map[string]float64{}}
}

// Estimates is how long tasks run and how long jobs may take.
type Estimates struct {
	node *node.Info

	runtimeBias map[string]float64 // by class, run times against estimates
}
