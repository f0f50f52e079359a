package zonehealth

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"violetturn/internal/sched"
)

func testLimits() *Limits {
	return &Limits{
		SuspectShare: 0.25, DownShare: 0.5, ConfirmAfter: 5 * time.Second, InitialShare: 1. / 16, MinInitialShare: 1. / 64,
		DoublingInterval: 5 * time.Second, MaxStateDuration: 80 * time.Second,
	}
}

// recordStore is a record under conditional write.
type recordStore struct {
	record  Record
	version int
}

// testController sees some machines of the zone, keeps a copy of the record and writes what it
// makes of it, on the version that it read.
type testController struct {
	shard       string
	observation Observation
	hasObserver bool
	read        Record
	version     int
}

func (c *testController) catchUp(s *recordStore) { c.read, c.version = s.record, s.version }

// write judges by the copy, and reports whether the store took it.
func (c *testController) write(s *recordStore, now time.Time) bool {
	with := c.read.WithObservation(c.shard, c.observation)
	next := with.Evaluate(now, c.hasObserver, testLimits())
	if c.version != s.version {
		return false
	}
	s.record = next
	s.version++
	c.catchUp(s)
	return true
}

// checkStep checks what may change from one record to the next.
func checkStep(t *rapid.T, before, after *Record, hasObserver bool) {
	if after.Transitions < before.Transitions {
		t.Fatalf("the number of transitions falls from %d to %d", before.Transitions, after.Transitions)
	}
	if after.State == Down && before.State != Down && !hasObserver {
		t.Fatal("down without an observer")
	}
	turned := after.State != before.State && (after.RestrictsPlacement() || before.State == Down)
	if turned && after.Transitions == before.Transitions {
		t.Fatalf("%s to %s without a transition counted", before.State, after.State)
	}
	if after.RestrictsPlacement() && after.SlowStartShare > testLimits().InitialShare {
		t.Fatalf("a slow start begins with %g", after.SlowStartShare)
	}
}

// Three controllers see machines lost and found in any order, read late, write with old
// views and lose their observer: the number of transitions only rises, nobody without an observer has the
// zone down, each failure soon after another halves the slow start, and once nothing more
// happens the zone is open to all work within three times the longest a state lasts.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &recordStore{}
		now := time.Unix(1_800_000_000, 0)
		var nodes []*testController
		for i := range 3 {
			nodes = append(nodes, &testController{shard: fmt.Sprintf("n%d", i)})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second)
			c := nodes[rapid.IntRange(0, 2).Draw(t, "controller")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				all := rapid.IntRange(0, 40).Draw(t, "machines")
				up := rapid.IntRange(0, all).Draw(t, "up")
				c.observation = Observation{Healthy: up, Lost: all - up, RentalsRefused: rapid.Bool().Draw(t, "refused")}
				if up < all && rapid.Bool().Draw(t, "waiting") {
					c.observation.WaitingProduction = []Demand{{Need: sched.Resources{CPUs: 4, GPUs: 1, MemGB: 29}, Tasks: all - up}}
				}
			case 1:
				c.hasObserver = rapid.Bool().Draw(t, "observer")
			case 2:
				c.catchUp(s)
			case 3:
				before := s.record
				stale := c.version != s.version
				if c.write(s, now) == stale {
					t.Fatal("a write on an old version was taken, or one on the newest refused")
				}
				checkStep(t, &before, &s.record, c.hasObserver)
			}
		}
		open := false
		for range 300 { // nothing more happens
			now = now.Add(time.Second)
			for _, c := range nodes {
				c.catchUp(s)
				before := s.record
				c.write(s, now)
				checkStep(t, &before, &s.record, c.hasObserver)
			}
			open = open || s.record.AdmissionShare(now, testLimits()) >= 1
		}
		if !open {
			t.Fatalf("work below production is kept out for ever: %+v", s.record)
		}
	})
}

// sequence returns the record after what one leader observes, and the states on the way.
func sequence(hasObserver bool, observations ...Observation) (r Record, states []State) {
	now := time.Unix(1_800_000_000, 0)
	for _, s := range observations {
		r = r.WithObservation("p", s)
		r = r.Evaluate(now, hasObserver, testLimits())
		states = append(states, r.State)
		now = now.Add(6 * time.Second)
	}
	return r, states
}

