// Package cloud is the client of the cloud that rents machines: the types of its messages, a
// client that stays within the controller's share of the cloud's rate, and a listing of the
// rented machines that is read a few pages at a time.
//
// A Client's methods may be called from any goroutine; they wait for the rate and for the
// answer. A Listing belongs to one goroutine.
//
// Every failure of a call is ErrUnavailable, but for a rental that the cloud answers with the
// lack of machines: that is ErrNoCapacity. After ErrUnavailable a call may have been carried
// out; a rental is repeated under the same name, which the cloud carries out once.
package cloud
