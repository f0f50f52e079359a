package frontend

import (
	"context"
	"errors"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/respond"
	"violetturn/internal/transport"
)

// Submit accepts a job, or tells its user why not. A known job is answered with its state,
// whatever the repetition looks like.
func (f *Frontend) Submit(ctx context.Context, body []byte) transport.Response {
	spec, err := api.ParseJob(body)
	if err != nil {
		if uid, ok := api.ExtractUID(body); ok {
			return f.stateOrRefusal(ctx, uid, err)
		}
		return errorResponse(err)
	}
	live, err := f.checkSpec(spec)
	if err != nil {
		return f.stateOrRefusal(ctx, spec.UID, err)
	}
	if live {
		known, stateErr := f.jobState(ctx, spec.UID)
		if !errors.Is(stateErr, errUnknownJob) {
			return stateResponse(known, stateErr)
		}
	}
	if !f.sync.StoreReachable() || !f.acceptsKind(spec.Kind) {
		return respond.Busy
	}
	record, err := f.newRecord(spec)
	if err != nil {
		return f.stateOrRefusal(ctx, spec.UID, err)
	}
	return f.commitSubmission(&Submission{Ctx: ctx, Record: record, Response: make(chan transport.Response, 1)})
}

// stateOrRefusal answers with the state of a job if it is known, or else with the refusal.
func (f *Frontend) stateOrRefusal(ctx context.Context, uid string, refusal error) transport.Response {
	s, err := f.jobState(ctx, uid)
	if errors.Is(err, errUnknownJob) {
		return errorResponse(refusal)
	}
	return stateResponse(s, err)
}

// checkSpec returns an error if a job can never run, errBusy if that isn't known yet. It reports
// whether the job is live.
func (f *Frontend) checkSpec(spec *api.Job) (live bool, err error) {
	state := f.guard.Lock()
	defer f.guard.Unlock()
	if !state.Catalog.IsLoaded() {
		return false, errBusy
	}
	if reason := state.Catalog.RejectionReason(spec); reason != "" {
		return false, &api.RequestError{Status: api.StatusUnprocessable, Reason: reason}
	}
	_, live = state.Cache.Jobs[spec.UID]
	return live, nil
}

// acceptsKind reports whether a job of a kind can be kept safely: a controller of the
// version before would place a gang task by task.
func (f *Frontend) acceptsKind(kind api.JobKind) bool {
	state := f.guard.Lock()
	defer f.guard.Unlock()
	return kind != api.Gang || state.Schema.AllUpgraded()
}

// newRecord makes the record of a job that is accepted now, errTooLong if that leaves no room for
// what is added later.
func (f *Frontend) newRecord(spec *api.Job) (*job.Record, error) {
	record := &job.Record{Spec: *spec, Shard: f.node.Settings.HostName, AcceptedMS: f.node.Now().UnixMilli()}
	size := len(api.MustMarshal(record))
	state := f.guard.Lock()
	defer f.guard.Unlock()
	if size > state.Schema.MaxGrowableBytes() {
		return nil, errTooLong
	}
	record.ChooseLayout(f.node.Settings.LowestLimits().ValueKB, size, state.Schema.AllUpgraded())
	return record, nil
}
