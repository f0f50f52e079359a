package agent

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/shard"
)

// A worker whose agent epoch increases although it was answered is unresponsive until it shows a
// token raised since: heartbeats alone do not prove that it receives responses.
func TestWorkerIsUnresponsiveUntilRaisedTokenIsShown(t *testing.T) {
	now := time.Unix(0, 0)
	a := New(7, now, now)
	accept := func(agentEpoch, sequence uint64) {
		a.Accept(&api.Heartbeat{AgentEpoch: agentEpoch, Sequence: sequence, Token: shard.FencingToken(7, 0)}, now)
	}
	accept(1, 1)
	accept(1, 2)
	if a.Unresponsive() {
		t.Fatal("the worker is unresponsive after heartbeats of one agent epoch, want responsive")
	}
	accept(2, 3)
	accept(2, 4)
	if !a.Unresponsive() || a.Token() <= shard.FencingToken(7, 0) {
		t.Fatalf("after a new agent epoch: unresponsive %t, token %d; want unresponsive and a raised token", a.Unresponsive(), a.Token())
	}
	a.Accept(&api.Heartbeat{AgentEpoch: 2, Sequence: 5, Token: a.Token()}, now)
	if a.Unresponsive() {
		t.Fatal("the worker is unresponsive after it has shown the raised token, want responsive")
	}
}

// Copies of heartbeats are stale, whenever and in whatever order they arrive; new heartbeats
// never are. A heartbeat of an earlier term is not accepted.
func TestHeartbeatCopiesAreStale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		a := New(7, now, now)
		var accepted []*api.Heartbeat
		agentEpoch, sequence := uint64(1), uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "heartbeats") {
			now = now.Add(time.Second)
			if len(accepted) > 0 && rapid.Bool().Draw(t, "copy") {
				if h := rapid.SampledFrom(accepted).Draw(t, "which"); !a.IsStale(h, now, 0) {
					t.Fatalf("a copy of heartbeat %d/%d is not stale, want stale", h.AgentEpoch, h.Sequence)
				}
				continue
			}
			sequence += rapid.Uint64Range(1, 3).Draw(t, "ticks")
			if rapid.IntRange(0, 5).Draw(t, "lease") == 0 {
				agentEpoch++
			}
			h := &api.Heartbeat{AgentEpoch: agentEpoch, Sequence: sequence, Token: shard.FencingToken(7, a.TokenSequence)}
			if a.IsStale(h, now, 0) {
				t.Fatalf("new heartbeat %d/%d is stale, want not stale", h.AgentEpoch, h.Sequence)
			}
			a.LastHeartbeatNumber = HeartbeatNumber{AgentEpoch: agentEpoch, Sequence: sequence}
			if !a.Accept(h, now) {
				t.Fatalf("new heartbeat %d/%d is not accepted, want accepted", h.AgentEpoch, h.Sequence)
			}
			accepted = append(accepted, h)
		}
		if a.Accept(&api.Heartbeat{AgentEpoch: agentEpoch, Sequence: sequence + 1, Token: shard.FencingToken(6, 9)}, now) {
			t.Fatal("a heartbeat of an earlier term is accepted, want not accepted")
		}
	})
}

// stateModel models a worker's state as two independent flags.
type stateModel struct {
	fenced, unresponsive bool
	newestEpoch          uint64
}

// accept applies a heartbeat under the current term to the flags. token is the agent's token
// before the heartbeat.
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

// The state has the transitions of two independent flags. A worker is unfenced exactly while no
// heartbeat was accepted. Its token never decreases and is raised whenever the worker becomes
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
				t.Fatalf("state %s, want fenced %t, unresponsive %t", a.State, model.fenced, model.unresponsive)
			}
			if a.Fenced() != (a.Heartbeat != nil) {
				t.Fatalf("state %s with heartbeat %v, want a heartbeat exactly if fenced", a.State, a.Heartbeat)
			}
			if a.Token() < token || a.Unresponsive() && before != Unresponsive && a.Token() == token {
				t.Fatalf("token changed from %d to %d, state from %s to %s; want no lower token, and a higher one on becoming unresponsive",
					token, a.Token(), before, a.State)
			}
		}
	})
}

