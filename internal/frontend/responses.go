package frontend

import (
	"errors"

	"violetturn/internal/api"
	"violetturn/internal/respond"
	"violetturn/internal/transport"
)

// HTTP statuses of served requests and internal errors. Package api has those of rejections.
const (
	statusOK            = 200
	statusCreated       = 201
	statusInternalError = 500
)

// errorBody is the response body that states why a request was rejected.
type errorBody struct {
	Error string `json:"error"`
}

// phaseBody is the response body that confirms the acceptance or cancellation of a job.
type phaseBody struct {
	Phase api.JobPhase `json:"phase"`
	UID   string       `json:"uid"`
}

// healthBody is the response body of a health check; it contains the host name of the controller.
type healthBody struct {
	Node string `json:"node"`
}

// Errors of rejected requests whose reasons do not depend on the request.
var (
	errUnknownJob        = api.NewRequestError(api.StatusNotFound, "no such run")
	errUnknownPath       = api.NewRequestError(api.StatusNotFound, "no such path")
	errMethodNotAllowed  = api.NewRequestError(api.StatusMethodNotAllowed, "method not allowed")
	errSubmissionTooLong = api.NewRequestError(api.StatusBadRequest, "submission too long")
)

// errBusy is the error of a request that cannot be served now but may be later.
var errBusy = errors.New("try again")

// errorResponse returns the response to a failed request: the status and reason of an
// api.RequestError, or a request to retry later for any other error.
func errorResponse(err error) transport.Response {
	var requestError *api.RequestError
	if errors.As(err, &requestError) {
		return respond.JSON(requestError.Status, errorBody{Error: requestError.Reason})
	}
	return respond.Busy
}

// stateResponse returns the response with the state of a job, or the response to err unless nil.
func stateResponse(state api.JobState, err error) transport.Response {
	if err != nil {
		return errorResponse(err)
	}
	return respond.JSON(statusOK, state)
}

// phaseResponse returns the response that confirms that a job is in a phase.
func phaseResponse(status int, uid string, phase api.JobPhase) transport.Response {
	return respond.JSON(status, phaseBody{Phase: phase, UID: uid})
}
