// Package frontend answers users, workers and peers: it routes requests, validates and accepts
// submissions in batches, cancels, and tells jobs' states. A submission that can't be taken is
// answered at once, with when to come back. No answer is older than one given before: each is
// read behind a barrier.
package frontend
