package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// job is a job with what its user knows and what its tasks have done.
type job struct {
	jobSpec
	runTime time.Duration

	mu        sync.Mutex
	done      map[int]bool
	cancelled time.Time // when its user was told that it is cancelled; zero: never
}

// isDone reports whether a task has completed.
func (j *job) isDone(index int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done[index]
}

// setDone records that a task has completed.
func (j *job) setDone(index int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done[index] = true
}

// doneCount returns how many tasks have completed.
func (j *job) doneCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.done)
}

// cancelledAt returns when the user was told that the job is cancelled.
func (j *job) cancelledAt() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cancelled
}

// userClient is the connection of the users.
var userClient = &http.Client{Timeout: 5 * time.Second}

// ask sends a user's request to a node. Status 0 means that there was no response.
func (w *world) ask(n int, method, path string, body any) (status int, state jobState) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return 0, state
		}
	}
	req, err := http.NewRequest(method, "http://"+w.nodes[n].serveOn+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, state
	}
	resp, err := userClient.Do(req)
	if err != nil {
		w.record.note("user", "%s %s at %s: no response", method, path, w.nodes[n].name)
		return 0, state
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, state
	}
	_ = json.Unmarshal(text, &state)
	w.record.note("user", "%s %s at %s: %d %s", method, path, w.nodes[n].name, resp.StatusCode, text)
	return resp.StatusCode, state
}

// submit submits a job, and retries as a user does, until it is accepted.
func (w *world) submit(spec jobSpec, runTime time.Duration) (*job, error) {
	j := &job{jobSpec: spec, runTime: runTime, done: map[int]bool{}}
	w.mu.Lock()
	w.jobs[spec.UID] = j
	w.mu.Unlock()
	err := await(spec.UID+" is accepted", time.Minute, func() bool {
		status, _ := w.ask(w.nextNode(), "POST", "/v2/runs", spec)
		if status == http.StatusOK || status == http.StatusCreated {
			return true
		}
		time.Sleep(time.Second)
		return false
	})
	return j, err
}

// phase asks one node after the other about a job, until one answers with a state.
func (w *world) phase(uid string) string {
	for range nodeCount {
		if status, state := w.ask(w.nextNode(), "GET", "/v2/runs/"+uid, nil); status == http.StatusOK {
			return state.Phase
		}
	}
	return ""
}
