package api

import "fmt"

// HTTP statuses of responses to requests that are rejected.
const (
	StatusBadRequest       = 400 // malformed; repeating the request does not help
	StatusNotFound         = 404 // no such path, or the job was never accepted
	StatusMethodNotAllowed = 405 // the path does not support the method
	StatusUnprocessable    = 422 // well-formed, but can never be served
)

// RequestError is the reason why a request was rejected. The response to the sender contains the
// status and the reason.
type RequestError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *RequestError) Error() string { return e.Reason }

// NewRequestError returns a RequestError with a status and a reason formatted as by fmt.Sprintf.
func NewRequestError(status int, format string, args ...any) *RequestError {
	return &RequestError{Status: status, Reason: fmt.Sprintf(format, args...)}
}
