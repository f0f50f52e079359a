package shard

import (
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
)

// EndedAttempt is the decision that an attempt is over. Once taken it is never taken
// back: that attempt is not launched again, whatever becomes of the transaction
// that records it, for that transaction may still be applied late.
type EndedAttempt struct {
	Attempt      uint64
	Done, Failed bool
	Reason       job.ExitReason // the same for a gang's task
	EndedAt      time.Time      // when it was taken
}

// FirstRun is when an attempt was first seen running.
type FirstRun struct {
	Attempt uint64
	At      time.Time
}

// Agent is what the leader knows of one worker under its present term.
type Agent struct {
	Term             uint64
	CreatedAt        time.Time      // when the session began
	Fenced           bool           // the worker has said that it has seen this term
	Heartbeat        *api.Heartbeat // newest report made under this term
	LastSeen         time.Time      // last sign of life
	LastAnswered     time.Time      // latest time at which an answer of ours, or of a leader before us, can have renewed its lease
	Terminated       bool           // the cloud has confirmed its end
	LeaseExpired     bool           // its lease is surely over
	EndedAttempts    map[string]EndedAttempt
	FirstRuns        map[string]FirstRun      // attempts that were seen running
	FailedJobs       map[string]bool          // jobs whose tasks failed there since one last succeeded
	IdleSince        time.Time                // since when it has no task; zero: it has some
	UnderusedSince   time.Time                // since when its few replicas would fit elsewhere; zero: they don't
	Cordoned         bool                     // it takes no more tasks: it is to be returned
	LastCommandAt    time.Time                // when a fence or a request for a heartbeat was last sent
	TokenSequence    uint64                   // how often its token was raised under this term
	TokenRaisedAt    time.Time                // when last
	Unresponsive     bool                     // its session ended although it was answered: it takes no task until it is heard to obey
	UnheardAnswers   int                      // answers to reports that showed an older term still, in as many rounds
	UnheardAt        time.Time                // when that was last counted
	FencedAt         time.Time                // since when
	LastHeartbeat    [2]uint64                // session and number of its newest report, believed or not; answers to direct commands apart
	PendingLaunches  map[string]PendingLaunch // launches that were answered and not yet seen
	Listed           bool                     // the cloud has listed it
	MissingFromLists int                      // lists in a row that lacked it
	AvoidUntil       time.Time                // it refused a task for want of room: none is put there until then
}

// PendingLaunch counts the answers that carried the launch of an attempt.
type PendingLaunch struct {
	Attempt uint64
	Answers int
	Blocked int // reports in a row that left no room for it, nor any that is being left
}

// NewAgent starts a worker's session under a term. answered is the latest
// time at which an earlier leader can have answered it.
func NewAgent(term uint64, now, answered time.Time) *Agent {
	return &Agent{
		Term:            term,
		CreatedAt:       now,
		LastAnswered:    answered,
		EndedAttempts:   map[string]EndedAttempt{},
		FailedJobs:      map[string]bool{},
		FirstRuns:       map[string]FirstRun{},
		PendingLaunches: map[string]PendingLaunch{},
	}
}

// Token is the token for answers to this worker: the highest that it can have
// seen from us, or it would drop the answer.
func (s *Agent) Token() uint64 { return FencingToken(s.Term, s.TokenSequence) }

// RaiseToken raises the worker's token, which its next answer or command brings.
func (s *Agent) RaiseToken(now time.Time) { s.TokenSequence++; s.TokenRaisedAt = now }

// LastTokenChange is when its worker last saw a higher token from us, as far as is known: by a
// raise, or with the term itself. Another one soon after makes it report no sooner.
func (s *Agent) LastTokenChange() time.Time {
	if s.FencedAt.After(s.TokenRaisedAt) {
		return s.FencedAt
	}
	return s.TokenRaisedAt
}

// IsStale reports whether a heartbeat is no newer than one that came before: a copy
// that comes late. Its sender no longer waits for an answer, and it shows
// nothing about now, not even that the machine lives. So is one of an earlier
// term long after the worker has said that it has seen ours; shortly after, one
// may still be on its way.
func (s *Agent) IsStale(c *api.Heartbeat, now time.Time, flight time.Duration) bool {
	return s.LastHeartbeat != [2]uint64{} && !c.Newer(s.LastHeartbeat[0], s.LastHeartbeat[1]) ||
		s.Fenced && TokenTerm(c.Token) < s.Term && now.Sub(s.FencedAt) > flight
}

// Accept takes what a worker reports if it can be believed: made after the
// worker saw this term. A heartbeat under an older term may have been held back by
// a cut since before our predecessor's last commands, so it shows nothing about
// now. The newest is kept, be it a heartbeat or the answer to a direct command.
func (s *Agent) Accept(c *api.Heartbeat, now time.Time) bool {
	if TokenTerm(c.Token) != s.Term {
		return false
	}
	if s.Heartbeat != nil && c.AgentEpoch > s.Heartbeat.AgentEpoch && !s.Unresponsive {
		// Its lease ran out although we answered, or could have: perhaps it
		// hears nothing. Only a token raised from now on shows that it does.
		s.Unresponsive = true
		s.RaiseToken(now)
	} else if s.Unresponsive && c.Token >= s.Token() {
		s.Unresponsive = false
	}
	s.UnheardAnswers = 0
	if !s.Fenced {
		s.Fenced, s.FencedAt = true, now
	}
	if s.Heartbeat == nil || c.Newer(s.Heartbeat.AgentEpoch, s.Heartbeat.Sequence) {
		s.Heartbeat = c
	}
	return true
}

// IsLeaseExpired reports whether the worker's tasks are surely dead: its lease, counted
// from the last answer it can have accepted, is over.
func (s *Agent) IsLeaseExpired(now time.Time, bound time.Duration) bool {
	return s.Terminated || now.Sub(s.LastAnswered) > bound
}
