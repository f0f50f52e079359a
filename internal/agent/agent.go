package agent

import (
	"time"

	"violetturn/internal/api"
	"violetturn/internal/shard"
)

// Agent is the leader's view of one worker under its present term.
type Agent struct {
	TokenState
	Contact
	Lease
	Cordon
	Attempts

	CreatedAt time.Time // when this term's view of the worker began
}

// New returns the view of a worker under a term. answered is the latest time at which an
// earlier leader can have answered it.
func New(term uint64, now, answered time.Time) *Agent {
	return &Agent{
		TokenState: TokenState{Term: term},
		Lease:      Lease{LastAnswered: answered},
		Cordon:     Cordon{FailedJobs: map[string]bool{}},
		Attempts: Attempts{
			EndedAttempts:   map[string]EndedAttempt{},
			FirstRuns:       map[string]FirstRun{},
			PendingLaunches: map[string]PendingLaunch{},
		},
		CreatedAt: now,
	}
}

// LastTokenChange returns when its worker last saw a higher token from us, as far as is known:
// by a raise, or with the term itself. Another one soon after makes it report no sooner.
func (a *Agent) LastTokenChange() time.Time {
	if a.fencedAt.After(a.raisedAt) {
		return a.fencedAt
	}
	return a.raisedAt
}

// IsStale reports whether a heartbeat is no newer than one that came before: a copy
// that comes late. Its sender no longer waits for an answer, and it shows
// nothing about now, not even that the machine lives. So is one of an earlier
// term long after the worker has shown that it has seen ours; shortly after, within flight,
// one may still be on its way.
func (a *Agent) IsStale(h *api.Heartbeat, now time.Time, flight time.Duration) bool {
	if last := a.LastHeartbeat; last != (HeartbeatNumber{}) && !h.Newer(last.AgentEpoch, last.Sequence) {
		return true
	}
	return a.Fenced() && shard.TokenTerm(h.Token) < a.Term && now.Sub(a.fencedAt) > flight
}

// Accept takes in a heartbeat, or the answer to a direct command, if it can be believed, and
// reports whether it can: it was made after the worker saw this term. A heartbeat under an
// older term may have been held back by a partition since before our predecessor's last
// commands, so it shows nothing about now. The newest is kept.
func (a *Agent) Accept(h *api.Heartbeat, now time.Time) bool {
	if shard.TokenTerm(h.Token) != a.Term {
		return false
	}
	switch a.State {
	case Unfenced:
		a.State, a.fencedAt = Responsive, now
	case Responsive:
		if h.AgentEpoch > a.Heartbeat.AgentEpoch {
			// Its lease expired although we answered, or could have: perhaps it
			// receives nothing. Only a token raised from now on shows that it does.
			a.BecomeUnresponsive(now)
		}
	case Unresponsive:
		if h.Token >= a.Token() {
			a.State = Responsive
		}
	}
	a.UnacknowledgedAnswers = 0
	if a.Heartbeat == nil || h.Newer(a.Heartbeat.AgentEpoch, a.Heartbeat.Sequence) {
		a.Heartbeat = h
	}
	return true
}

// BecomeUnresponsive records that a fenced worker does not obey, and raises its token: it is
// responsive again when it shows the raised token.
func (a *Agent) BecomeUnresponsive(now time.Time) {
	a.State = Unresponsive
	a.RaiseToken(now)
}

// MaxUnacknowledgedAnswers is how often in a row a worker may show that it did not receive an
// answer before it counts as one that receives none: answers get lost now and then.
const MaxUnacknowledgedAnswers = 3

// MayAnswerOlderTerm reports whether a worker that has not seen this term yet is to be
// answered, so that it learns the term, and counts the answer. A worker that was answered
// and reports as before receives nothing: our answers renew no lease there, and to count them
// would keep its tasks waiting for ever. leaseBound is that of IsLeaseExpired, interval the
// time between heartbeats.
func (a *Agent) MayAnswerOlderTerm(now time.Time, leaseBound, interval time.Duration) bool {
	if a.UnacknowledgedAnswers >= MaxUnacknowledgedAnswers {
		if a.IsLeaseExpired(now, leaseBound) {
			a.UnacknowledgedAnswers = 0 // nothing runs there any more: it may try again
		}
		return false
	}
	// A worker's own heartbeats come in rounds. Copies of old ones come at once, and
	// many may have been kept for a new leader: counted as answers that the worker
	// did not receive, they would have it refused while it lives.
	if now.Sub(a.UnacknowledgedCountedAt) >= interval/2 {
		a.UnacknowledgedAnswers++
		a.UnacknowledgedCountedAt = now
	}
	return true
}
