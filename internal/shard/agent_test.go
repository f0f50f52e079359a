package shard

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
)

// A worker whose agent epoch ends although it was answered counts as unresponsive until it
// shows a token raised since: heartbeats alone don't show that it receives answers.
func TestUnresponsiveUntilCommandsAreObeyed(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewAgent(7, now, now)
	report := func(agentEpoch, tick uint64) {
		s.Accept(&api.Heartbeat{AgentEpoch: agentEpoch, Sequence: tick, Token: FencingToken(7, 0)}, now)
	}
	report(1, 1)
	report(1, 2)
	if s.Unresponsive {
		t.Fatal("unresponsive from the start")
	}
	report(2, 3)
	report(2, 4)
	if !s.Unresponsive || s.Token() <= FencingToken(7, 0) {
		t.Fatal("its lease expired and it counts as one that receives answers")
	}
	s.Accept(&api.Heartbeat{AgentEpoch: 2, Sequence: 5, Token: s.Token()}, now)
	if s.Unresponsive {
		t.Fatal("unresponsive although it has seen the raised token")
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
