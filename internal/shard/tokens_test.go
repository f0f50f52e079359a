package shard

import (
	"testing"

	"pgregory.net/rapid"
)

// Tokens of a later term are above all of an earlier one, and tell their term.
func TestFencingToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		term := rapid.Uint64Range(1, 1<<40).Draw(t, "term")
		a, b := FencingToken(term, rapid.Uint64().Draw(t, "raises")), FencingToken(term+1, 0)
		if TokenTerm(a) != term || TokenTerm(b) != term+1 || a >= b {
			t.Fatalf("%d %d", a, b)
		}
	})
}
