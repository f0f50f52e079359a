package agent

import (
	"time"

	"violetturn/internal/shard"
)

// TokenState is the fencing token of a worker under the leader's term.
type TokenState struct {
	Term          uint64
	TokenSequence uint64 // number of times that the token was raised under this term

	lastRaisedAt time.Time // when the token was last raised
}

// Token returns the token for responses to this worker. It is the highest token that the worker can
// have received from this leader; the worker would drop a response with a lower one.
func (s *TokenState) Token() uint64 { return shard.FencingToken(s.Term, s.TokenSequence) }

// RaiseToken raises the worker's token. The next response or direct command contains the raised
// token.
func (s *TokenState) RaiseToken(now time.Time) { s.TokenSequence++; s.lastRaisedAt = now }
