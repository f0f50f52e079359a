package scheduler

import (
	"math"
	"time"

	"violetturn/internal/numeric"
	"violetturn/internal/statecache"
)

// backoffTable holds the backoff of jobs whose tasks fail, by job. A job without failures has no
// entry. The lock of internal/state guards it.
type backoffTable map[string]backoff

// backoff holds the number of failures of a job's tasks at the last check, and the time before which
// the job is not tried again.
type backoff struct {
	failures int
	retryAt  time.Time
}

// maxBackoffDoublings bounds how often the delay before the next attempt is doubled.
const maxBackoffDoublings = 10

// isWaiting updates the entry of a job with this number of failures, and reports whether the job
// waits before its next attempt. The delay starts at initialDelay, doubles with each failure and is
// at most maxDelay.
func (t backoffTable) isWaiting(uid string, failures int, now time.Time, initialDelay, maxDelay time.Duration) bool {
	if failures <= 0 {
		delete(t, uid)
		return false
	}
	entry := t[uid]
	if failures > entry.failures {
		delay := numeric.ScaledDuration(initialDelay, math.Exp2(float64(min(failures-1, maxBackoffDoublings))))
		entry.retryAt = now.Add(min(delay, maxDelay))
	}
	entry.failures = failures
	t[uid] = entry
	return now.Before(entry.retryAt)
}

// removeExcept removes all entries but those of the jobs to keep.
func (t backoffTable) removeExcept(keep func(uid string) bool) {
	for uid := range t {
		if !keep(uid) {
			delete(t, uid)
		}
	}
}

// isBackingOff reports whether a job whose tasks failed waits before its next attempt. The delay
// grows, so that a job that fails everywhere does not use capacity again and again, but only up to
// a worker's lease, so that the job does not count as starving.
func (s *Scheduler) isBackingOff(entry *queueEntry, now time.Time) bool {
	settings := s.node.Settings
	return s.backoffs.isWaiting(entry.uid, failuresOf(entry.job), now, settings.HeartbeatInterval(), settings.WorkerLease())
}

// failuresOf returns the number of failures in the records of a job.
func failuresOf(job *statecache.Job) int {
	failures := 0
	for _, taskRange := range job.Ranges {
		failures += taskRange.Record.ErrorStreak
	}
	if gang := job.Record.Gang; gang != nil {
		// A single attempt of a gang may fail by chance, so the first failure causes no delay.
		failures += max(gang.ErrorStreak, gang.FailureStreak-1)
	}
	return failures
}
