package controller

import (
	"math"

	"violetturn/internal/api"
)

// observeRuntime learns how long tasks of a class run against their owners' estimates,
// which are often mostly too high or mostly too low. Call with the lock held.
func (c *Controller) observeRuntime(class string, ratio float64) {
	const lanes = 64
	if _, ok := c.runtimeBias[class]; !ok && len(c.runtimeBias) >= lanes {
		clear(c.runtimeBias)
	}
	ratio = min(max(ratio, 0.1), 10)
	if old, ok := c.runtimeBias[class]; ok {
		ratio = math.Exp(0.9*math.Log(old) + 0.1*math.Log(ratio))
	}
	c.runtimeBias[class] = ratio
}

// estimatedRuntime estimates how long a task of the job runs, image apart. Call with the
// lock held.
func (c *Controller) estimatedRuntime(r *api.Job) float64 {
	if b, ok := c.runtimeBias[r.Class]; ok {
		return r.EstimateS * b
	}
	return r.EstimateS
}

// deadlineSeconds is when a job should be complete, in seconds from its submission.
func (c *Controller) deadlineSeconds(r *api.Job) float64 {
	w := float64(unlimitedSeconds)
	if r.DeadlineS != nil {
		w = *r.DeadlineS
	}
	for _, o := range c.cfg.Facts.Objectives {
		if o.Kind == "finished" && o.Class == r.Class && r.Kind != api.Service {
			w = min(w, o.WithinS)
		}
	}
	return w
}
