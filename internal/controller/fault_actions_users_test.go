package controller

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// userActions contains the actions of users.
type userActions struct{ drawnCluster }

// maxDrawnJobs is the maximum number of jobs that a generated test submits.
const maxDrawnJobs = 16

// submitDrawn submits a job of a kind through a drawn controller. If kind is empty, it is drawn
// too.
func (s userActions) submitDrawn(t *rapid.T, kind api.JobKind) {
	if len(s.jobIDs) >= maxDrawnJobs {
		t.Skip("enough jobs")
	}
	id := fmt.Sprintf("run-%06d", len(s.jobIDs))
	spec, runTime := drawJob(t, id, kind)
	s.environment.Jobs[id] = &simulator.Job{Spec: *spec, RunTime: runTime, DoneTasks: map[int]bool{}}
	s.jobIDs = append(s.jobIDs, id)
	s.submit(s.drawNode(t), id)
}

// submitDrawnJob submits a job of a drawn kind.
func (s userActions) submitDrawnJob(t *rapid.T) { s.submitDrawn(t, "") }

// submitDrawnGang submits a gang.
func (s userActions) submitDrawnGang(t *rapid.T) { s.submitDrawn(t, api.Gang) }

// repeatSubmission submits an existing job again.
func (s userActions) repeatSubmission(t *rapid.T) { s.submit(s.drawNode(t), s.drawJobID(t)) }

// pollJob queries a controller for a job.
func (s userActions) pollJob(t *rapid.T) { s.poll(s.drawNode(t), s.drawJobID(t)) }

// cancelJob cancels a job.
func (s userActions) cancelJob(t *rapid.T) { s.cancel(s.drawNode(t), s.drawJobID(t)) }

// queryDrawnJobEverywhere queries all controllers for a job at the same time.
func (s userActions) queryDrawnJobEverywhere(t *rapid.T) { s.queryEverywhere(s.drawJobID(t)) }

// submitInvalidJobs submits jobs that a controller must refuse.
func (s userActions) submitInvalidJobs(t *rapid.T) { s.submitInvalid(t, s.drawNode(t)) }

// cancelAtTaskEnd cancels a job at the moment when one of its tasks ends, and queries all
// controllers for it.
func (s userActions) cancelAtTaskEnd(t *rapid.T) {
	id := s.drawJobID(t)
	s.environment.OnTaskDone = func(ended string) {
		if ended == id {
			s.environment.OnTaskDone = nil
			s.cancel(s.drawNode(t), id)
			s.queryEverywhere(id)
		}
	}
	s.runFewRounds(t)
	s.environment.OnTaskDone = nil
}

// drawJob draws a job of a kind and the run time of its tasks. If kind is empty, it is drawn too.
func drawJob(t *rapid.T, uid string, kind api.JobKind) (*api.Job, time.Duration) {
	if kind == "" {
		kind = rapid.SampledFrom([]api.JobKind{api.Array, api.Service, api.Gang}).Draw(t, "kind")
	}
	j := &api.Job{UID: uid, Class: "l", Kind: kind, CPUs: 1, GPUs: 1, MemGB: 4, Image: "img", ImageGB: 1}
	j.Team = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
	j.Priority = rapid.SampledFrom([]api.Priority{api.Production, api.Standard, api.Idle}).Draw(t, "priority")
	j.Tasks = rapid.IntRange(1, 5).Draw(t, "tasks")
	if j.Kind == api.Array && rapid.IntRange(0, 5).Draw(t, "large") == 0 {
		j.Tasks = drawManyTasks(t)
	}
	switch rapid.IntRange(0, 5).Draw(t, "where") {
	case 0:
		j.SingleZone = true
	case 1:
		j.Spread = true
	case 2:
		j.Zone = "x"
	}
	j.AllowSpot = rapid.Bool().Draw(t, "spot")
	if rapid.Bool().Draw(t, "saves") {
		j.CheckpointIntervalS, j.SaveDurationS = 5, 1
	}
	switch j.Kind {
	case api.Gang:
		drawGang(t, j)
	case api.Service:
		j.Tasks = min(j.Tasks, 4)
	case api.Array: // no more to draw
	}
	return j, time.Duration(rapid.IntRange(1, 20).Draw(t, "run time")) * time.Second
}

// drawManyTasks draws a number of tasks that needs several task ranges.
func drawManyTasks(t *rapid.T) int { return rapid.IntRange(20, 60).Draw(t, "tasks") }

// drawGang draws the properties of a gang that differ from those of other jobs.
func drawGang(t *rapid.T, j *api.Job) {
	j.GPUs = float64(rapid.IntRange(0, 1).Draw(t, "gpus"))
	if rapid.IntRange(0, 7).Draw(t, "large") == 0 {
		j.GPUs, j.CPUs, j.Tasks = 0, 0.5, drawManyTasks(t)
	}
	if j.CheckpointIntervalS > 0 {
		j.CheckpointIntervalS = 2
	}
}
