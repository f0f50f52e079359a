package controller

import (
	"context"
	"strings"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// What users get wrong is told them, and a known job is answered with its state
// before its repetition is judged.
func TestSubmissions(t *testing.T) {
	s := newTestCluster()
	c := s.nodes[0].controller
	ctx := context.Background()
	body := func(change func(m *api.Job)) []byte {
		r := &api.Job{
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
		change(r)
		return simulator.Submission(r)
	}
	if r := c.frontend.Submit(ctx, body(func(*api.Job) {})); r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("before the machine types are known: %d", r.Status)
	}
	s.runFor(10)
	for _, x := range []struct {
		what   string
		status int
		change func(*api.Job)
	}{
		{"unknown team", 422, func(r *api.Job) { r.Team = "z" }},
		{"too large", 422, func(r *api.Job) { r.GPUs = 3 }},
		{"service over the limit", 422, func(r *api.Job) { r.Team, r.Kind, r.Tasks = "a", api.Service, 6 }},
		{"unknown zone", 422, func(r *api.Job) { r.Zone = "z" }},
		{"spread in one zone", 422, func(r *api.Job) { r.Zone, r.Spread, r.Tasks = "x", true, 2 }},
		{"unknown kind", 400, func(r *api.Job) { r.Kind = "gang" }},
		{"gang over the limit", 422, func(r *api.Job) { r.Team, r.Kind, r.Tasks = "a", api.Gang, 6 }},
		{"longer than a record", 400, func(r *api.Job) { r.Image = strings.Repeat("x", 4000) }},
		{"array over the limit", 201, func(r *api.Job) { r.Team, r.Tasks = "a", 50 }},
		{"again, now malformed", 200, func(r *api.Job) { r.Kind = "gang" }},
		{"again, now impossible", 200, func(r *api.Job) { r.Team = "z" }},
	} {
		if r := c.frontend.Submit(ctx, body(x.change)); r.Status != x.status {
			t.Errorf("%s: %d %s", x.what, r.Status, r.Body)
		}
	}
	if r := s.nodes[1].controller.frontend.Query(ctx, "run-000999"); r.Status != 404 {
		t.Errorf("unknown job: %d", r.Status)
	}
	s.environment.Store.Down = true
	if r := s.nodes[1].controller.frontend.Query(ctx, "run-000999"); r.Status != 503 {
		t.Errorf("unknown job in an outage: %d, which only the store can tell", r.Status)
	}
}

// A job that is over, asked about by a repetition that is longer than a record may be, is
// answered with its state by a controller that remembers nothing of it.
func TestOversizedResubmissionOfKnownJob(t *testing.T) {
	s := newReadyCluster()
	id := s.submitArray(1, time.Second, nil)
	s.runUntil(t, 80, "done", s.isDone(id))
	s.startNode(1)
	s.runRounds(t, 6)
	r := s.environment.Jobs[id].Spec
	r.Image = strings.Repeat("x", 4000)
	if got := s.nodes[1].controller.frontend.Submit(t.Context(), simulator.Submission(&r)); got.Status != 200 {
		t.Errorf("answered %d", got.Status)
	}
	r.UID = "run-999999"
	if got := s.nodes[1].controller.frontend.Submit(t.Context(), simulator.Submission(&r)); got.Status != 400 {
		t.Errorf("one that nobody knows is answered %d", got.Status)
	}
}
