package shard

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"violetturn/internal/api"
)

// A shard's free room reads back the same, and after trimming its recorded form
// fits: a record of hundreds of machines must not pass the limit of a value, and
// what is left out has no more room than what stays.
func TestFreeCapacityRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := FreeCapacity{}
		for i := range rapid.IntRange(0, 400).Draw(t, "machines") {
			f[fmt.Sprintf("i-%06d", i)] = [3]float64{
				rapid.Float64Range(0, 96).Draw(t, "cpus"),
				float64(rapid.IntRange(0, 2).Draw(t, "gpus")),
				float64(rapid.IntRange(0, 3).Draw(t, "mem")),
			}
		}
		raw, err := json.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		var g FreeCapacity
		if err := json.Unmarshal(raw, &g); err != nil || cmp.Diff(f, g) != "" {
			t.Fatalf("reads back differently: %v", err)
		}
		size := rapid.IntRange(100, 16<<10).Draw(t, "size")
		n := g.TrimTo(size, nil)
		if raw, err = json.Marshal(g); err != nil || len(raw) > size {
			t.Fatalf("%d bytes of %d, %v", len(raw), size, err)
		}
		if n != len(f)-len(g) {
			t.Fatalf("tells of %d left out, not %d", n, len(f)-len(g))
		}
		most := 0.0
		for h, v := range f {
			if _, in := g[h]; !in {
				most = max(most, v[1])
			}
		}
		for h, v := range g {
			if v[1] < most {
				t.Fatalf("%s stays with %v accelerators, one with %v is left out", h, v[1], most)
			}
		}
	})
}

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

// A worker whose session ends although it was answered counts as deaf until it
// shows a token raised since: reports alone don't show that it hears.
func TestUnresponsiveUntilCommandsAreObeyed(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewAgent(7, now, now)
	report := func(agentEpoch, tick uint64) {
		s.Accept(&api.Heartbeat{AgentEpoch: agentEpoch, Sequence: tick, Token: FencingToken(7, 0)}, now)
	}
	report(1, 1)
	report(1, 2)
	if s.Unresponsive {
		t.Fatal("deaf from the start")
	}
	report(2, 3)
	report(2, 4)
	if !s.Unresponsive || s.Token() <= FencingToken(7, 0) {
		t.Fatal("its lease ran out and it counts as one that hears")
	}
	s.Accept(&api.Heartbeat{AgentEpoch: 2, Sequence: 5, Token: s.Token()}, now)
	if s.Unresponsive {
		t.Fatal("deaf although it has seen the raised token")
	}
}

// Copies of reports, at whatever time and in whatever order, are stale; new ones
// never are. One of an earlier term is believed by nobody.
func TestHeartbeatIsAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		s := NewAgent(7, now, now)
		var old []*api.Heartbeat
		agentEpoch, tick := uint64(1), uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Second)
			if len(old) > 0 && rapid.Bool().Draw(t, "copy") {
				if c := rapid.SampledFrom(old).Draw(t, "which"); !s.IsStale(c, now, 0) {
					t.Fatalf("copy of %d/%d is taken", c.AgentEpoch, c.Sequence)
				}
				continue
			}
			tick += rapid.Uint64Range(1, 3).Draw(t, "ticks")
			if rapid.IntRange(0, 5).Draw(t, "lease") == 0 {
				agentEpoch++
			}
			c := &api.Heartbeat{AgentEpoch: agentEpoch, Sequence: tick, Token: FencingToken(7, s.TokenSequence)}
			if s.IsStale(c, now, 0) {
				t.Fatal("a new report is stale")
			}
			s.LastHeartbeat = [2]uint64{agentEpoch, tick}
			if !s.Accept(c, now) {
				t.Fatal("a new report is not believed")
			}
			old = append(old, c)
		}
		if s.Accept(&api.Heartbeat{AgentEpoch: agentEpoch, Sequence: tick + 1, Token: FencingToken(6, 9)}, now) {
			t.Fatal("a report of an earlier term is believed")
		}
	})
}
