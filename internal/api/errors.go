package api

import "fmt"

// Statuses that a request which can't be served as it is leads to.
const (
	StatusBadRequest       = 400 // malformed; not worth repeating
	StatusNotFound         = 404 // the job was never accepted
	StatusMethodNotAllowed = 405 // another method than the path takes
	StatusUnprocessable    = 422 // understood, but can never be served
)

// RequestError is a request that can't be served as it is: whoever sent it is answered with the
// status and the reason.
type RequestError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *RequestError) Error() string { return e.Reason }

// NewRequestError returns the RequestError of a status with a formatted reason.
func NewRequestError(status int, reason string, args ...any) *RequestError {
	return &RequestError{Status: status, Reason: fmt.Sprintf(reason, args...)}
}
