package api

import (
	"strings"
	"testing"
)

// A heartbeat has to name its machine and its agent epoch.
func TestParseHeartbeat(t *testing.T) {
	for _, x := range []struct {
		name, body string
		taken      bool
	}{
		{"least", `{"host":"i-1","tenure":1}`, true},
		{"unknown fields and words", `{"host":"i-1","tenure":1,"x":[],"pieces":[{"piece":"run-1/0","phase":"thawing"}]}`, true},
		{"empty", "", false},
		{"null", "null", false},
		{"no host", `{"tenure":1}`, false},
		{"no epoch", `{"host":"i-1"}`, false},
		{"epoch below zero", `{"host":"i-1","tenure":-1}`, false},
		{"host that stands in no path", `{"host":"i/1","tenure":1}`, false},
		{"longest host", `{"host":"` + strings.Repeat("i", 100) + `","tenure":1}`, true},
		{"host too long", `{"host":"` + strings.Repeat("i", 101) + `","tenure":1}`, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			h, err := ParseHeartbeat([]byte(x.body))
			if (err == nil) != x.taken || (h != nil) != x.taken {
				t.Errorf("%+v, %v", h, err)
			}
			if err != nil && !isBadRequest(err) {
				t.Errorf("%v is no bad request", err)
			}
		})
	}
}

// Heartbeats are ordered by agent epoch, then by sequence.
func TestNewer(t *testing.T) {
	for _, x := range []struct {
		epoch, sequence uint64
		newer           bool
	}{
		{1, 9, true},
		{2, 4, true},
		{2, 5, false},
		{2, 6, false},
		{3, 1, false},
	} {
		h := &Heartbeat{AgentEpoch: 2, Sequence: 5}
		if h.NewerThan(x.epoch, x.sequence) != x.newer {
			t.Errorf("than epoch %d, sequence %d: not %t", x.epoch, x.sequence, x.newer)
		}
	}
}
