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

// recordStore holds a record that is updated by conditional writes.
type recordStore struct {
	record  Record
	version int
}

// testController observes some machines of the zone. It caches the record, evaluates the cached copy
// and writes the result on the condition that the version has not changed.
type testController struct {
	shard         string
	observation   Observation
	hasObserver   bool
	cached        Record
	cachedVersion int
}

func (c *testController) refresh(store *recordStore) {
	c.cached, c.cachedVersion = store.record, store.version
}

// evaluateAndWrite evaluates the cached record, and reports whether the store accepted the write.
func (c *testController) evaluateAndWrite(store *recordStore, now time.Time) bool {
	updated := c.cached.WithObservation(c.shard, c.observation)
	next := updated.Evaluate(now, c.hasObserver, testLimits())
	if c.cachedVersion != store.version {
		return false
	}
	store.record = next
	store.version++
	c.refresh(store)
	return true
}

// checkStep checks the invariants between two successive records.
func checkStep(t *rapid.T, before, after *Record, hasObserver bool) {
	if after.Transitions < before.Transitions {
		t.Fatalf("Transitions decreased from %d to %d", before.Transitions, after.Transitions)
	}
	if after.State == Down && before.State != Down && !hasObserver {
		t.Fatalf("zone entered Down from %s without an observer, want no such change", before.State)
	}
	placementChanged := after.State != before.State && (after.RestrictsPlacement() || before.State == Down)
	if placementChanged && after.Transitions == before.Transitions {
		t.Fatalf("state changed from %s to %s with Transitions = %d, want an increase", before.State, after.State, after.Transitions)
	}
	if after.RestrictsPlacement() && after.SlowStartShare > testLimits().InitialShare {
		t.Fatalf("SlowStartShare = %g, want at most %g", after.SlowStartShare, testLimits().InitialShare)
	}
}

// Three controllers observe machines lost and returned in any order, read late, write from old copies
// and lose their observer. Transitions never decreases, no controller without an observer declares
// the zone down, the slow start share never exceeds its initial value, and once nothing changes any
// more the zone is open to all work within 300 seconds (the maximum duration of a state is 80).
func TestEvaluateInAnyOrderReopensZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &recordStore{}
		now := time.Unix(1_800_000_000, 0)
		var controllers []*testController
		for i := range 3 {
			controllers = append(controllers, &testController{shard: fmt.Sprintf("n%d", i)})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second)
			c := controllers[rapid.IntRange(0, 2).Draw(t, "controller")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				machines := rapid.IntRange(0, 40).Draw(t, "machines")
				healthy := rapid.IntRange(0, machines).Draw(t, "up")
				c.observation = Observation{Healthy: healthy, Lost: machines - healthy, RentalsRefused: rapid.Bool().Draw(t, "refused")}
				if healthy < machines && rapid.Bool().Draw(t, "waiting") {
					c.observation.WaitingProduction = []Demand{
						{Need: sched.Resources{CPUs: 4, GPUs: 1, MemGB: 29}, Tasks: machines - healthy},
					}
				}
			case 1:
				c.hasObserver = rapid.Bool().Draw(t, "observer")
			case 2:
				c.refresh(store)
			case 3:
				before := store.record
				stale := c.cachedVersion != store.version
				if c.evaluateAndWrite(store, now) == stale {
					t.Fatalf("write from a cached copy accepted: %t, want %t; copy outdated: %t", stale, !stale, stale)
				}
				checkStep(t, &before, &store.record, c.hasObserver)
			}
		}
		opened := false
		for range 300 { // no further changes
			now = now.Add(time.Second)
			for _, c := range controllers {
				c.refresh(store)
				before := store.record
				c.evaluateAndWrite(store, now)
				checkStep(t, &before, &store.record, c.hasObserver)
			}
			opened = opened || store.record.AdmissionShare(now, testLimits()) >= 1
		}
		if !opened {
			t.Fatalf("work below production is still restricted after 300 seconds without changes, want no restriction: %+v", store.record)
		}
	})
}

// evaluateSequence returns the record after a sequence of observations of one leader, six seconds
// apart, and the state after each of them.
func evaluateSequence(hasObserver bool, observations ...Observation) (r Record, states []State) {
	now := time.Unix(1_800_000_000, 0)
	for _, observation := range observations {
		r = r.WithObservation("p", observation)
		r = r.Evaluate(now, hasObserver, testLimits())
		states = append(states, r.State)
		now = now.Add(6 * time.Second)
	}
	return r, states
}

