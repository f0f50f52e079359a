package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/peer"
	"violetturn/internal/simulator"
)

// clusterUsers is a cluster with the users that submit, query and cancel jobs.
type clusterUsers struct {
	clusterNodes
	jobIDs []string // of submitted jobs, in order
}

// submit submits a job through a controller, or submits it again.
func (s *clusterUsers) submit(i int, uid string) {
	if !s.nodes[i].serves() || s.nodes[i].runsProductionVersion && s.environment.Jobs[uid].Spec.Kind == api.Gang {
		return // the version in production does not support gangs
	}
	r := s.nodes[i].controller.frontend.ServeOrForward(
		context.Background(),
		&peer.Request{Kind: peer.Request_KIND_SUBMIT, Body: simulator.Submission(&s.environment.Jobs[uid].Spec)},
	)
	s.checkResponse(uid, r.Status, r.Body, true)
}

// poll queries a controller for the state of a job.
func (s *clusterUsers) poll(i int, uid string) {
	if s.nodes[i].serves() {
		r := s.nodes[i].controller.frontend.ServeOrForward(context.Background(), &peer.Request{Kind: peer.Request_KIND_QUERY, Uid: uid})
		s.checkResponse(uid, r.Status, r.Body, false)
	}
}

// cancel cancels a job through a controller.
func (s *clusterUsers) cancel(i int, uid string) {
	if !s.nodes[i].serves() {
		return
	}
	s.environment.Jobs[uid].CancelRequested = true
	r := s.nodes[i].controller.frontend.ServeOrForward(context.Background(), &peer.Request{Kind: peer.Request_KIND_CANCEL, Uid: uid})
	s.checkResponse(uid, r.Status, r.Body, false)
}

// checkResponse has the environment check the response that a user got for a job.
func (s *clusterUsers) checkResponse(uid string, status int, body []byte, submission bool) {
	var state struct {
		Phase api.JobPhase `json:"phase"`
	}
	_ = json.Unmarshal(body, &state) // without a phase in the body the phase stays empty
	s.environment.CheckUserResponse(uid, status, state.Phase, submission)
}

// queryEverywhere queries all controllers for a job and submits it to each of them again, without
// advancing the time.
func (s *clusterUsers) queryEverywhere(uid string) {
	for i := range s.nodes {
		s.poll(i, uid)
		s.submit(i, uid)
	}
	for i := range s.nodes {
		s.poll(i, uid)
	}
}

// fataler is the part of testing.TB that a checker uses.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// invalidSubmissions are changes that make a valid submission invalid, with the status of the
// response that the service must return.
var invalidSubmissions = []struct {
	name   string
	status int
	change func(fields map[string]json.RawMessage)
}{
	{"no priority", 400, func(fields map[string]json.RawMessage) { delete(fields, "rank") }},
	{"no tasks", 400, func(fields map[string]json.RawMessage) { fields["pieces"] = json.RawMessage("0") }},
	{"more GPUs than a machine has", 422, func(fields map[string]json.RawMessage) { fields["gpus"] = json.RawMessage("99") }},
	{"unknown team", 422, func(fields map[string]json.RawMessage) { fields["owner"] = json.RawMessage(`"nobody"`) }},
}

// submitInvalid submits invalid jobs through a controller. The controller must refuse those that
// are new. The invalid resubmission of an existing job is answered with the job's state.
func (s *clusterUsers) submitInvalid(t fataler, i int) {
	t.Helper()
	n := s.nodes[i]
	if !n.serves() {
		return
	}
	for _, invalid := range invalidSubmissions {
		if got := s.submitChanged(n, "run-990000", invalid.change); got != invalid.status && got != 503 {
			t.Fatalf("status of an invalid submission (%s): got %d, want %d or 503", invalid.name, got, invalid.status)
		}
		if len(s.jobIDs) > 0 { // the job that a user submitted last
			s.submitChanged(n, s.jobIDs[len(s.jobIDs)-1], invalid.change)
		}
	}
}

// submitChanged submits a small job through a controller after change has modified the fields of
// its body, and returns the status of the response.
func (s *clusterUsers) submitChanged(n *testNode, uid string, change func(fields map[string]json.RawMessage)) int {
	body := simulator.Submission(&api.Job{
		UID:      uid,
		Class:    "l",
		Team:     "b",
		Kind:     api.Array,
		Priority: "idle",
		Tasks:    1,
		CPUs:     1,
		GPUs:     1,
		MemGB:    1,
		Image:    "i",
	})
	var fields map[string]json.RawMessage
	_ = json.Unmarshal(body, &fields) // the body was encoded above and is valid
	change(fields)
	request := &peer.Request{Kind: peer.Request_KIND_SUBMIT, Body: api.MustMarshal(fields)}
	r := n.controller.frontend.ServeOrForward(context.Background(), request)
	if s.environment.Jobs[uid] != nil {
		s.checkResponse(uid, r.Status, r.Body, true)
	}
	return r.Status
}

// submitJob submits a job of team b to the first controller and returns its UID. change, unless
// nil, can modify the job and the run time of its tasks.
func (s *clusterUsers) submitJob(change func(*api.Job, *time.Duration)) string {
	id := fmt.Sprintf("run-%06d", len(s.jobIDs))
	j := &api.Job{
		UID: id, Class: "l", Team: "b", Kind: api.Array, Priority: "standard", Tasks: 2, CPUs: 1, GPUs: 1,
		MemGB: 4, Image: "img", ImageGB: 1,
	}
	runTime := 5 * time.Second
	if change != nil {
		change(j, &runTime)
	}
	s.environment.Jobs[id] = &simulator.Job{Spec: *j, RunTime: runTime, DoneTasks: map[int]bool{}}
	s.jobIDs = append(s.jobIDs, id)
	s.submit(0, id)
	return id
}

// submitService submits a service and returns its UID.
func (s *clusterUsers) submitService(tasks int, change func(*api.Job)) string {
	return s.submitJob(func(j *api.Job, _ *time.Duration) {
		j.Kind, j.Tasks = api.Service, tasks
		if change != nil {
			change(j)
		}
	})
}

// submitArray submits an array with the given run time of its tasks and returns its UID.
func (s *clusterUsers) submitArray(tasks int, runTime time.Duration, change func(*api.Job)) string {
	return s.submitJob(func(j *api.Job, jobRunTime *time.Duration) {
		j.Tasks, *jobRunTime = tasks, runTime
		if change != nil {
			change(j)
		}
	})
}

// submitGang submits a gang of four tasks, and fails the test if it is not accepted.
func (s *clusterUsers) submitGang(t *testing.T, change func(*api.Job, *time.Duration)) string {
	t.Helper()
	id := s.submitJob(func(j *api.Job, runTime *time.Duration) {
		j.Kind, j.Tasks, j.GPUs, j.CPUs, j.MemGB = api.Gang, 4, 1, 1, 4
		*runTime = 30 * time.Second
		if change != nil {
			change(j, runTime)
		}
	})
	if !s.environment.Jobs[id].Accepted {
		t.Fatal("gang was not accepted, want it accepted")
	}
	return id
}
