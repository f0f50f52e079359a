// Package state combines all in-memory state of a controller and the lock that guards it: the state
// is accessible only through Guard.Lock. The lock is never held across I/O.
package state
