package agent

import (
	"time"

	"violetturn/internal/api"
	"violetturn/internal/shard"
)

// Agent is the state that a leader keeps about one worker under the current term.
type Agent struct {
	TokenState
	Contact
	Lease
	Cordon
	Attempts

	CreatedAt time.Time // when this state was created under the current term
}

// New returns the initial state of a worker under a term. lastAnswered is the latest time at which
// an earlier leader can have answered the worker.
func New(term uint64, now, lastAnswered time.Time) *Agent {
	return &Agent{
		TokenState: TokenState{Term: term},
		Lease:      Lease{LastAnswered: lastAnswered},
		Cordon:     Cordon{FailedJobs: map[string]bool{}},
		Attempts: Attempts{
			EndedAttempts:   map[string]EndedAttempt{},
			FirstRuns:       map[string]FirstRun{},
			PendingLaunches: map[string]PendingLaunch{},
		},
		CreatedAt: now,
	}
}

// LastTokenChange returns the later of two times: when this leader last raised the worker's token,
// and when the worker first showed the current term. Another raise shortly after either does not
// make the worker send its heartbeat any sooner.
func (a *Agent) LastTokenChange() time.Time {
	if a.fencedAt.After(a.lastRaisedAt) {
		return a.fencedAt
	}
	return a.lastRaisedAt
}

// IsStale reports whether a heartbeat is outdated and must be ignored: its sender no longer waits
// for a response, and it proves nothing about the present, not even that the machine is running. A
// heartbeat is stale if it is no newer than one received before, which makes it a delayed copy. It
// is also stale if it shows an earlier term although the worker showed the current one more than
// deliveryTimeout ago; within deliveryTimeout, such a heartbeat may still be in transit.
func (a *Agent) IsStale(h *api.Heartbeat, now time.Time, deliveryTimeout time.Duration) bool {
	if last := a.LastHeartbeatNumber; last != (HeartbeatNumber{}) && !h.NewerThan(last.AgentEpoch, last.Sequence) {
		return true
	}
	return a.Fenced() && shard.TokenTerm(h.Token) < a.Term && now.Sub(a.fencedAt) > deliveryTimeout
}

// Accept processes a heartbeat, or the heartbeat in the response to a direct command, and reports
// whether it was accepted. Only a heartbeat that was made after the worker received the current
// term is accepted. A heartbeat under an older term may have been delayed by a network partition
// since before the previous leader's last commands, so it proves nothing about the present. The
// newest accepted heartbeat is stored.
func (a *Agent) Accept(h *api.Heartbeat, now time.Time) bool {
	if shard.TokenTerm(h.Token) != a.Term {
		return false
	}
	switch a.State {
	case Unfenced:
		a.State, a.fencedAt = Responsive, now
	case Responsive:
		if h.AgentEpoch > a.Heartbeat.AgentEpoch {
			// The worker's lease expired although this leader answered or could have
			// answered, so the worker may receive no responses. Only a heartbeat with a
			// token raised from now on proves that it does.
			a.BecomeUnresponsive(now)
		}
	case Unresponsive:
		if h.Token >= a.Token() {
			a.State = Responsive
		}
	}
	a.UnacknowledgedResponses = 0
	if a.Heartbeat == nil || h.NewerThan(a.Heartbeat.AgentEpoch, a.Heartbeat.Sequence) {
		a.Heartbeat = h
	}
	return true
}

// BecomeUnresponsive marks a fenced worker as one that does not carry out commands, and raises
// its token. The worker is responsive again when a heartbeat shows the raised token.
func (a *Agent) BecomeUnresponsive(now time.Time) {
	a.State = Unresponsive
	a.RaiseToken(now)
}

// Numbers of responses that may remain without effect. Single responses are lost now and then.
const (
	// MaxUnacknowledgedResponses is the number of consecutive responses with a newer term after which a
	// worker that does not show it is assumed to receive none.
	MaxUnacknowledgedResponses = 3
	// MaxIgnoredLaunches is the number of responses with the same launch after which a worker that does
	// not report the task is assumed to ignore launches.
	MaxIgnoredLaunches = 3
	// MaxBlockedHeartbeats is the number of consecutive heartbeats after which an attempt for which the
	// machine has no capacity is ended.
	MaxBlockedHeartbeats = 3
)

// AllowOlderTermResponse reports whether to answer a worker that has not shown the current term yet, so
// that the worker receives the term. It also counts the response. A worker that keeps showing an
// older term after several responses receives none of them: they do not renew its lease, and
// counting them as renewals would delay the recovery of its tasks forever. leaseBound is the bound
// of IsLeaseExpired, interval the time between heartbeats.
func (a *Agent) AllowOlderTermResponse(now time.Time, leaseBound, interval time.Duration) bool {
	if a.UnacknowledgedResponses >= MaxUnacknowledgedResponses {
		if a.IsLeaseExpired(now, leaseBound) {
			a.UnacknowledgedResponses = 0 // nothing runs on the machine any more, so the worker may be answered again
		}
		return false
	}
	// A worker sends one heartbeat per interval, but many delayed copies of old heartbeats may reach
	// a new leader at once. If each copy counted as a response that the worker did not receive, a
	// running worker would be refused.
	if now.Sub(a.UnacknowledgedCountedAt) >= interval/2 {
		a.UnacknowledgedResponses++
		a.UnacknowledgedCountedAt = now
	}
	return true
}
