package store

import "fmt"

// Priority is the priority of a request under load. Lower values have precedence.
type Priority int

// Priorities of requests, highest first: leases; gangs, whose tasks all wait for a single write;
// other requests for heartbeats and decisions; submissions.
const (
	PriorityLease Priority = iota
	PriorityGang
	PriorityDecision
	PrioritySubmission
)

// priorityNames holds the name of each priority.
var priorityNames = [...]string{"lease", "gang", "decision", "submission"}

// String returns the name of the priority.
func (p Priority) String() string {
	if p < 0 || int(p) >= len(priorityNames) {
		return fmt.Sprintf("Priority(%d)", int(p))
	}
	return priorityNames[p]
}

// reservedShares holds the share of a budget that each priority leaves to higher priorities.
var reservedShares = [...]float64{PriorityLease: 0, PriorityGang: 0.05, PriorityDecision: 0.1, PrioritySubmission: 0.15}

// maxReservedShare bounds the share of the write budget that a priority leaves to higher ones,
// including the reserve set by ReserveForGangs.
const maxReservedShare = 0.5
