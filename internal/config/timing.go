package config

import "time"

// clockDriftFactor widens a bound on another machine's clock: steady clocks differ by up to
// 0.05 per cent (PROTOCOL), doubled for two of them, doubled again.
const clockDriftFactor = 1.002

// minControllerLease is the shortest lease of a controller, whatever the heartbeat interval.
const minControllerLease = 500 * time.Millisecond

// seconds returns the duration of so many seconds.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// WorkerLease returns how long a worker runs on after its last answered heartbeat was sent.
func (s *Settings) WorkerLease() time.Duration { return seconds(s.Facts.Workers.LeaseS) }

// HeartbeatInterval returns how often a worker sends a heartbeat.
func (s *Settings) HeartbeatInterval() time.Duration {
	return seconds(s.Facts.Workers.HeartbeatIntervalS)
}

// WorkerLeaseBound returns when a worker's tasks are surely dead, counted on our clock from the
// last answer that it can have accepted.
func (s *Settings) WorkerLeaseBound() time.Duration {
	return time.Duration(float64(s.WorkerLease())*clockDriftFactor) + s.HeartbeatInterval()/8
}

// GangGatherTimeout returns how long a task of a gang waits on its machine for the others.
func (s *Settings) GangGatherTimeout() time.Duration {
	return seconds(s.Facts.Workers.GangGatherTimeoutS)
}

// GangPeerTimeout returns how soon tasks of a gang notice that one of them has ended, and within
// what time all have to be told to stop for their progress to be saved.
func (s *Settings) GangPeerTimeout() time.Duration { return seconds(s.Facts.Workers.GangPeerTimeoutS) }

// DecisionInterval returns how long a controller lets things come together before it commits
// again: the time of one change at its share of the write rate, but short against a heartbeat
// interval.
func (s *Settings) DecisionInterval() time.Duration {
	return min(s.HeartbeatInterval()/12, seconds(float64(s.Facts.ControllerCount)/s.Facts.State.WriteRPS))
}

// CloudCallsPerRun is how many calls of the cloud one round of scaling takes of each kind as a rule.
const CloudCallsPerRun = 2

// AutoscaleInterval returns the time between two rounds of scaling: a few calls of this
// controller's share of the cloud's rate, and short against a heartbeat interval.
func (s *Settings) AutoscaleInterval() time.Duration {
	share := s.Facts.Cloud.RPS / float64(s.Facts.ControllerCount)
	return min(s.HeartbeatInterval()/3, seconds(CloudCallsPerRun/share))
}

// QueryReadInterval returns how far apart reads for users' questions are at least: about a quarter of
// this controller's share of the request rate.
func (s *Settings) QueryReadInterval() time.Duration {
	return seconds(4 * float64(s.Facts.ControllerCount) / s.Facts.State.RPS)
}

// ControllerLeaseTTL returns the time to live of a controller's lease: two heartbeat intervals,
// so that others take over before the workers' leases run out.
func (s *Settings) ControllerLeaseTTL() time.Duration {
	return max(min(2*s.HeartbeatInterval(), s.WorkerLease()/3), minControllerLease)
}

// LeadershipGrace returns how long after its lease may have ended a leader still answers
// heartbeats when it can't reach the store. A cancellation that it can't see must end within
// cancel_s even so: lease, grace and the workers' lease together stay below that.
func (s *Settings) LeadershipGrace() time.Duration {
	return max(0, min(2*s.WorkerLease(), s.cancelMargin()-s.ControllerLeaseTTL()))
}

// MaxStaleness returns how long after it last read the changes a leader may answer heartbeats: a
// cancellation committed since then is not known to it, and its tasks must be gone within
// cancel_s.
func (s *Settings) MaxStaleness() time.Duration {
	return max(s.ControllerLeaseTTL(), s.cancelMargin())
}

// ConfirmsCancelAfterTasksEnd reports whether a cancellation is confirmed only when the last task of
// the job is off its machine. It has to be where cancel_s leaves a leader less time besides a
// worker's lease than it needs to renew its own: no answer of it would be safe then.
func (s *Settings) ConfirmsCancelAfterTasksEnd() bool {
	return s.cancelMargin() < s.ControllerLeaseTTL()
}

// cancelMargin returns what cancel_s leaves besides a worker's lease; it may be below zero.
func (s *Settings) cancelMargin() time.Duration {
	return seconds(s.Facts.Workers.CancelTimeoutS/clockDriftFactor) - s.WorkerLeaseBound() - s.HeartbeatInterval()/4
}
