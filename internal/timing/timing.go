package timing

import (
	"context"
	"time"
)

// Sleep waits for the duration and returns true, or returns false as soon as ctx is done.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// UserRequestTimeout is the time limit for the work on one user request. According to PROTOCOL,
// users wait 2 s for the response to a poll and 5 s for the response to a submission. The limit
// is shorter than both, so that they receive a response in time.
const UserRequestTimeout = 1800 * time.Millisecond
