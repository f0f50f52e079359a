package agent

import (
	"time"

	"violetturn/internal/api"
)

// State is whether a worker has received the leader's term and carries out its commands.
//
//	Unfenced     -> Responsive    a heartbeat under this term
//	Responsive   -> Unresponsive  a newer agent epoch (the lease expired although the worker
//	                              was answered), or launches that the worker ignores
//	Unresponsive -> Responsive    a heartbeat that shows the token raised since
//
// There are no other transitions. Three conditions are independent of this state and have fields
// of their own (Lease, Cordon): whether the lease has expired, the machine is terminated, or the
// machine is cordoned. A cordoned machine continues to run its tasks in any of these states, and
// an answer renews an expired lease in any of them.
type State uint8

// The states of a worker.
const (
	Unfenced     State = iota // no heartbeat of the worker has shown this term yet
	Responsive                // the worker has received this term and is assumed to carry out commands
	Unresponsive              // the worker has received this term but does not carry out commands; it gets no tasks
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

// HeartbeatNumber identifies a heartbeat of a worker. The numbers of one worker only increase and
// are ordered by agent epoch first. The zero value means no heartbeat.
type HeartbeatNumber struct {
	AgentEpoch uint64
	Sequence   uint64
}

// Contact records what a worker has reported and which commands and answers were sent to it.
type Contact struct {
	State               State
	Heartbeat           *api.Heartbeat  // the newest accepted heartbeat; nil exactly while the state is Unfenced
	LastHeartbeatNumber HeartbeatNumber // the newest heartbeat, accepted or not; excludes answers to direct commands
	LastSeen            time.Time       // when a heartbeat was last accepted
	LastCommandAt       time.Time       // when a direct command was last sent

	UnacknowledgedResponses int       // heartbeat intervals in a row with an answer to a heartbeat that still showed an older term
	UnacknowledgedCountedAt time.Time // when UnacknowledgedResponses was last incremented

	fencedAt time.Time // when the worker first showed this term
}

// Fenced reports whether the worker has shown that it received this term, so that it drops
// answers of earlier leaders.
func (c *Contact) Fenced() bool { return c.State != Unfenced }

// Unresponsive reports whether the worker has received this term but does not carry out commands.
func (c *Contact) Unresponsive() bool { return c.State == Unresponsive }
