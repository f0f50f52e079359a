package job

import (
	"testing"

	"pgregory.net/rapid"
)

// An attempt of a gang against its states: nothing starts before all is held, it never
// goes back, numbers only rise, and what is over or done stays so until the next begins.
func TestGangStates(t *testing.T) {
	order := map[GangPhase]int{GangReserving: 1, GangLaunched: 2, GangStopping: 3, GangEnding: 4, GangDone: 5}
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		g := &Gang{}
		on := map[int]uint64{} // tasks that have a place, as attempt
		last := uint64(0)
		was, try := GangIdle, uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				if !g.AcceptsPlacements() && len(on) > 0 || g.Done {
					t.Skip("all of the attempt has to be over first")
				}
				i := rapid.IntRange(0, n-1).Draw(t, "task")
				if _, there := on[i]; there {
					t.Skip("placed")
				}
				fresh := len(on) == 0
				x := g.BeginAttempt(len(on))
				if fresh && x <= last || !fresh && x != last {
					t.Fatalf("attempt %d after %d, new %t", x, last, fresh)
				}
				last, on[i] = x, x
			},
			"launch": func(_ *rapid.T) {
				if len(on) == n && g.AcceptsPlacements() {
					g.Launch(3)
				}
			},
			"end": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "task")
				x, there := on[i]
				if !there {
					t.Skip("not placed")
				}
				how := ExitReason(rapid.IntRange(0, int(ExitDone)).Draw(t, "how"))
				if how == ExitDone && !g.Launched {
					t.Skip("never started")
				}
				gathering := rapid.Bool().Draw(t, "gathering")
				before := *g
				delete(on, i)
				g.TaskEnded(x, how, gathering)
				switch {
				case how == ExitDone && !g.Done:
					t.Fatal("one is done and not all are")
				case how == ExitPeerLost && before.Launched && !g.Ended && !g.Done:
					t.Fatal("goes on without a task")
				case before.Launched && !gathering && !g.Ended && !g.Done:
					t.Fatal("a running gang goes on without a task")
				case g.ErrorStreak > before.ErrorStreak+1 || before.Ended && g.ErrorStreak > before.ErrorStreak:
					t.Fatal("errors of one attempt count once")
				}
			},
			"late": func(t *rapid.T) { // an end of an attempt that is long over
				if last < 2 || g.Done {
					t.Skip("none")
				}
				before := *g
				if g.TaskEnded(last-1, ExitDone, true); *g != before {
					t.Fatal("an old attempt decides about the new one")
				}
			},
			"halt": func(_ *rapid.T) {
				if g.Phase(len(on)) == GangLaunched {
					g.Stopping = true
				}
			},
			"give up": func(_ *rapid.T) { g.Abandon() },
			"": func(t *rapid.T) {
				p := g.Phase(len(on))
				if g.Attempt == try && order[p] != 0 && order[was] != 0 && order[p] < order[was] {
					t.Fatalf("from %s back to %s", was, p)
				}
				if g.Attempt < try {
					t.Fatal("numbers only rise")
				}
				was, try = p, g.Attempt
				for _, x := range on {
					if g.MayLaunch(x) && (g.MustStop(x) || !g.Launched) {
						t.Fatal("starts what has to leave or is only held")
					}
				}
			},
		})
	})
}

// A record divided into smaller task ranges says of each task what it said before, and a
// later attempt's number is above all earlier ones.
func TestSplitKeepsTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Record{RangeSize: TaskRangeSize(float64(rapid.IntRange(1, 32).Draw(t, "kb")))}
		m.Spec.Tasks = rapid.IntRange(1, 3*m.RangeSize).Draw(t, "pieces")
		chunks := map[int]*TaskRange{}
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			i := rapid.IntRange(0, m.Spec.Tasks-1).Draw(t, "task")
			n := i / m.RangeSize
			if chunks[n] == nil {
				chunks[n] = (*TaskRange)(nil).Copy()
			}
			c, k := chunks[n], i%m.RangeSize
			if c.Done(k) || c.Placements[k] != nil {
				continue
			}
			if try := c.Place(k, "h", 1); rapid.Bool().Draw(t, "done") {
				c.EndAttempt(k, try, true, false)
			}
		}
		for n := range m.RangeCount() {
			if chunks[n].DoneCount() == m.RangeLen(n) {
				m.FinishRange(n)
			}
		}
		old := m.Copy()
		k := m.SplitSize(float64(rapid.IntRange(1, 4).Draw(t, "new kb")))
		if k%2 != 0 || m.RangeSize%k != 0 {
			t.Fatalf("chunks of %d into %d", m.RangeSize, k)
		}
		m.Split(k)
		if m.Complete() != old.Complete() || m.FinishedTasks() != old.FinishedTasks() {
			t.Fatalf("finished %v of %d, were %v of %d", m.FinishedRanges, m.RangeSize, old.FinishedRanges, old.RangeSize)
		}
		for i := range m.Spec.Tasks {
			n, was := i/k, i/old.RangeSize
			if m.RangeFinished(n) != old.RangeFinished(was) {
				t.Fatalf("task %d is finished %t, was %t", i, m.RangeFinished(n), old.RangeFinished(was))
			}
			from := n*k - was*old.RangeSize
			p := chunks[was].Slice(from, m.RangeLen(n))
			if p.Done(i%k) != chunks[was].Done(i%old.RangeSize) ||
				(p.PlacementOf(i%k) == nil) != (chunks[was].PlacementOf(i%old.RangeSize) == nil) {
				t.Fatalf("task %d has changed", i)
			}
			if p != nil && p.LastAttempt < chunks[was].LastAttempt {
				t.Fatal("numbers fall")
			}
		}
	})
}
