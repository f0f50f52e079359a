package shard

import (
	"testing"

	"pgregory.net/rapid"
)

// A token of a later term is higher than any token of an earlier term, and TokenTerm returns the
// term.
func TestFencingTokenRisesWithTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		term := rapid.Uint64Range(1, 1<<40).Draw(t, "term")
		token, nextTermToken := FencingToken(term, rapid.Uint64().Draw(t, "sequence")), FencingToken(term+1, 0)
		if TokenTerm(token) != term || TokenTerm(nextTermToken) != term+1 || token >= nextTermToken {
			t.Fatalf("token %d has term %d, first token %d of the next term has term %d; want terms %d and %d, and the latter token higher",
				token, TokenTerm(token), nextTermToken, TokenTerm(nextTermToken), term, term+1)
		}
	})
}
