// Package schema decides which record formats may be written and how large records may be, while
// controllers of two versions run side by side and the limits of the state service may be lowered.
// No other package checks the version of a peer. Editor collects writes of job records for one
// transaction. All state of the package is guarded by the lock of internal/state.
package schema
