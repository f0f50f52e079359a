package config

import (
	"time"

	"violetturn/internal/numeric"
)

// clockDriftFactor widens an upper bound on a duration that another machine measures. By PROTOCOL a
// monotonic clock drifts by up to 0.05 per cent; that is doubled for two clocks, and doubled again
// as a safety margin.
const clockDriftFactor = 1.002

// Bounds on the lease of a controller. The upper one is that of PROTOCOL for any lease.
const (
	minControllerLease = 500 * time.Millisecond
	maxControllerLease = 600 * time.Second
)

// minHeartbeatInterval is a lower bound on the heartbeat interval and on the worker lease, the resolution
// of timers. Loops that wait for fractions of them would otherwise not wait at all.
const minHeartbeatInterval = time.Millisecond

// WorkerLease returns how long a worker keeps its tasks running after it sent the last heartbeat
// that was answered.
func (s *Settings) WorkerLease() time.Duration {
	return max(numeric.Duration(s.Facts.Workers.LeaseS), minHeartbeatInterval)
}

// HeartbeatInterval returns how often a worker sends a heartbeat.
func (s *Settings) HeartbeatInterval() time.Duration {
	return max(numeric.Duration(s.Facts.Workers.HeartbeatIntervalS), minHeartbeatInterval)
}

// WorkerLeaseBound returns the time after which a worker's tasks have certainly ended. It is measured
// on this controller's clock, from the last response that the worker can have accepted.
func (s *Settings) WorkerLeaseBound() time.Duration {
	return time.Duration(float64(s.WorkerLease())*clockDriftFactor) + s.HeartbeatInterval()/8
}

// GangGatherTimeout returns how long a started task of a gang waits for the other tasks to start.
func (s *Settings) GangGatherTimeout() time.Duration {
	return numeric.Duration(s.Facts.Workers.GangGatherTimeoutS)
}

// GangPeerTimeout returns the time within which the tasks of a gang detect that one of them has
// ended. The stop commands have to reach all tasks within this time for their progress to be saved.
func (s *Settings) GangPeerTimeout() time.Duration {
	return numeric.Duration(s.Facts.Workers.GangPeerTimeoutS)
}

// CloudListLag returns how old the cloud's list of machines may be.
func (s *Settings) CloudListLag() time.Duration { return numeric.Duration(s.Facts.Cloud.ListLagS) }

// DecisionInterval returns how long a controller collects events before its next commit: the time
// that one write takes at its share of the write rate, but at most a twelfth of a heartbeat interval.
func (s *Settings) DecisionInterval() time.Duration {
	return min(s.HeartbeatInterval()/12, numeric.Duration(float64(s.Facts.ControllerCount)/s.Facts.State.WriteRPS))
}

// CloudCallsPerRun is the usual number of cloud API calls of each kind in one autoscaler run.
const CloudCallsPerRun = 2

// AutoscaleInterval returns the time between two autoscaler runs: the time that CloudCallsPerRun
// calls take at this controller's share of the cloud's rate limit, but at most a third of a heartbeat
// interval.
func (s *Settings) AutoscaleInterval() time.Duration {
	share := s.Facts.Cloud.RPS / float64(s.Facts.ControllerCount)
	return min(s.HeartbeatInterval()/3, numeric.Duration(CloudCallsPerRun/share))
}

// QueryReadInterval returns the minimum interval between two reads of the state service on behalf of user
// queries. These reads take at most about a quarter of this controller's share of the request rate.
func (s *Settings) QueryReadInterval() time.Duration {
	return numeric.Duration(4 * float64(s.Facts.ControllerCount) / s.Facts.State.RPS)
}

// ControllerLeaseTTL returns the time to live of a controller's lease: two heartbeat intervals, but at
// most a third of a worker's lease, so that other controllers take over its shards before the
// workers' leases expire. It is within the bounds of the state service.
func (s *Settings) ControllerLeaseTTL() time.Duration {
	return max(min(2*s.HeartbeatInterval(), s.WorkerLease()/3, maxControllerLease), minControllerLease)
}

// LeadershipGracePeriod returns how long a leader that can't reach the state service may answer
// heartbeats after its lease may have expired. Meanwhile it can't read cancellations, and a
// cancelled job's tasks must still end within cancel_s: the controller's lease, the grace period
// and the workers' lease together stay below cancel_s.
func (s *Settings) LeadershipGracePeriod() time.Duration {
	return max(0, min(2*s.WorkerLease(), s.cancelMargin()-s.ControllerLeaseTTL()))
}

// MaxStaleness returns how long a leader may answer heartbeats after it last read the changes of the
// state service. It has not read a cancellation committed since then, and the cancelled job's tasks
// must end within cancel_s.
func (s *Settings) MaxStaleness() time.Duration {
	return max(s.ControllerLeaseTTL(), s.cancelMargin())
}

// ConfirmsCancelAfterTasksEnd reports whether a cancellation is confirmed to the user only after the last
// task of the job has left its machine. This is necessary if cancel_s minus a worker's lease is
// shorter than the controller's lease: then no heartbeat response of a leader that has not read the
// cancellation would be safe.
func (s *Settings) ConfirmsCancelAfterTasksEnd() bool {
	return s.cancelMargin() < s.ControllerLeaseTTL()
}

// cancelMargin returns cancel_s minus the bound on a worker's lease and a quarter of a heartbeat
// interval. It may be negative.
func (s *Settings) cancelMargin() time.Duration {
	return numeric.Duration(s.Facts.Workers.CancelTimeoutS/clockDriftFactor) - s.WorkerLeaseBound() - s.HeartbeatInterval()/4
}
