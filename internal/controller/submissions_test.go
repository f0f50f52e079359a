package controller

import (
	"context"
	"strings"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// Users get an error status for an invalid submission. The repeated submission of an existing job is
// answered with the job's state, even if the repetition is invalid.
func TestSubmissionStatuses(t *testing.T) {
	s := newTestCluster()
	c := s.nodes[0].controller
	ctx := context.Background()
	body := func(change func(j *api.Job)) []byte {
		spec := &api.Job{
			UID:      "run-000100",
			Class:    "l",
			Team:     "b",
			Kind:     api.Array,
			Priority: "idle",
			Tasks:    1,
			CPUs:     1,
			GPUs:     1,
			MemGB:    1,
			Image:    "i",
		}
		change(spec)
		return simulator.Submission(spec)
	}
	if r := c.frontend.Submit(ctx, body(func(*api.Job) {})); r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("before the machine types are loaded: got status %d, retry after %d s, want 503 with a retry time", r.Status, r.RetryAfter)
	}
	s.runFor(10)
	for _, test := range []struct {
		name   string
		status int
		change func(*api.Job)
	}{
		{"unknown team", 422, func(j *api.Job) { j.Team = "z" }},
		{"too large", 422, func(j *api.Job) { j.GPUs = 3 }},
		{"service over the limit", 422, func(j *api.Job) { j.Team, j.Kind, j.Tasks = "a", api.Service, 6 }},
		{"unknown zone", 422, func(j *api.Job) { j.Zone = "z" }},
		{"spread in one zone", 422, func(j *api.Job) { j.Zone, j.Spread, j.Tasks = "x", true, 2 }},
		{"unknown kind", 400, func(j *api.Job) { j.Kind = "gang" }},
		{"gang over the limit", 422, func(j *api.Job) { j.Team, j.Kind, j.Tasks = "a", api.Gang, 6 }},
		{"exceeds the size limit of a record", 400, func(j *api.Job) { j.Image = strings.Repeat("x", 4000) }},
		{"array over the limit", 201, func(j *api.Job) { j.Team, j.Tasks = "a", 50 }},
		{"repeated, now malformed", 200, func(j *api.Job) { j.Kind = "gang" }},
		{"repeated, now with an unknown team", 200, func(j *api.Job) { j.Team = "z" }},
	} {
		if r := c.frontend.Submit(ctx, body(test.change)); r.Status != test.status {
			t.Errorf("submission (%s): got status %d, body %s, want status %d", test.name, r.Status, r.Body, test.status)
		}
	}
	if r := s.nodes[1].controller.frontend.Query(ctx, "run-000999"); r.Status != 404 {
		t.Errorf("query of an unknown job: got status %d, want 404", r.Status)
	}
	s.environment.Store.Down = true
	if r := s.nodes[1].controller.frontend.Query(ctx, "run-000999"); r.Status != 503 {
		t.Errorf("query of an unknown job in an outage of the state service: got status %d, want 503", r.Status)
	}
}

// A controller that has restarted must answer the repeated submission of a finished job with the
// job's state, even if the repetition exceeds the size limit of a record.
func TestOversizedResubmissionReturnsJobState(t *testing.T) {
	s := newReadyCluster()
	id := s.submitArray(1, time.Second, nil)
	s.runUntil(t, 80, "array done", s.isDone(id))
	s.startNode(1)
	s.runRounds(t, 6)
	spec := s.environment.Jobs[id].Spec
	spec.Image = strings.Repeat("x", 4000)
	if got := s.nodes[1].controller.frontend.Submit(t.Context(), simulator.Submission(&spec)); got.Status != 200 {
		t.Errorf("repeated submission of a finished job: got status %d, want 200", got.Status)
	}
	spec.UID = "run-999999"
	if got := s.nodes[1].controller.frontend.Submit(t.Context(), simulator.Submission(&spec)); got.Status != 400 {
		t.Errorf("oversized submission of a new job: got status %d, want 400", got.Status)
	}
}