// The expiry of a lease is reported once, a response renews the lease, and the lease of a
// terminated machine stays expired.
func TestUpdateLeaseReportsExpiryOnce(t *testing.T) {
	const bound = 10 * time.Second
	start := time.Unix(0, 0)
	for _, test := range []struct {
		name                          string
		lease                         Lease
		after                         time.Duration
		wantExpired, wantNewlyExpired bool
	}{
		{"valid", Lease{LastAnswered: start}, bound, false, false},
		{"expires", Lease{LastAnswered: start}, bound + 1, true, true},
		{"stays expired", Lease{LastAnswered: start, LeaseExpired: true}, bound + 1, true, false},
		{"renewed by a response", Lease{LastAnswered: start.Add(bound), LeaseExpired: true}, bound + 1, false, false},
		{"terminated", Lease{LastAnswered: start, Terminated: true}, 0, true, true},
		{"terminated after it expired", Lease{LastAnswered: start, LeaseExpired: true, Terminated: true}, 0, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			expired, newlyExpired := test.lease.UpdateLease(start.Add(test.after), bound)
			if expired != test.wantExpired || newlyExpired != test.wantNewlyExpired || test.lease.LeaseExpired != test.wantExpired {
				t.Errorf("expired %t, newly expired %t, LeaseExpired %t; want %t, %t, %t",
					expired, newlyExpired, test.lease.LeaseExpired, test.wantExpired, test.wantNewlyExpired, test.wantExpired)
			}
		})
	}
}

// A worker that does not show the current term is answered for a few heartbeat intervals; copies
// within an interval count once. After that it is not answered until its lease has expired.
func TestOlderTermNotAnsweredWithoutAcknowledgement(t *testing.T) {
	const bound, interval = 10 * time.Second, 2 * time.Second
	start := time.Unix(100, 0)
	a := New(7, start, start)
	for intervals := range MaxUnacknowledgedResponses {
		now := start.Add(time.Duration(intervals) * interval)
		for range 5 { // a heartbeat and its copies; only the first one is answered in the last interval
			if a.UnacknowledgedResponses < MaxUnacknowledgedResponses && !a.AllowOlderTermResponse(now, bound, interval) {
				t.Fatalf("the worker is not answered in interval %d, want a response", intervals)
			}
		}
		if a.UnacknowledgedResponses != intervals+1 {
			t.Fatalf("counted %d responses in %d intervals, want one per interval", a.UnacknowledgedResponses, intervals+1)
		}
	}
	if a.AllowOlderTermResponse(start.Add(bound), bound, interval) || a.UnacknowledgedResponses != MaxUnacknowledgedResponses {
		t.Errorf("within its lease the worker is answered once more or the count changed: %d responses counted, want no response and %d",
			a.UnacknowledgedResponses, MaxUnacknowledgedResponses)
	}
	if a.AllowOlderTermResponse(start.Add(bound+1), bound, interval) || a.UnacknowledgedResponses != 0 {
		t.Errorf("after its lease the worker is answered at once or the count is not reset: %d responses counted, want no response and 0",
			a.UnacknowledgedResponses)
	}
	if !a.AllowOlderTermResponse(start.Add(bound+2), bound, interval) {
		t.Error("the worker is not answered after its lease has expired, want a response")
	}
}

func TestStateString(t *testing.T) {
	for state, name := range map[State]string{
		Unfenced: "unfenced", Responsive: "responsive", Unresponsive: "unresponsive", Unresponsive + 1: "unknown",
	} {
		if state.String() != name {
			t.Errorf("name of state %d is %s, want %s", uint8(state), state, name)
		}
	}
}
