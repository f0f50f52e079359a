package frontend

import (
	"errors"

	"violetturn/internal/api"
	"violetturn/internal/respond"
	"violetturn/internal/transport"
)

// Statuses of requests that were served. Those of refusals are in package api.
const (
	statusOK            = 200
	statusCreated       = 201
	statusInternalError = 500
)

// errorBody tells why a request was refused.
type errorBody struct {
	Error string `json:"error"`
}

// phaseBody confirms an acceptance or a cancellation.
type phaseBody struct {
	Phase api.JobPhase `json:"phase"`
	UID   string       `json:"uid"`
}

// healthBody tells which node answers.
type healthBody struct {
	Node string `json:"node"`
}

// Refusals whose reasons don't depend on the request.
var (
	errUnknownJob       = api.NewRequestError(api.StatusNotFound, "no such run")
	errUnknownPath      = api.NewRequestError(api.StatusNotFound, "no such path")
	errMethodNotAllowed = api.NewRequestError(api.StatusMethodNotAllowed, "method not allowed")
	errTooLong          = api.NewRequestError(api.StatusBadRequest, "submission too long")
)

// errBusy refuses what can't be served now but may be later.
var errBusy = errors.New("try again")

// errorResponse answers a request that failed: an api.RequestError with its status and reason,
// any other error by asking the user to come back.
func errorResponse(err error) transport.Response {
	var refusal *api.RequestError
	if errors.As(err, &refusal) {
		return respond.JSON(refusal.Status, errorBody{Error: refusal.Reason})
	}
	return respond.Busy
}

// stateResponse tells the state of a job, or why that can't be.
func stateResponse(s api.JobState, err error) transport.Response {
	if err != nil {
		return errorResponse(err)
	}
	return respond.JSON(statusOK, s)
}

// phaseResponse confirms that a job is in a phase.
func phaseResponse(status int, uid string, phase api.JobPhase) transport.Response {
	return respond.JSON(status, phaseBody{Phase: phase, UID: uid})
}
