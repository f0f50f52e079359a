package agent

import (
	"time"

	"violetturn/internal/shard"
)

// TokenState is the fencing token of a worker under the leader's term.
type TokenState struct {
	Term          uint64
	TokenSequence uint64 // number of times that the token was raised under this term

	lastRaisedAt    time.Time // when the token was last raised
	lastLaunchToken uint64    // token of the last response that launched a task; 0: none
}

// Token returns the token for responses to this worker. It is the highest token that the worker can
// have received from this leader; the worker would drop a response with a lower one.
func (s *TokenState) Token() uint64 { return shard.FencingToken(s.Term, s.TokenSequence) }

// RecordLaunch records that the next response launches a task.
func (s *TokenState) RecordLaunch() { s.lastLaunchToken = s.Token() }

// LaunchesFenced reports whether the worker will drop a copy of any response that launched a task,
// once it has received a message with the current token. Only then may it forget an attempt: a copy
// that it accepted would start the attempt again.
func (s *TokenState) LaunchesFenced() bool { return s.Token() > s.lastLaunchToken }

// RaiseToken raises the worker's token. The next response or direct command contains the raised
// token.
func (s *TokenState) RaiseToken(now time.Time) { s.TokenSequence++; s.lastRaisedAt = now }
