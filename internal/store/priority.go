package store

import "fmt"

// Priority says how a request stands under load: the lower, the sooner.
type Priority int

// Priorities of requests: leases, then gangs, all tasks of which wait for one change, then what
// heartbeats and decisions need besides, then submissions.
const (
	PriorityLease Priority = iota
	PriorityGang
	PriorityDecision
	PrioritySubmission
)

// priorityNames are the names of the priorities, in their order.
var priorityNames = [...]string{"lease", "gang", "decision", "submission"}

// String returns the name of the priority.
func (p Priority) String() string {
	if p < 0 || int(p) >= len(priorityNames) {
		return fmt.Sprintf("Priority(%d)", int(p))
	}
	return priorityNames[p]
}

// reservedShares is the share of a budget that each priority leaves to those above it.
var reservedShares = [...]float64{PriorityLease: 0, PriorityGang: 0.05, PriorityDecision: 0.1, PrioritySubmission: 0.15}

// maxReservedShare bounds the share that is left to gangs as well.
const maxReservedShare = 0.5
