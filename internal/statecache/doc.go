// Package statecache contains this controller's copy of the live records of the state service, with
// the indexes that decisions use, and the transactions that change the records.
//
// Invariants: the revision of a key never decreases; each cached record was current at some
// revision; a decision based on cached records is committed by compare-and-swap on their versions,
// so that a stale cache causes a conflict and nothing worse.
//
// Other packages only read the exported maps: this package changes them when it applies a change.
// The cache has no lock of its own; it is guarded by the lock of internal/state.
package statecache
