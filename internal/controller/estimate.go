package controller

import (
	"math"

	"violetturn/internal/api"
)

// observeRuntime learns how long tasks of a class run against their owners' estimates,
// which are often mostly too high or mostly too low.
func (e *runEstimates) observeRuntime(class string, ratio float64) {
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

// estimatedRuntime estimates how long a task of the job runs, image apart.
func (e *runEstimates) estimatedRuntime(r *api.Job) float64 {
	if b, ok := e.runtimeBias[r.Class]; ok {
		return r.EstimateS * b
	}
	return r.EstimateS
}

// deadlineSeconds is when a job should be complete, in seconds from its submission.
func (e *runEstimates) deadlineSeconds(r *api.Job) float64 {
	w := float64(unlimitedSeconds)
	if r.DeadlineS != nil {
		w = *r.DeadlineS
	}
	for _, o := range e.node.settings.Facts.Objectives {
		if o.Kind == "finished" && o.Class == r.Class && r.Kind != api.Service {
			w = min(w, o.WithinS)
		}
	}
	return w
}
