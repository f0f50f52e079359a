package shard

// sequenceBits is the number of low bits of a fencing token that count its raises within a term.
const sequenceBits = 20

// FencingToken returns the token of a term after the given number of raises. Terms rise
// globally, so every token of a later term is above all of an earlier one; within its
// term a leader raises a worker's token to have it send a heartbeat, or to see whether it
// receives answers.
func FencingToken(term, raises uint64) uint64 {
	return term<<sequenceBits | min(raises, 1<<sequenceBits-1)
}

// TokenTerm returns the term of a token.
func TokenTerm(token uint64) uint64 { return token >> sequenceBits }