// The zone's ways: down and back; back by half; back and down again, the second time in
// the middle of the recovery.
func TestSequences(t *testing.T) {
	well, lost, half := Observation{Healthy: 20}, Observation{Lost: 20}, Observation{Healthy: 10, Lost: 10}
	few := Observation{Healthy: 4, Lost: 16}
	for _, x := range []struct {
		name           string
		hasObserver    bool
		observations   []Observation
		states         []State
		transitions    uint64
		slowStartShare float64
	}{
		{"down and back", true, []Observation{well, lost, lost, well}, []State{"", Suspect, Down, Recovering}, 2, 1. / 16},
		{"half returns", true, []Observation{well, lost, lost, half, half}, []State{"", Suspect, Down, Recovering, Recovering}, 2, 1. / 16},
		{
			"down again in the recovery", true,
			[]Observation{lost, lost, few, half, lost},
			[]State{Suspect, Down, Recovering, Recovering, Down},
			3, 1. / 32,
		},
		{"a short loss", true, []Observation{well, lost, well}, []State{"", Suspect, Healthy}, 0, 0},
		{
			"one zone only, or cut off itself", false,
			[]Observation{lost, lost, lost, lost},
			[]State{Suspect, Suspect, Suspect, Suspect},
			0, 0,
		},
		{"two machines", true, []Observation{{Lost: 2}, {Lost: 2}}, []State{"", ""}, 0, 0},
		{"all given up", true, []Observation{lost, lost, {}}, []State{Suspect, Down, Recovering}, 2, 1. / 16},
		{
			"a new leader has heard of nobody yet", true,
			[]Observation{lost, lost, {Unclear: 20}, {Unclear: 15, Lost: 5}, lost},
			[]State{Suspect, Down, Down, Down, Down},
			1, 1. / 16,
		},
		{
			"a new leader hears of some", true,
			[]Observation{lost, lost, {Unclear: 20}, {Unclear: 15, Healthy: 5}},
			[]State{Suspect, Down, Down, Recovering},
			2, 1. / 16,
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			r, states := sequence(x.hasObserver, x.observations...)
			if d := cmp.Diff(x.states, states); d != "" {
				t.Error(d)
			}
			if r.Transitions != x.transitions || r.SlowStartShare != x.slowStartShare {
				t.Errorf("%d transitions, slow start with %g", r.Transitions, r.SlowStartShare)
			}
		})
	}
}

// A slow start opens the zone step by step, the same for all who read the record.
func TestAdmissionShare(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	recovering := Record{State: Recovering, SinceMS: at.UnixMilli(), SlowStartShare: 1. / 16}
	waiting := Observation{Lost: 1, WaitingProduction: []Demand{{Need: sched.Resources{CPUs: 4, GPUs: 1, MemGB: 29}, Tasks: 1}}}
	served := recovering.WithObservation("n0", Observation{Healthy: 9, Lost: 1})
	unserved := recovering.WithObservation("n0", waiting)
	for _, x := range []struct {
		name   string
		record Record
		after  time.Duration
		share  float64
	}{
		{"nearly all back, nothing waits", served, 4 * time.Second, 1. / 2},
		{"before the start, by another clock", unserved, -time.Second, 1. / 16},
		{"at the start", unserved, 0, 1. / 16},
		{"doubled once", unserved, 5 * time.Second, 1. / 8},
		{"doubled twice", unserved, 11 * time.Second, 1. / 4},
		{"open", unserved, 20 * time.Second, 1},
		{"long open", unserved, time.Hour, 1},
		{"down", Record{State: Down}, 0, 0},
		{"healthy", Record{}, 0, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			if got := x.record.AdmissionShare(at.Add(x.after), testLimits()); got != x.share {
				t.Errorf("%g, not %g", got, x.share)
			}
		})
	}
}

// The record reads back the same, and what a later version adds does not harm.
func TestRecordForm(t *testing.T) {
	waiting := []Demand{{Need: sched.Resources{CPUs: 4, GPUs: 1, MemGB: 29}, Spot: true, Tasks: 3}}
	r := Record{
		State: Down, Transitions: 7, SinceMS: 3, LastFailedMS: 2, SlowStartShare: 0.25, MachinesBeforeFailure: 9, HealthyWatermark: 1,
		Observations: map[string]Observation{"n0": {Healthy: 1, Lost: 8, RentalsRefused: true, WaitingProduction: waiting}},
	}
	raw, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var back Record
	if err := json.Unmarshal(raw, &back); err != nil || cmp.Diff(r, back) != "" {
		t.Error(err, cmp.Diff(r, back))
	}
	const form = `{"s":"down","n":7,"at":3,"f":2,"w":0.25,"b":9,"m":1,` +
		`"p":{"n0":{"u":1,"x":8,"f":true,"w":[{"r":[4,1,29],"l":true,"n":3}]}}}`
	if string(raw) != form {
		t.Errorf("recorded as %s", raw)
	}
}
