// Package store is the client of the state service: keys with versions, transactions with
// preconditions (compare-and-swap), a log of changes, and leases.
//
// # Rates
//
// The service's rates hold for all controllers together. A Client spends its controller's
// share of them, and each request has a Priority: the lower ones leave a reserve to those
// above. A request waits for its tokens for one deadline at most.
//
// # Failures
//
// A request that fails with ErrRefused was surely not carried out. One that fails with
// ErrOutcomeUnknown may have been, or may still be; only reading settles it. The other errors of this
// package are answers of the service, and a StatusError is an answer that PROTOCOL does not
// have.
//
// # Goroutines
//
// A Client's methods may be called from any goroutine, and block it until the answer or the
// deadline. The mutex of a Client guards its rates and is never held during a request. OnResponse
// of the Options is called from the goroutine that made the request.
package store
