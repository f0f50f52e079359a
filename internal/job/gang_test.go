package job

import (
	"testing"

	"pgregory.net/rapid"
)

// gangModel is a gang's attempt with a plain model of its placements.
type gangModel struct {
	gang        *Gang
	placed      map[int]uint64 // attempt numbers of the tasks that have a placement
	lastAttempt uint64

	// as of the check before
	phaseBefore   GangPhase
	attemptBefore uint64
}

const gangModelTasks = 4

func (m *gangModel) put(t *rapid.T) {
	if !m.gang.AcceptsPlacements() && len(m.placed) > 0 || m.gang.Done {
		t.Skip("all of the attempt has to be over first")
	}
	task := rapid.IntRange(0, gangModelTasks-1).Draw(t, "task")
	if _, there := m.placed[task]; there {
		t.Skip("placed")
	}
	fresh := len(m.placed) == 0
	attempt := m.gang.EnsureAttempt(len(m.placed))
	if fresh && attempt <= m.lastAttempt || !fresh && attempt != m.lastAttempt {
		t.Fatalf("attempt %d after %d, new %t", attempt, m.lastAttempt, fresh)
	}
	m.lastAttempt, m.placed[task] = attempt, attempt
}

func (m *gangModel) launch(*rapid.T) {
	if len(m.placed) == gangModelTasks && m.gang.AcceptsPlacements() {
		m.gang.Launch(3)
	}
}

func (m *gangModel) end(t *rapid.T) {
	task := rapid.IntRange(0, gangModelTasks-1).Draw(t, "task")
	attempt, there := m.placed[task]
	if !there {
		t.Skip("not placed")
	}
	reason := ExitReason(rapid.IntRange(0, int(ExitDone)).Draw(t, "how"))
	if reason == ExitDone && !m.gang.Launched {
		t.Skip("never started")
	}
	gathering := rapid.Bool().Draw(t, "gathering")
	before := *m.gang
	delete(m.placed, task)
	m.gang.RecordTaskEnd(attempt, reason, gathering)
	checkTaskEnded(t, &before, m.gang, reason, gathering)
}

// checkTaskEnded checks what the end of a task of the present attempt may change.
func checkTaskEnded(t *rapid.T, before, after *Gang, reason ExitReason, gathering bool) {
	t.Helper()
	goesOn := before.Launched && !after.Ended && !after.Done
	switch {
	case reason == ExitDone && !after.Done:
		t.Fatal("one is done and not all are")
	case reason == ExitPeerLost && goesOn:
		t.Fatal("goes on without a task")
	case !gathering && goesOn:
		t.Fatal("a running gang goes on without a task")
	case after.ErrorStreak > before.ErrorStreak+1 || before.Ended && after.ErrorStreak > before.ErrorStreak:
		t.Fatal("errors of one attempt count once")
	}
}

// late ends a task of an attempt that is long over.
func (m *gangModel) late(t *rapid.T) {
	if m.lastAttempt < 2 || m.gang.Done {
		t.Skip("none")
	}
	before := *m.gang
	if m.gang.RecordTaskEnd(m.lastAttempt-1, ExitDone, true); *m.gang != before {
		t.Fatal("an old attempt decides about the new one")
	}
}

func (m *gangModel) halt(*rapid.T) {
	if m.gang.Phase(len(m.placed)) == GangLaunched {
		m.gang.Stopping = true
	}
}

func (m *gangModel) check(t *rapid.T) {
	phase := m.gang.Phase(len(m.placed))
	sameAttempt := m.gang.Attempt == m.attemptBefore
	if sameAttempt && phase != GangIdle && m.phaseBefore != GangIdle && phase < m.phaseBefore {
		t.Fatalf("from %s back to %s", m.phaseBefore, phase)
	}
	if m.gang.Attempt < m.attemptBefore {
		t.Fatal("numbers only rise")
	}
	m.phaseBefore, m.attemptBefore = phase, m.gang.Attempt
	for _, attempt := range m.placed {
		if m.gang.MayLaunch(attempt) && (m.gang.MustStop(attempt) || !m.gang.Launched) {
			t.Fatal("starts what has to leave or is only reserved")
		}
	}
}

// An attempt of a gang against its states: nothing starts before all is reserved, it never
// goes back, numbers only rise, and what is over or done stays so until the next begins.
func TestGangStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &gangModel{gang: &Gang{}, placed: map[int]uint64{}}
		t.Repeat(map[string]func(*rapid.T){
			"put":     m.put,
			"launch":  m.launch,
			"end":     m.end,
			"late":    m.late,
			"halt":    m.halt,
			"give up": func(*rapid.T) { m.gang.Abandon() },
			"":        m.check,
		})
	})
}

// The values of the phases are in the order in which an attempt goes through them; names in
// the log are distinct.
func TestGangNames(t *testing.T) {
	phases := map[GangPhase]string{
		GangIdle: "idle", GangReserving: "reserving", GangLaunched: "launched",
		GangStopping: "stopping", GangEnding: "ending", GangDone: "done", GangDone + 1: "unknown",
	}
	for phase, name := range phases {
		if phase.String() != name {
			t.Errorf("phase %d is called %s, not %s", uint8(phase), phase, name)
		}
	}
	ordered := []GangPhase{GangReserving, GangLaunched, GangStopping, GangEnding, GangDone}
	for i, phase := range ordered[1:] {
		if ordered[i] >= phase {
			t.Errorf("phases are out of order: %s and %s", ordered[i], phase)
		}
	}
	reasons := map[ExitReason]string{
		ExitLost: "lost", ExitRefused: "refused", ExitError: "error", ExitPeerLost: "peer lost", ExitDone: "done",
		ExitDone + 1: "unknown",
	}
	for reason, name := range reasons {
		if reason.String() != name {
			t.Errorf("reason %d is called %s, not %s", uint8(reason), reason, name)
		}
	}
}
