package agent

import (
	"time"

	"violetturn/internal/job"
)

// Attempts is what is known of attempts on a worker, by task.
type Attempts struct {
	EndedAttempts   map[string]EndedAttempt  // not yet recorded
	FirstRuns       map[string]FirstRun      // attempts that were seen running
	PendingLaunches map[string]PendingLaunch // launches that were answered and not yet seen
}

// EndedAttempt is the decision that an attempt is over. It is never reversed: that attempt is
// not launched again, whatever becomes of the transaction that records it, for that
// transaction may still be applied late.
type EndedAttempt struct {
	Attempt      uint64
	Done, Failed bool
	Reason       job.ExitReason // the same for a gang's task
	EndedAt      time.Time      // when it was decided
}

// FirstRun is when an attempt was first seen running.
type FirstRun struct {
	Attempt uint64
	At      time.Time
}

// PendingLaunch counts the answers that carried the launch of an attempt.
type PendingLaunch struct {
	Attempt           uint64
	SentAnswers       int
	BlockedHeartbeats int // heartbeats in a row that left no room for it, nor any that is about to be left
}
