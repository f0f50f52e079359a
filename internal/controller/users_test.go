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
	s := newSim()
	c := s.nodes[0].c
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
	for range 10 {
		s.round()
	}
	for _, x := range []struct {
		what   string
		status int
		change func(*api.Job)
	}{
		{"unknown team", 422, func(r *api.Job) { r.Team = "z" }},
		{"too large", 422, func(r *api.Job) { r.GPUs = 3 }},
		{"service over the limit", 422, func(r *api.Job) { r.Team, r.Kind, r.Tasks = "a", api.Service, 6 }},
		{"unknown zone", 422, func(r *api.Job) { r.Zone = "z" }},
		{"scattered in one zone", 422, func(r *api.Job) { r.Zone, r.Spread, r.Tasks = "x", true, 2 }},
		{"bad shape", 400, func(r *api.Job) { r.Kind = "gang" }},
		{"ensemble over the limit", 422, func(r *api.Job) { r.Team, r.Kind, r.Tasks = "a", api.Gang, 6 }},
		{"longer than a record", 400, func(r *api.Job) { r.Image = strings.Repeat("x", 4000) }},
		{"array over the limit", 201, func(r *api.Job) { r.Team, r.Tasks = "a", 50 }},
		{"again, now malformed", 200, func(r *api.Job) { r.Kind = "gang" }},
		{"again, now impossible", 200, func(r *api.Job) { r.Team = "z" }},
	} {
		if r := c.frontend.Submit(ctx, body(x.change)); r.Status != x.status {
			t.Errorf("%s: %d %s", x.what, r.Status, r.Body)
		}
	}
	if r := s.nodes[1].c.frontend.Query(ctx, "run-000999"); r.Status != 404 {
		t.Errorf("unknown job: %d", r.Status)
	}
	s.w.Store.Down = true
	if r := s.nodes[1].c.frontend.Query(ctx, "run-000999"); r.Status != 503 {
		t.Errorf("unknown job in an outage: %d, which only the store can tell", r.Status)
	}
}

// An outage of the state service takes no node out of the balancer's observation, not
// even one that starts in it; a node that is still loading is not ready.
func TestHealthInOutage(t *testing.T) {
	s := newSim()
	c := s.nodes[0].c
	if r := c.frontend.Health(); r.Status != 503 {
		t.Errorf("before it has loaded: %d", r.Status)
	}
	c.sync.NoteStoreAnswer(false)
	if r := c.frontend.Health(); r.Status != 200 {
		t.Errorf("started in an outage: %d", r.Status)
	}
	if r := c.frontend.Submit(
		context.Background(),
		simulator.Submission(&api.Job{UID: "run-000001", Class: "l", Team: "b", Kind: api.Array, Priority: "idle", Tasks: 1, Image: "i"}),
	); r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("a submission in an outage: %d, to come back after %d s", r.Status, r.RetryAfter)
	}
	s.step(0)
	c.sync.NoteStoreAnswer(true)
	if r := c.frontend.Health(); r.Status != 200 {
		t.Errorf("loaded: %d", r.Status)
	}
}

// A node that reaches neither the state service nor any peer can say nothing to
// its users and is not healthy; their jobs would seem forgotten. One that shares
// an outage with its peers stays.
func TestIsolatedNodeLetsUsersGo(t *testing.T) {
	s := warmSim()
	c := s.nodes[0].c
	c.sync.NoteStoreAnswer(false)
	s.w.Advance(c.node.Settings.ControllerLeaseTTL())
	c.testState().Reachability.PeersAsked = true
	c.testState().Reachability.Peers["n1"] = false
	if r := c.frontend.Health(); r.Status != 200 {
		t.Errorf("in an outage that a peer sees too: %d", r.Status)
	}
	delete(c.testState().Reachability.Peers, "n1")
	if r := c.frontend.Health(); r.Status != 503 {
		t.Errorf("alone: %d", r.Status)
	}
}

// Changes are what the state service has least of. An array of short tasks that
// end one after the other takes a few, not one for each of its tasks.
func TestArrayTakesFewChanges(t *testing.T) {
	s := warmSim()
	warm := s.job(func(r *api.Job, _ *time.Duration) { r.Kind, r.Tasks = api.Service, 1 })
	s.rounds(t, 60, "a machine is up", func() bool { return s.running(warm) == 1 })
	before := s.w.Store.Writes
	jobs := []string{}
	for range 4 {
		id := s.job(func(r *api.Job, _ *time.Duration) { r.Tasks, r.CPUs, r.GPUs, r.MemGB = 12, 0.1, 0, 0.1 })
		s.w.Jobs[id].Step = time.Second
		jobs = append(jobs, id)
	}
	for _, id := range jobs {
		s.rounds(t, 400, "done", s.done(id))
	}
	if n := s.w.Store.Writes - before; n > 10*len(jobs) {
		t.Fatalf("%d changes for %d jobs of 12 tasks", n, len(jobs))
	} else {
		t.Logf("%d changes for %d jobs", n, len(jobs))
	}
}
