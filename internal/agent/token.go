package agent

import (
	"time"

	"violetturn/internal/shard"
)

// TokenState is the fencing token of a worker under the leader's term.
type TokenState struct {
	Term          uint64
	TokenSequence uint64 // how often the token was raised under this term

	raisedAt time.Time // when last
}

// Token returns the token for answers to this worker: the highest that it can have
// seen from us, or it would drop the answer.
func (s *TokenState) Token() uint64 { return shard.FencingToken(s.Term, s.TokenSequence) }

// RaiseToken raises the worker's token, which its next answer or command brings.
func (s *TokenState) RaiseToken(now time.Time) { s.TokenSequence++; s.raisedAt = now }