// The sequences of states of a zone: failure and return, return of half of the machines, a second
// failure during the recovery, and losses after which the zone must not go down.
func TestEvaluateStateSequences(t *testing.T) {
	allHealthy, allLost, halfHealthy := Observation{Healthy: 20}, Observation{Lost: 20}, Observation{Healthy: 10, Lost: 10}
	fourHealthy := Observation{Healthy: 4, Lost: 16}
	for _, test := range []struct {
		name           string
		hasObserver    bool
		observations   []Observation
		states         []State
		transitions    uint64
		slowStartShare float64
	}{
		{"down and up", true, []Observation{allHealthy, allLost, allLost, allHealthy}, []State{"", Suspect, Down, Recovering}, 2, 1. / 16},
		{
			"half returns", true,
			[]Observation{allHealthy, allLost, allLost, halfHealthy, halfHealthy},
			[]State{"", Suspect, Down, Recovering, Recovering},
			2, 1. / 16,
		},
		{
			"down again in the recovery", true,
			[]Observation{allLost, allLost, fourHealthy, halfHealthy, allLost},
			[]State{Suspect, Down, Recovering, Recovering, Down},
			3, 1. / 32,
		},
		{"short loss", true, []Observation{allHealthy, allLost, allHealthy}, []State{"", Suspect, Healthy}, 0, 0},
		{
			"only one zone, or controller partitioned", false,
			[]Observation{allLost, allLost, allLost, allLost},
			[]State{Suspect, Suspect, Suspect, Suspect},
			0, 0,
		},
		{"two machines", true, []Observation{{Lost: 2}, {Lost: 2}}, []State{"", ""}, 0, 0},
		{"all lost machines removed", true, []Observation{allLost, allLost, {}}, []State{Suspect, Down, Recovering}, 2, 1. / 16},
		{
			"new leader without heartbeats", true,
			[]Observation{allLost, allLost, {Unclear: 20}, {Unclear: 15, Lost: 5}, allLost},
			[]State{Suspect, Down, Down, Down, Down},
			1, 1. / 16,
		},
		{
			"new leader with some heartbeats", true,
			[]Observation{allLost, allLost, {Unclear: 20}, {Unclear: 15, Healthy: 5}},
			[]State{Suspect, Down, Down, Recovering},
			2, 1. / 16,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, states := evaluateSequence(test.hasObserver, test.observations...)
			if diff := cmp.Diff(test.states, states); diff != "" {
				t.Errorf("states differ (-want +got):\n%s", diff)
			}
			if r.Transitions != test.transitions || r.SlowStartShare != test.slowStartShare {
				t.Errorf(
					"Transitions = %d, SlowStartShare = %g; want %d, %g",
					r.Transitions, r.SlowStartShare, test.transitions, test.slowStartShare,
				)
			}
		})
	}
}

// A slow start opens the zone in steps, and every reader of the record computes the same share.
func TestAdmissionShareDoublesUntilOpen(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	recovering := Record{State: Recovering, SinceMS: start.UnixMilli(), SlowStartShare: 1. / 16}
	waiting := Observation{Lost: 1, WaitingProduction: []Demand{{Need: sched.Resources{CPUs: 4, GPUs: 1, MemGB: 29}, Tasks: 1}}}
	nearlyRecovered := recovering.WithObservation("n0", Observation{Healthy: 9, Lost: 1})
	withWaitingProduction := recovering.WithObservation("n0", waiting)
	for _, test := range []struct {
		name   string
		record Record
		after  time.Duration
		share  float64
	}{
		{"nearly all returned, nothing waits", nearlyRecovered, 4 * time.Second, 1. / 2},
		{"before the start because of clock skew", withWaitingProduction, -time.Second, 1. / 16},
		{"at the start", withWaitingProduction, 0, 1. / 16},
		{"doubled once", withWaitingProduction, 5 * time.Second, 1. / 8},
		{"doubled twice", withWaitingProduction, 11 * time.Second, 1. / 4},
		{"open", withWaitingProduction, 20 * time.Second, 1},
		{"long open", withWaitingProduction, time.Hour, 1},
		{"down", Record{State: Down}, 0, 0},
		{"healthy", Record{}, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.record.AdmissionShare(start.Add(test.after), testLimits()); got != test.share {
				t.Errorf("AdmissionShare() = %g, want %g", got, test.share)
			}
		})
	}
}

// A record has a fixed JSON encoding, and is decoded to the same value.
func TestRecordJSONRoundTrip(t *testing.T) {
	waiting := []Demand{{Need: sched.Resources{CPUs: 4, GPUs: 1, MemGB: 29}, Spot: true, Tasks: 3}}
	r := Record{
		State: Down, Transitions: 7, SinceMS: 3, LastFailedMS: 2, SlowStartShare: 0.25, MachinesBeforeFailure: 9, HealthyWatermark: 1,
		Observations: map[string]Observation{"n0": {Healthy: 1, Lost: 8, RentalsRefused: true, WaitingProduction: waiting}},
	}
	raw, err := json.Marshal(r)
	if err != nil {
		t.Fatalf("Marshal() = %v, want no error", err)
	}
	var decoded Record
	if err := json.Unmarshal(raw, &decoded); err != nil || cmp.Diff(r, decoded) != "" {
		t.Errorf("Unmarshal() = %v, want no error; record differs (-want +got):\n%s", err, cmp.Diff(r, decoded))
	}
	const encoded = `{"s":"down","n":7,"at":3,"f":2,"w":0.25,"b":9,"m":1,` +
		`"p":{"n0":{"u":1,"x":8,"f":true,"w":[{"r":[4,1,29],"l":true,"n":3}]}}}`
	if string(raw) != encoded {
		t.Errorf("Marshal() = %s, want %s", raw, encoded)
	}
}
