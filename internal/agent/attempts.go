package agent

import (
	"time"

	"violetturn/internal/job"
)

// Attempts records the attempts of tasks on a worker, by task key.
type Attempts struct {
	EndedAttempts   map[string]EndedAttempt  // attempts whose end is not committed yet
	FirstRuns       map[string]FirstRun      // attempts that were reported as running
	PendingLaunches map[string]PendingLaunch // launches that were sent and whose attempt is not reported yet
}

// EndedAttempt is the decision that an attempt has ended. It is never reversed: the attempt is
// not launched again even if the transaction that records its end fails, since that transaction
// may still be applied late.
type EndedAttempt struct {
	Attempt      uint64
	Done, Failed bool
	Reason       job.ExitReason // why the attempt ended, for a task of a gang
	EndedAt      time.Time      // when the decision was made
}

// FirstRun is the time at which an attempt was first reported as running.
type FirstRun struct {
	Attempt uint64
	At      time.Time
}

// PendingLaunch counts the answers that carried the launch of an attempt.
type PendingLaunch struct {
	Attempt           uint64
	SentResponses     int
	BlockedHeartbeats int // consecutive heartbeats without capacity for the task, and with no stopping task about to free any
}
