package scaling

import (
	"context"
	"time"

	"violetturn/internal/cloud"
	"violetturn/internal/config"
)

// machineList is what is remembered of the cloud's list of machines.
type machineList struct {
	listing cloud.Listing // the list, as far as it has been read
	readAt  time.Time     // when it was last read to its end
}

// listTimeoutIntervals is after how many intervals between two listings one that can't be finished
// is abandoned.
const listTimeoutIntervals = 4

// readMachineList reads what a round may read of the cloud's list, if it is time for one. A fleet
// of some thousand machines takes several rounds.
func (l *Loop) readMachineList(ctx context.Context, now time.Time) {
	list := &l.list
	lag := time.Duration(l.node.Settings.Facts.Cloud.ListLagS * float64(time.Second))
	interval := max(lag, l.node.Settings.HeartbeatInterval())
	if list.listing.Active() && now.Sub(list.listing.StartedAt) > listTimeoutIntervals*interval {
		list.listing.Abandon() // the cloud did not answer meanwhile
	}
	if !list.listing.Active() && now.Sub(list.readAt) <= interval {
		return
	}
	hosts, complete, err := list.listing.Read(ctx, l.services.Cloud, now, config.CloudCallsPerRun)
	if err != nil {
		l.node.Log.Debug("list of machines not read", "err", err)
	}
	if !complete {
		return
	}
	list.readAt = now
	state := l.guard.Lock()
	defer l.guard.Unlock()
	state.Agents.Listing().Update(hosts, list.listing.StartedAt, lag)
}
