package api

import (
	"strings"
	"testing"
)

func TestParseHeartbeatRequiresHostAndAgentEpoch(t *testing.T) {
	for _, test := range []struct {
		name, body string
		valid      bool
	}{
		{"required fields only", `{"host":"i-1","tenure":1}`, true},
		{"unknown fields and enum values", `{"host":"i-1","tenure":1,"x":[],"pieces":[{"piece":"run-1/0","phase":"thawing"}]}`, true},
		{"empty", "", false},
		{"null", "null", false},
		{"no host", `{"tenure":1}`, false},
		{"no epoch", `{"host":"i-1"}`, false},
		{"epoch below zero", `{"host":"i-1","tenure":-1}`, false},
		{"host with a character not allowed in paths", `{"host":"i/1","tenure":1}`, false},
		{"longest host", `{"host":"` + strings.Repeat("i", 100) + `","tenure":1}`, true},
		{"host too long", `{"host":"` + strings.Repeat("i", 101) + `","tenure":1}`, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, err := ParseHeartbeat([]byte(test.body))
			if (err == nil) != test.valid || (h != nil) != test.valid {
				t.Errorf("got heartbeat %+v and error %v, want it accepted: %t", h, err, test.valid)
			}
			if err != nil && !isBadRequest(err) {
				t.Errorf("got error %v, want a bad request", err)
			}
		})
	}
}

func TestNewerThanComparesAgentEpochThenSequence(t *testing.T) {
	for _, test := range []struct {
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
		if h.NewerThan(test.epoch, test.sequence) != test.newer {
			t.Errorf("newer than agent epoch %d, sequence %d: got %t, want %t",
				test.epoch, test.sequence, !test.newer, test.newer)
		}
	}
}
