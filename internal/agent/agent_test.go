package agent

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/shard"
)

// A worker whose agent epoch ends although it was answered counts as unresponsive until it
// shows a token raised since: heartbeats alone don't show that it receives answers.
func TestUnresponsiveUntilCommandsAreObeyed(t *testing.T) {
	now := time.Unix(0, 0)
	a := New(7, now, now)
	accept := func(agentEpoch, sequence uint64) {
		a.Accept(&api.Heartbeat{AgentEpoch: agentEpoch, Sequence: sequence, Token: shard.FencingToken(7, 0)}, now)
	}
	accept(1, 1)
	accept(1, 2)
	if a.Unresponsive() {
		t.Fatal("unresponsive from the start")
	}
	accept(2, 3)
	accept(2, 4)
	if !a.Unresponsive() || a.Token() <= shard.FencingToken(7, 0) {
		t.Fatal("its lease expired and it counts as one that receives answers")
	}
	a.Accept(&api.Heartbeat{AgentEpoch: 2, Sequence: 5, Token: a.Token()}, now)
	if a.Unresponsive() {
		t.Fatal("unresponsive although it has seen the raised token")
	}
}

// Copies of heartbeats, at whatever time and in whatever order, are stale; new ones
// never are. One of an earlier term is believed by nobody.
func TestHeartbeatIsAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		a := New(7, now, now)
		var old []*api.Heartbeat
		agentEpoch, sequence := uint64(1), uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "heartbeats") {
			now = now.Add(time.Second)
			if len(old) > 0 && rapid.Bool().Draw(t, "copy") {
				if h := rapid.SampledFrom(old).Draw(t, "which"); !a.IsStale(h, now, 0) {
					t.Fatalf("copy of %d/%d is taken", h.AgentEpoch, h.Sequence)
				}
				continue
			}
			sequence += rapid.Uint64Range(1, 3).Draw(t, "ticks")
			if rapid.IntRange(0, 5).Draw(t, "lease") == 0 {
				agentEpoch++
			}
			h := &api.Heartbeat{AgentEpoch: agentEpoch, Sequence: sequence, Token: shard.FencingToken(7, a.TokenSequence)}
			if a.IsStale(h, now, 0) {
				t.Fatal("a new heartbeat is stale")
			}
			a.LastHeartbeat = HeartbeatNumber{AgentEpoch: agentEpoch, Sequence: sequence}
			if !a.Accept(h, now) {
				t.Fatal("a new heartbeat is not believed")
			}
			old = append(old, h)
		}
		if a.Accept(&api.Heartbeat{AgentEpoch: agentEpoch, Sequence: sequence + 1, Token: shard.FencingToken(6, 9)}, now) {
			t.Fatal("a heartbeat of an earlier term is believed")
		}
	})
}

// stateModel is the state of a worker as two flags, each changed by itself.
type stateModel struct {
	fenced, unresponsive bool
	newestEpoch          uint64
}

// accept is what a heartbeat under the term does to the flags; token is the agent's before.
func (m *stateModel) accept(h *api.Heartbeat, token uint64) {
	switch {
	case m.fenced && h.AgentEpoch > m.newestEpoch && !m.unresponsive:
		m.unresponsive = true
	case m.unresponsive && h.Token >= token:
		m.unresponsive = false
	}
	m.fenced = true
	m.newestEpoch = max(m.newestEpoch, h.AgentEpoch)
}

