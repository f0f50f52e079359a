package scaling

import (
	"context"
	"time"

	"violetturn/internal/cloud"
	"violetturn/internal/config"
)

// machineList is the state of reading the cloud's list of machines.
type machineList struct {
	listing cloud.Listing // the pages that have been read so far
	readAt  time.Time     // when the list was last read completely
}

// listTimeoutIntervals is the time after which an unfinished listing is abandoned, as a multiple of
// the interval between two listings.
const listTimeoutIntervals = 4

// readMachineList reads up to config.CloudCallsPerRun pages of the cloud's list, if a listing is
// due or unfinished. Listing a few thousand machines takes several runs.
func (l *Loop) readMachineList(ctx context.Context, now time.Time) {
	list := &l.list
	lag := l.node.Settings.CloudListLag()
	interval := max(lag, l.node.Settings.HeartbeatInterval())
	if list.listing.Active() && now.Sub(list.listing.StartedAt) > listTimeoutIntervals*interval {
		list.listing.Abandon() // the cloud did not respond in time
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
