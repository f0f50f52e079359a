package api

import (
	"encoding/json"
	"fmt"
	"testing"
)

// Known words are told from others, and every word is its own text in JSON and in logs.
func TestWords(t *testing.T) {
	type word interface {
		fmt.Stringer
		Known() bool
	}
	for _, x := range []struct {
		word  word
		text  string
		known bool
	}{
		{Array, "sweep", true},
		{Service, "daemon", true},
		{Gang, "ensemble", true},
		{JobKind("gang"), "gang", false},
		{Production, "production", true},
		{Urgent, "urgent", true},
		{Standard, "standard", true},
		{Idle, "idle", true},
		{Priority("high"), "high", false},
		{TaskFetching, "pulling", true},
		{TaskGathering, "gathering", true},
		{TaskRunning, "running", true},
		{TaskSaving, "saving", true},
		{TaskEnded, "ended", true},
		{TaskPhase("melting"), "melting", false},
		{CauseDone, "done", true},
		{CauseStopped, "stopped", true},
		{CauseError, "error", true},
		{CauseInsufficientResources, "no_room", true},
		{CauseBusy, "busy", true},
		{CauseUnknown, "unknown", true},
		{CausePeerLost, "mates_gone", true},
		{CauseGangIncomplete, "alone", true},
		{ExitCause("melted"), "melted", false},
	} {
		encoded, err := json.Marshal(x.word)
		if err != nil || string(encoded) != `"`+x.text+`"` || x.word.String() != x.text || x.word.Known() != x.known {
			t.Errorf("%s, in JSON %s, known %t: %v", x.word, encoded, x.word.Known(), err)
		}
	}
}

// Priorities are ordered from the most important one.
func TestPriorityLevel(t *testing.T) {
	for level, p := range []Priority{Production, Urgent, Standard, Idle} {
		if p.Level() != level {
			t.Errorf("%s has level %d", p, p.Level())
		}
	}
}

// Only done and cancelled are final.
func TestFinalPhases(t *testing.T) {
	for p, final := range map[JobPhase]bool{JobPending: false, JobRunning: false, JobDone: true, JobCancelled: true} {
		if p.Final() != final {
			t.Errorf("%s is final: %t", p, p.Final())
		}
	}
}
