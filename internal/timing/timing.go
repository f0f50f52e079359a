package timing

import (
	"context"
	"time"
)

// Sleep waits, or tells that ctx has ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// UserRequestTimeout bounds the work on one request: users wait 2 s for a poll and
// 5 s for a submission (PROTOCOL), and are answered before that.
const UserRequestTimeout = 1800 * time.Millisecond
