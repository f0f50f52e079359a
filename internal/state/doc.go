// Package state joins all that a controller's lock guards, and has that lock: the state is
// reachable only through Guard.Lock. No lock is held across I/O.
package state
