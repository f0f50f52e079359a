// Package decisions commits what jobs and heartbeats call for, one transaction at a time: ends
// of tasks, placements, gangs, registrations, capacity records, splits. One goroutine runs it;
// gangs are placed by a second one as they are accepted.
package decisions
