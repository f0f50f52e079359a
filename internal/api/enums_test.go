package api

import (
	"encoding/json"
	"fmt"
	"testing"
)

// Each enumeration value is encoded as its protocol word in JSON and by String, and Known distinguishes
// supported values from others.
func TestEnums_EncodeAsProtocolWords(t *testing.T) {
	type word interface {
		fmt.Stringer
		Known() bool
	}
	for _, test := range []struct {
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
		{CauseUnknownTask, "unknown", true},
		{CausePeerLost, "mates_gone", true},
		{CauseGangIncomplete, "alone", true},
		{ExitCause("melted"), "melted", false},
	} {
		encoded, err := json.Marshal(test.word)
		if err != nil || string(encoded) != `"`+test.text+`"` || test.word.String() != test.text || test.word.Known() != test.known {
			t.Errorf("%s: got JSON %s, known %t, error %v, want JSON %q, known %t",
				test.word, encoded, test.word.Known(), err, test.text, test.known)
		}
	}
}

func TestLevel_OrdersPriorities(t *testing.T) {
	for level, p := range []Priority{Production, Urgent, Standard, Idle} {
		if p.Level() != level {
			t.Errorf("%s has level %d, want %d", p, p.Level(), level)
		}
	}
}

func TestFinal_HoldsForDoneAndCancelled(t *testing.T) {
	for p, final := range map[JobPhase]bool{JobPending: false, JobRunning: false, JobDone: true, JobCancelled: true} {
		if p.Final() != final {
			t.Errorf("%s is final: got %t, want %t", p, p.Final(), final)
		}
	}
}
