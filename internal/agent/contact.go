package agent

import (
	"time"

	"violetturn/internal/api"
)

// State is what a worker has shown of obeying the leader's term.
//
//	Unfenced     -> Responsive    a heartbeat under this term
//	Responsive   -> Unresponsive  a newer agent epoch (its lease expired although it was
//	                              answered), or launches that it ignores
//	Unresponsive -> Responsive    a heartbeat that shows the token raised since
//
// There are no other transitions. Whether the lease has expired, the machine is terminated or
// cordoned is independent of this state, and has fields of its own (Lease, Cordon): a cordoned
// machine goes on running tasks in any of these states, and a lease that has expired is
// renewed by an answer in any of them.
type State uint8

// The states of a worker.
const (
	Unfenced     State = iota // it has not shown that it has seen this term
	Responsive                // it has seen this term, and obeys as far as is known
	Unresponsive              // it has seen this term but does not obey: it takes no task
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Unfenced:
		return "unfenced"
	case Responsive:
		return "responsive"
	case Unresponsive:
		return "unresponsive"
	}
	return "unknown"
}

// HeartbeatNumber identifies a heartbeat of a worker. Numbers of one worker only rise, first by
// the agent epoch. The zero value is none.
type HeartbeatNumber struct {
	AgentEpoch uint64
	Sequence   uint64
}

// Contact is what a worker was told and has reported.
type Contact struct {
	State         State
	Heartbeat     *api.Heartbeat  // the newest that was accepted; nil exactly while unfenced
	LastHeartbeat HeartbeatNumber // the newest, accepted or not; answers to direct commands apart
	LastSeen      time.Time       // when one was last accepted
	LastCommandAt time.Time       // when a direct command was last sent

	UnacknowledgedAnswers   int       // answers to heartbeats that showed an older term still, in as many rounds
	UnacknowledgedCountedAt time.Time // when that was last counted

	fencedAt time.Time // since when it is not unfenced
}

// Fenced reports whether the worker has shown that it has seen this term, so that it drops
// answers of earlier leaders.
func (c *Contact) Fenced() bool { return c.State != Unfenced }

// Unresponsive reports whether the worker has seen this term but does not obey.
func (c *Contact) Unresponsive() bool { return c.State == Unresponsive }
