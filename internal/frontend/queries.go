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

// Query returns the response to a user who queries the state of a job.
func (f *Frontend) Query(ctx context.Context, uid string) transport.Response {
	if !api.ValidUID(uid) {
		return errorResponse(errUnknownJob)
	}
	return stateResponse(f.jobState(ctx, uid))
}

// jobState returns the committed state of a job, or errUnknownJob if the job was never accepted.
// Any other error implies nothing about the job. It refreshes the cache before it reads an
// unfinished job, so that the state is not older than one that a peer reported before
// the call.
func (f *Frontend) jobState(ctx context.Context, uid string) (api.JobState, error) {
	state := f.guard.Lock()
	final, finished := state.FinalStates.Get(uid)
	f.guard.Unlock()
	if finished { // a final state never changes, so no read barrier is needed
		return jobStateOf(uid, final), nil
	}
	if err := f.sync.AwaitReadBarrier(ctx); err != nil {
		return api.JobState{}, fmt.Errorf("state of job %s: %w", uid, err)
	}
	state = f.guard.Lock()
	if cachedJob := state.Cache.Jobs[uid]; cachedJob != nil {
		current := cachedJob.UserState(f.node.Settings.ConfirmsCancelAfterTasksEnd())
		f.guard.Unlock()
		return current, nil
	}
	f.guard.Unlock()
	return f.readFinalState(ctx, uid)
}

// readFinalState reads the final state of a job from the state service, for a job whose final state
// is not cached, and caches it.
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
	return jobStateOf(uid, final), nil
}

// jobStateOf returns the state that is reported to users for a job with this final state.
func jobStateOf(uid string, final job.FinalState) api.JobState {
	return api.JobState{UID: uid, Phase: final.Phase, Done: final.Done}
}
