// Package store is the client of the state service: keys with versions, transactions with
// preconditions (compare-and-swap), a change log, and leases.
//
// # Rates
//
// The service's rate limits apply to all controllers together. A Client uses its controller's
// share of them. Each request has a Priority; requests of a lower priority leave a reserve for
// those of a higher one. A request waits for its tokens for at most Options.Timeout.
//
// # Failures
//
// A request that fails with ErrRefused was certainly not carried out. One that fails with
// ErrOutcomeUnknown may have been carried out or may still be; its outcome can only be determined
// by reading. The other errors of this package are derived from responses of the service. A
// StatusError is a response with a status that PROTOCOL does not define for the request.
//
// # Goroutines
//
// A Client's methods may be called from any goroutine and block until the response or a timeout.
// The mutex of a Client guards its rates and is never held during a request. Options.OnResponse is
// called in the goroutine that made the request.
package store
