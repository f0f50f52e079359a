package frontend

import (
	"context"
	"encoding/json"
	"fmt"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
	"violetturn/internal/transport"
)

// Query tells a user the state of a job.
func (f *Frontend) Query(ctx context.Context, uid string) transport.Response {
	if !api.ValidUID(uid) {
		return errorResponse(errUnknownJob)
	}
	return stateResponse(f.jobState(ctx, uid))
}

// jobState returns what is committed of a job, errUnknownJob if it was never accepted. Any other
// error says nothing of the job. The cache is brought up to date first, so no other node can have
// told the user something newer before the question was asked.
func (f *Frontend) jobState(ctx context.Context, uid string) (api.JobState, error) {
	state := f.guard.Lock()
	final, ended := state.FinalStates.Get(uid)
	f.guard.Unlock()
	if ended { // whatever else happened since
		return finalStateOf(uid, final), nil
	}
	if err := f.sync.AwaitReadBarrier(ctx); err != nil {
		return api.JobState{}, fmt.Errorf("state of job %s: %w", uid, err)
	}
	state = f.guard.Lock()
	if j := state.Cache.Jobs[uid]; j != nil {
		s := j.UserState(f.node.Settings.ConfirmsCancelAfterTasksEnd())
		f.guard.Unlock()
		return s, nil
	}
	f.guard.Unlock()
	return f.readFinalState(ctx, uid)
}

// readFinalState reads from the state service how a job ended that is not remembered any more.
func (f *Frontend) readFinalState(ctx context.Context, uid string) (api.JobState, error) {
	item, found, err := f.services.Store.Get(ctx, statecache.FinalStateKey(uid), store.PrioritySubmission)
	if err != nil {
		return api.JobState{}, fmt.Errorf("final state of job %s: %w", uid, err)
	}
	if !found {
		return api.JobState{}, errUnknownJob
	}
	var final job.FinalState
	if err := json.Unmarshal(item.Value, &final); err != nil {
		return api.JobState{}, fmt.Errorf("final state of job %s: %w", uid, err)
	}
	state := f.guard.Lock()
	state.FinalStates.Add(uid, final)
	f.guard.Unlock()
	return finalStateOf(uid, final), nil
}

// finalStateOf returns what users are told of a job that has ended.
func finalStateOf(uid string, final job.FinalState) api.JobState {
	return api.JobState{UID: uid, Phase: final.Phase, Done: final.Done}
}
