// Package cloud is the client of the cloud that rents machines: the types of its messages, a
// client that keeps within the controller's share of the cloud's rate limit, and a listing that
// reads the list of rented machines a few pages at a time.
//
// A Client's methods may be called from any goroutine; they wait for the rate limit and for the
// response. A Listing must be used by one goroutine at a time.
//
// A call fails with ErrNoCapacity if the cloud reports that it has no such machines, and with
// ErrUnavailable otherwise. After ErrUnavailable the call may have been carried out. A rental can
// be retried under the same name, since the cloud carries out each name once.
package cloud
