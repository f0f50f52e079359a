package scheduler

import (
	"time"

	"violetturn/internal/statecache"
)

// backoffTable spaces out the attempts of jobs whose tasks fail, by job. A job without failures
// has no entry. The lock of internal/state guards it.
type backoffTable map[string]backoff

// backoff is how often a job's tasks had failed when it was last looked at, and when it is
// tried again.
type backoff struct {
	failures int
	retryAt  time.Time
}

// maxBackoffDoublings bounds how often the pause before the next attempt is doubled.
const maxBackoffDoublings = 10

// isWaiting reports whether a job with so many failures waits before its next attempt. Each new
// failure doubles the pause, which begins with the first argument and is bounded by the longest.
func (t backoffTable) isWaiting(uid string, failures int, now time.Time, first, longest time.Duration) bool {
	if failures == 0 {
		delete(t, uid)
		return false
	}
	entry := t[uid]
	if failures > entry.failures {
		pause := first << min(failures-1, maxBackoffDoublings)
		entry.retryAt = now.Add(min(pause, longest))
	}
	entry.failures = failures
	t[uid] = entry
	return now.Before(entry.retryAt)
}

// dropExcept drops the entries of jobs that are not to be kept.
func (t backoffTable) dropExcept(keep func(uid string) bool) {
	for uid := range t {
		if !keep(uid) {
			delete(t, uid)
		}
	}
}

// isBackingOff reports whether a job whose tasks failed waits before its next attempt: ever
// longer, so that a job that fails everywhere does no harm, and at most for a worker's lease,
// so that it does not count as starved.
func (s *Scheduler) isBackingOff(entry *queueEntry, now time.Time) bool {
	settings := s.node.Settings
	return s.backoffs.isWaiting(entry.uid, failuresOf(entry.job), now, settings.HeartbeatInterval(), settings.WorkerLease())
}

// failuresOf counts the failures of a job's tasks that its records show.
func failuresOf(job *statecache.Job) int {
	failures := 0
	for _, taskRange := range job.Ranges {
		failures += taskRange.Record.ErrorStreak
	}
	if gang := job.Record.Gang; gang != nil {
		// One attempt may fail by chance, and the next begins at once.
		failures += max(gang.ErrorStreak, gang.FailureStreak-1)
	}
	return failures
}