// The state has the transitions that two independent flags have, a worker is unfenced exactly
// while no heartbeat was accepted, and its token only rises, with each time that it becomes
// unresponsive.
func TestStateTransitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		a, model := New(7, now, now), stateModel{}
		agentEpoch, sequence := uint64(1), uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			token, before := a.Token(), a.State
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				agentEpoch++
			case 1:
				if a.Fenced() {
					a.BecomeUnresponsive(now)
					model.unresponsive = true
				}
			default:
				sequence++
				raises := rapid.Uint64Range(0, a.TokenSequence).Draw(t, "raises seen")
				h := &api.Heartbeat{AgentEpoch: agentEpoch, Sequence: sequence, Token: shard.FencingToken(7, raises)}
				model.accept(h, token)
				a.Accept(h, now)
			}
			if a.Fenced() != model.fenced || a.Unresponsive() != model.unresponsive {
				t.Fatalf("%s, the flags say fenced %t, unresponsive %t", a.State, model.fenced, model.unresponsive)
			}
			if a.Fenced() != (a.Heartbeat != nil) {
				t.Fatalf("%s with heartbeat %v", a.State, a.Heartbeat)
			}
			if a.Token() < token || a.Unresponsive() && before != Unresponsive && a.Token() == token {
				t.Fatalf("token %d after %d, %s after %s", a.Token(), token, a.State, before)
			}
		}
	})
}

// A lease that has expired is told of once, an answer renews it, and a terminated machine's
// stays expired.
func TestUpdateLease(t *testing.T) {
	const bound = 10 * time.Second
	start := time.Unix(0, 0)
	for _, x := range []struct {
		name           string
		lease          Lease
		after          time.Duration
		expired, newly bool
	}{
		{"valid", Lease{LastAnswered: start}, bound, false, false},
		{"expires", Lease{LastAnswered: start}, bound + 1, true, true},
		{"stays expired", Lease{LastAnswered: start, LeaseExpired: true}, bound + 1, true, false},
		{"renewed by an answer", Lease{LastAnswered: start.Add(bound), LeaseExpired: true}, bound + 1, false, false},
		{"terminated", Lease{LastAnswered: start, Terminated: true}, 0, true, true},
		{"terminated after it expired", Lease{LastAnswered: start, LeaseExpired: true, Terminated: true}, 0, true, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			expired, newly := x.lease.UpdateLease(start.Add(x.after), bound)
			if expired != x.expired || newly != x.newly || x.lease.LeaseExpired != x.expired {
				t.Errorf("expired %t, newly %t, recorded %t", expired, newly, x.lease.LeaseExpired)
			}
		})
	}
}

// A worker is told of the term a few rounds long; copies within a round count once; one that
// never shows the term is not answered until its lease has expired.
func TestMayIntroduceTerm(t *testing.T) {
	const bound, interval = 10 * time.Second, 2 * time.Second
	start := time.Unix(100, 0)
	a := New(7, start, start)
	for round := range MaxUnacknowledgedAnswers {
		now := start.Add(time.Duration(round) * interval)
		for range 5 { // a heartbeat and copies of it; the last round's first answer is the last one
			if a.UnacknowledgedAnswers < MaxUnacknowledgedAnswers && !a.MayAnswerOlderTerm(now, bound, interval) {
				t.Fatalf("not told in round %d", round)
			}
		}
		if a.UnacknowledgedAnswers != round+1 {
			t.Fatalf("%d answers counted in %d rounds", a.UnacknowledgedAnswers, round+1)
		}
	}
	if a.MayAnswerOlderTerm(start.Add(bound), bound, interval) || a.UnacknowledgedAnswers != MaxUnacknowledgedAnswers {
		t.Error("answered on, within its lease")
	}
	if a.MayAnswerOlderTerm(start.Add(bound+1), bound, interval) || a.UnacknowledgedAnswers != 0 {
		t.Error("answered at once when its lease has expired, or refused for ever")
	}
	if !a.MayAnswerOlderTerm(start.Add(bound+2), bound, interval) {
		t.Error("refused after its lease has expired")
	}
}

// Each state has a name.
func TestStateNames(t *testing.T) {
	for state, name := range map[State]string{
		Unfenced: "unfenced", Responsive: "responsive", Unresponsive: "unresponsive", Unresponsive + 1: "unknown",
	} {
		if state.String() != name {
			t.Errorf("state %d is called %s, not %s", uint8(state), state, name)
		}
	}
}
