package store

import (
	"errors"
	"fmt"
)

// Errors of the state service. They are wrapped in errors that name the request.
var (
	// ErrRefused means that the request was certainly not carried out: the response had status
	// 503 or 429, or the request was never sent.
	ErrRefused = errors.New("state service refused the request")
	// ErrOutcomeUnknown means that the request may have been carried out, or may still be carried
	// out later.
	ErrOutcomeUnknown = errors.New("state service did not respond; outcome of the request unknown")
	// ErrLeaseEnded means that the lease has expired or was revoked.
	ErrLeaseEnded = errors.New("no such lease")
	// ErrTooLarge means that a transaction or a value exceeds the service's size limit.
	ErrTooLarge = errors.New("transaction or value exceeds the size limit of the state service")
	// ErrChangesUnavailable means that the changes since the requested revision can't be read
	// from the change log.
	ErrChangesUnavailable = errors.New("changes since the revision can't be read from the change log")
)

// maxExcerptLength is the most characters of a response body that an error quotes.
const maxExcerptLength = 100

// StatusError is a response with a status that PROTOCOL does not define for the request.
type StatusError struct {
	Status int
	Body   string // its beginning
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("state service: unexpected status %d: %s", e.Status, e.Body)
}

// bodyExcerpt returns the beginning of a response body for an error message.
func bodyExcerpt(body []byte) string { return fmt.Sprintf("%.*s", maxExcerptLength, body) }
