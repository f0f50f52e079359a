// Package statecache is this controller's copy of the live records of the state service, with
// the indexes that decisions need, and the transactions that change them.
//
// Invariants: each key moves only forward in revision; what the cache shows was so at some
// revision; a decision that rests on it is committed by compare-and-swap on the versions
// that it rests on, so that a stale cache costs a conflict and no more.
//
// The exported maps are for reading: only this package changes them, when a change is
// applied. The cache has no lock of its own; the lock of internal/state guards it.
package statecache
