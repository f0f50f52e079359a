// Package frontend serves the requests of users, workers and peers: it routes requests, validates
// submissions and commits them in batches, cancels jobs, and reports the states of jobs. A
// submission that cannot be accepted now is answered at once with status 503 and a Retry-After. A
// job's state in a response is never older than in an earlier response, because a read barrier
// precedes each read.
package frontend
