// Package finalstate caches the final states of the most recently finished jobs, so that queries
// for them need no read from the state service. Older ones are read from there. The lock of
// internal/state guards it.
package finalstate
