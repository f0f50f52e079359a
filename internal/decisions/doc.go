// Package decisions commits the scheduler's decisions to the state service, one transaction at a
// time: ends of tasks, placements, gangs, machine registrations, capacity records, splits of job
// records. Each decision has three steps: plan the transaction from the state, under the state's
// lock; commit it, without the lock; apply the outcome to the state. One goroutine makes all
// decisions in order; a second one places only gangs, as soon as they are accepted.
package decisions
