package frontend

import (
	"context"
	"errors"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/respond"
	"violetturn/internal/transport"
)

// Submit accepts the job of a submission, or returns a response with the reason why it does not. If
// the job was accepted before, the response is the job's state, even if the repeated submission is
// invalid.
func (f *Frontend) Submit(ctx context.Context, body []byte) transport.Response {
	spec, err := api.ParseJob(body)
	if err != nil {
		if uid, ok := api.ExtractUID(body); ok {
			return f.stateOrError(ctx, uid, err)
		}
		return errorResponse(err)
	}
	unfinished, err := f.checkSpec(spec)
	if err != nil {
		return f.stateOrError(ctx, spec.UID, err)
	}
	if unfinished {
		current, stateErr := f.jobState(ctx, spec.UID)
		if !errors.Is(stateErr, errUnknownJob) {
			return stateResponse(current, stateErr)
		}
	}
	if !f.sync.StoreReachable() || !f.acceptsKind(spec.Kind) {
		return respond.Busy
	}
	record, bytes, err := f.newRecord(spec)
	if err != nil {
		return f.stateOrError(ctx, spec.UID, err)
	}
	return f.commitSubmission(&Submission{Ctx: ctx, Record: record, Bytes: bytes, Response: make(chan transport.Response, 1)})
}

// stateOrError returns the response with the state of a job, or the response to rejection if the
// job was never accepted.
func (f *Frontend) stateOrError(ctx context.Context, uid string, rejection error) transport.Response {
	current, err := f.jobState(ctx, uid)
	if errors.Is(err, errUnknownJob) {
		return errorResponse(rejection)
	}
	return stateResponse(current, err)
}

// checkSpec returns an error if a job can never run, or errBusy while the machine types are not
// loaded and this cannot be determined. unfinished reports whether the job exists and is not
// finished.
func (f *Frontend) checkSpec(spec *api.Job) (unfinished bool, err error) {
	state := f.guard.Lock()
	defer f.guard.Unlock()
	if !state.Catalog.IsLoaded() {
		return false, errBusy
	}
	if reason := state.Catalog.RejectionReason(spec); reason != "" {
		return false, &api.RequestError{Status: api.StatusUnprocessable, Reason: reason}
	}
	_, unfinished = state.Cache.Jobs[spec.UID]
	return unfinished, nil
}

// acceptsKind reports whether a job of this kind can be accepted now. Gangs are accepted only once
// all controllers are upgraded, because the previous version would place the tasks of a gang one by
// one.
func (f *Frontend) acceptsKind(kind api.JobKind) bool {
	state := f.guard.Lock()
	defer f.guard.Unlock()
	return kind != api.Gang || state.Schema.AllUpgraded()
}

// newRecord returns the record of a job that is accepted now, and its size. It returns
// errSubmissionTooLong if the record is too large to grow later.
func (f *Frontend) newRecord(spec *api.Job) (record *job.Record, size int, err error) {
	record = &job.Record{Spec: *spec, Shard: f.node.Settings.HostName, AcceptedMS: f.node.Now().UnixMilli()}
	size = len(api.MustMarshal(record))
	state := f.guard.Lock()
	defer f.guard.Unlock()
	if size > state.Schema.MaxGrowableBytes() {
		return nil, 0, errSubmissionTooLong
	}
	record.ChooseLayout(f.node.Settings.LowestLimits().ValueKB, size, state.Schema.AllUpgraded())
	return record, size, nil
}
