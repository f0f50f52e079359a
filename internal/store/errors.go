package store

import (
	"errors"
	"fmt"
)

// Errors of the state service. They come wrapped with what was being done.
var (
	// ErrRefused says that the request was surely not carried out: it was answered with 503 or
	// 429, or never sent.
	ErrRefused = errors.New("state service refused")
	// ErrOutcomeUnknown says that the request may have been carried out, or may still be later.
	ErrOutcomeUnknown = errors.New("state service did not answer")
	// ErrLeaseEnded says that the lease has ended.
	ErrLeaseEnded = errors.New("no such lease")
	// ErrTooLarge says that a transaction or a value is larger than the service takes.
	ErrTooLarge = errors.New("state service refused the size")
	// ErrChangesUnavailable says that changes since that revision are no longer kept.
	ErrChangesUnavailable = errors.New("changes no longer kept")
)

// errorTextLength bounds how much of an answer's body an error quotes.
const errorTextLength = 100

// StatusError is an answer with a status that PROTOCOL does not have for the request.
type StatusError struct {
	Status int
	Body   string // the beginning of it
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("state service: status %d: %s", e.Status, e.Body)
}

// errorText returns the beginning of a body, for errors.
func errorText(body []byte) string { return fmt.Sprintf("%.*s", errorTextLength, body) }
