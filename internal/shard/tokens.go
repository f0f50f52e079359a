package shard

// sequenceBits is the number of low bits of a fencing token that hold its sequence number within a
// term.
const sequenceBits = 20

// MaxTerm is the highest term for which there are fencing tokens.
const MaxTerm = 1<<(64-sequenceBits) - 1

// FencingToken returns the fencing token with the given sequence number within a term. Terms rise
// globally, so every token of a later term is higher than all tokens of an earlier one. Within
// its term, a leader increments a worker's sequence number to make the worker send a heartbeat,
// or to check whether the worker receives responses. A sequence number that does not fit into
// sequenceBits bits is replaced by the highest that does.
func FencingToken(term, sequence uint64) uint64 {
	return term<<sequenceBits | min(sequence, 1<<sequenceBits-1)
}

// TokenTerm returns the term of a token.
func TokenTerm(token uint64) uint64 { return token >> sequenceBits }
