// Package decisions commits what jobs and heartbeats call for, one transaction at a time: ends
// of tasks, placements, gangs, registrations, capacity records, splits. Each round of decisions
// has three steps: a plan, which is a function of the state under its lock; the commit of the
// plan's transaction, without the lock; and taking in the outcome. One goroutine runs the rounds;
// gangs are also placed by a second one as they are accepted.
package decisions
