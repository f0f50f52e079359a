package job

import (
	"testing"

	"pgregory.net/rapid"
)

// gangModel is a gang together with a simple model of its placements.
type gangModel struct {
	gang        *Gang
	placed      map[int]uint64 // attempt numbers of the placed tasks
	lastAttempt uint64

	// State at the previous check.
	phaseBefore   GangPhase
	attemptBefore uint64
}

// gangModelTasks is the number of tasks of the gang in a gangModel.
const gangModelTasks = 4

func (m *gangModel) place(t *rapid.T) {
	if !m.gang.AcceptsPlacements() && len(m.placed) > 0 || m.gang.Done {
		t.Skip("the attempt accepts no placements until all its tasks have exited")
	}
	task := rapid.IntRange(0, gangModelTasks-1).Draw(t, "task")
	if _, placed := m.placed[task]; placed {
		t.Skip("the task is placed already")
	}
	firstPlacement := len(m.placed) == 0
	attempt := m.gang.EnsureAttempt(len(m.placed))
	if firstPlacement && attempt <= m.lastAttempt || !firstPlacement && attempt != m.lastAttempt {
		t.Fatalf("EnsureAttempt() = %d after attempt %d (first placement: %t), want a higher number for the first placement, else the same",
			attempt, m.lastAttempt, firstPlacement)
	}
	m.lastAttempt, m.placed[task] = attempt, attempt
}

func (m *gangModel) launch(*rapid.T) {
	if len(m.placed) == gangModelTasks && m.gang.AcceptsPlacements() {
		m.gang.Launch(3)
	}
}

func (m *gangModel) endTask(t *rapid.T) {
	task := rapid.IntRange(0, gangModelTasks-1).Draw(t, "task")
	attempt, placed := m.placed[task]
	if !placed {
		t.Skip("the task is not placed")
	}
	reason := ExitReason(rapid.IntRange(0, int(ExitDone)).Draw(t, "reason"))
	if reason == ExitDone && !m.gang.Launched {
		t.Skip("a task that was never started can't complete")
	}
	gathering := rapid.Bool().Draw(t, "gathering")
	before := *m.gang
	delete(m.placed, task)
	m.gang.RecordTaskEnd(attempt, reason, gathering)
	checkTaskEnded(t, &before, m.gang, reason, gathering)
}

// checkTaskEnded checks the change of the state by the end of a task of the current attempt.
func checkTaskEnded(t *rapid.T, before, after *Gang, reason ExitReason, gathering bool) {
	t.Helper()
	continues := before.Launched && !after.Ended && !after.Done
	switch {
	case reason == ExitDone && !after.Done:
		t.Fatalf("state after a task was done: %+v, want the gang done", *after)
	case reason == ExitPeerLost && continues:
		t.Fatalf("state after a task exited because of another task: %+v, want the attempt ended", *after)
	case !gathering && continues:
		t.Fatalf("state after a running attempt lost a task: %+v, want the attempt ended", *after)
	case after.ErrorStreak > before.ErrorStreak+1 || before.Ended && after.ErrorStreak > before.ErrorStreak:
		t.Fatalf("ErrorStreak rose from %d to %d, want errors of one attempt to count once", before.ErrorStreak, after.ErrorStreak)
	}
}

// endTaskOfEarlierAttempt reports the end of a task of the previous attempt.
func (m *gangModel) endTaskOfEarlierAttempt(t *rapid.T) {
	if m.lastAttempt < 2 || m.gang.Done {
		t.Skip("there is no earlier attempt, or the gang is done")
	}
	before := *m.gang
	if m.gang.RecordTaskEnd(m.lastAttempt-1, ExitDone, true); *m.gang != before {
		t.Fatalf("state after a task of an earlier attempt ended: %+v, want it unchanged: %+v", *m.gang, before)
	}
}

func (m *gangModel) stop(*rapid.T) {
	if m.gang.Phase(len(m.placed)) == GangLaunched {
		m.gang.Stopping = true
	}
}

func (m *gangModel) check(t *rapid.T) {
	phase := m.gang.Phase(len(m.placed))
	sameAttempt := m.gang.Attempt == m.attemptBefore
	if sameAttempt && phase != GangIdle && m.phaseBefore != GangIdle && phase < m.phaseBefore {
		t.Fatalf("phase %s after %s within one attempt, want no earlier phase", phase, m.phaseBefore)
	}
	if m.gang.Attempt < m.attemptBefore {
		t.Fatalf("attempt %d after %d, want no lower number", m.gang.Attempt, m.attemptBefore)
	}
	m.phaseBefore, m.attemptBefore = phase, m.gang.Attempt
	for _, attempt := range m.placed {
		if m.gang.MayLaunch(attempt) && (m.gang.MustStop(attempt) || !m.gang.Launched) {
			t.Fatalf("MayLaunch(%d) = true with MustStop() = %t and Launched = %t, want false",
				attempt, m.gang.MustStop(attempt), m.gang.Launched)
		}
	}
}

// Random changes of a gang keep its invariants: no task may be launched before all are placed, an
// attempt never returns to an earlier phase, attempt numbers only rise, and an ended attempt stays
// ended until the next one begins.
func TestGangKeepsInvariantsOfPhasesAndAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &gangModel{gang: &Gang{}, placed: map[int]uint64{}}
		t.Repeat(map[string]func(*rapid.T){
			"place":          m.place,
			"launch":         m.launch,
			"end task":       m.endTask,
			"late end":       m.endTaskOfEarlierAttempt,
			"halt":           m.stop,
			"gang abandoned": func(*rapid.T) { m.gang.Abandon() },
			"":               m.check,
		})
	})
}

// The values of the phases are in the order in which an attempt passes through them, and each phase
// and exit reason has its own name in the log.
func TestGangPhaseAndExitReasonNamesAndOrder(t *testing.T) {
	phases := map[GangPhase]string{
		GangIdle: "idle", GangReserving: "reserving", GangLaunched: "launched",
		GangStopping: "stopping", GangEnding: "ending", GangDone: "done", GangDone + 1: "unknown",
	}
	for phase, name := range phases {
		if phase.String() != name {
			t.Errorf("GangPhase(%d).String() = %s, want %s", uint8(phase), phase, name)
		}
	}
	ordered := []GangPhase{GangReserving, GangLaunched, GangStopping, GangEnding, GangDone}
	for i, phase := range ordered[1:] {
		if ordered[i] >= phase {
			t.Errorf("phase %s has a value not above that of %s", phase, ordered[i])
		}
	}
	reasons := map[ExitReason]string{
		ExitLost: "lost", ExitRefused: "refused", ExitError: "error", ExitPeerLost: "peer lost", ExitDone: "done",
		ExitDone + 1: "unknown",
	}
	for reason, name := range reasons {
		if reason.String() != name {
			t.Errorf("ExitReason(%d).String() = %s, want %s", uint8(reason), reason, name)
		}
	}
}
