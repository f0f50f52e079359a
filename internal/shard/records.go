// Package shard holds the records of the shards into which the controllers
// divide the machines, and the sessions of the workers in the shards that this
// controller owns: who may speak for a machine, what it last said, and when its
// tasks are surely dead.
package shard

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
)

// LeaderRecord is the record of a shard's owner. It is attached to the leader's lease and
// goes when the lease ends.
type LeaderRecord struct {
	Node               string `json:"node"`
	Incarnation        uint64 `json:"inc"` // one life of the node's process
	Term               uint64 `json:"term"`
	WorkersUnreachable bool   `json:"m,omitempty"` // of a node: its workers don't reach it
	HearsWorkers       bool   `json:"h,omitempty"` // of a node: some worker does
	SchemaVersion      int    `json:"v,omitempty"` // of a node: the newest forms of records that it reads

	Features []string `json:"f,omitempty"` // of a node: what is switched on there
}

// CapabilityRecord is what a node leaves behind of the forms that it reads and the features that it has
// switched on: it stays when the
// node's own record goes with its lease.
type CapabilityRecord struct {
	SchemaVersion int      `json:"v"`
	Features      []string `json:"f,omitempty"` // what was switched on there last
}

// CapacityRecord is a shard's capacity record. Whoever places a task on a machine of
// the shard, its leader or a stealing peer, changes it in the same transaction, so its
// version is what they contend for.
type CapacityRecord struct {
	Term               uint64                `json:"term"`
	Leader             string                `json:"by"`            // the owner of that term
	Released           bool                  `json:"rel,omitempty"` // that owner has stopped answering and said so
	PredecessorInDoubt bool                  `json:"d,omitempty"`   // an owner before that one may still be answering, within its grace
	Free               FreeCapacity          `json:"free"`          // room of the machines that can take tasks
	QuotaUse           map[string][3]float64 `json:"u,omitempty"`   // by limited team, what its tasks hold in this part
}

// FreeCapacity is the room of machines by name. Its recorded form names each amount
// once with all the machines that have it: a shard of hundreds of machines has
// to fit one value of the state service.
type FreeCapacity map[string][3]float64

type capacityGroup struct {
	Room  [3]float64 `json:"r"`
	Hosts []string   `json:"h"`
}

// MarshalJSON implements json.Marshaler.
func (f FreeCapacity) MarshalJSON() ([]byte, error) {
	at := map[[3]float64]int{}
	groups := []capacityGroup{}
	for _, h := range slices.Sorted(maps.Keys(f)) {
		v := f[h]
		i, ok := at[v]
		if !ok {
			i = len(groups)
			at[v] = i
			groups = append(groups, capacityGroup{Room: v})
		}
		groups[i].Hosts = append(groups[i].Hosts, h)
	}
	return json.Marshal(groups)
}

// UnmarshalJSON implements json.Unmarshaler.
func (f *FreeCapacity) UnmarshalJSON(b []byte) error {
	var groups []capacityGroup
	if err := json.Unmarshal(b, &groups); err != nil {
		return err
	}
	*f = FreeCapacity{}
	for _, g := range groups {
		for _, h := range g.Hosts {
			(*f)[h] = g.Room
		}
	}
	return nil
}

// Machine is a machine's record: which shard it belongs to, and what it is.
type Machine struct {
	Shard        string `json:"p"`
	MachineType  string `json:"b"`
	Zone         string `json:"s"`
	Spot         bool   `json:"l,omitempty"`
	Addr         string `json:"a,omitempty"`
	RentedFor    string `json:"f,omitempty"` // the part that rented it for its jobs
	RegisteredMS int64  `json:"at"`          // time of day when it was recorded
}

// Page is the record of the machines whose names differ only in their last
// characters: machines come in groups with names in a row, so that a group is
// recorded with few changes.
type Page map[string]*Machine

// QuotaRecord is a team's record: the share of its limit that each shard may use. What
// the team's tasks hold in a shard stands in the shard's capacity record, which changes
// with every placement there; a share changes only together with that record.
type QuotaRecord struct {
	Held map[string][3]float64 `json:"u"`
}

// FencingToken returns the token of a term after so many raises. Terms rise globally,
// so every token of a later term is above all of an earlier one; within its
// term a leader raises a worker's token to have it report, or to see that it
// hears.
func FencingToken(term, raises uint64) uint64 {
	return term<<sequenceBits | min(raises, 1<<sequenceBits-1)
}

// TokenTerm returns the term of a token.
func TokenTerm(token uint64) uint64 { return token >> sequenceBits }

const sequenceBits = 20

// Vec and Unvec turn room into its recorded form and back.
func Vec(r sched.Resources) [3]float64 {
	return [3]float64{round(r.CPUs), round(r.GPUs), round(r.MemGB)}
}

// Unvec is the inverse of Vec.
func Unvec(v [3]float64) sched.Resources { return sched.Resources{CPUs: v[0], GPUs: v[1], MemGB: v[2]} }

// round keeps sums of decimal fractions from growing tails in the records.
func round(x float64) float64 { return float64(int64(x*1e6+0.5)) / 1e6 }

// EndedAttempt is the decision that an attempt is over. Once taken it is never taken
// back: that attempt is not launched again, whatever becomes of the transaction
// that records it, for that transaction may still be applied late.
type EndedAttempt struct {
	Attempt      uint64
	Done, Failed bool
	Reason       job.ExitReason // the same for a gang's task
	EndedAt      time.Time      // when it was taken
}

// FirstRun is when an attempt was first seen running.
type FirstRun struct {
	Attempt uint64
	At      time.Time
}

// Agent is what the leader knows of one worker under its present term.
type Agent struct {
	Term             uint64
	CreatedAt        time.Time      // when the session began
	Fenced           bool           // the worker has said that it has seen this term
	Heartbeat        *api.Heartbeat // newest report made under this term
	LastSeen         time.Time      // last sign of life
	LastAnswered     time.Time      // latest time at which an answer of ours, or of a leader before us, can have renewed its lease
	Terminated       bool           // the cloud has confirmed its end
	LeaseExpired     bool           // its lease is surely over
	EndedAttempts    map[string]EndedAttempt
	FirstRuns        map[string]FirstRun      // attempts that were seen running
	FailedJobs       map[string]bool          // jobs whose tasks failed there since one last succeeded
	IdleSince        time.Time                // since when it has no task; zero: it has some
	UnderusedSince   time.Time                // since when its few replicas would fit elsewhere; zero: they don't
	Cordoned         bool                     // it takes no more tasks: it is to be returned
	LastCommandAt    time.Time                // when a fence or a request for a heartbeat was last sent
	TokenSequence    uint64                   // how often its token was raised under this term
	TokenRaisedAt    time.Time                // when last
	Unresponsive     bool                     // its session ended although it was answered: it takes no task until it is heard to obey
	UnheardAnswers   int                      // answers to reports that showed an older term still, in as many rounds
	UnheardAt        time.Time                // when that was last counted
	FencedAt         time.Time                // since when
	LastHeartbeat    [2]uint64                // session and number of its newest report, believed or not; answers to direct commands apart
	PendingLaunches  map[string]PendingLaunch // launches that were answered and not yet seen
	Listed           bool                     // the cloud has listed it
	MissingFromLists int                      // lists in a row that lacked it
	AvoidUntil       time.Time                // it refused a task for want of room: none is put there until then
}

// PendingLaunch counts the answers that carried the launch of an attempt.
type PendingLaunch struct {
	Attempt uint64
	Answers int
	Blocked int // reports in a row that left no room for it, nor any that is being left
}

// NewAgent starts a worker's session under a term. answered is the latest
// time at which an earlier leader can have answered it.
func NewAgent(term uint64, now, answered time.Time) *Agent {
	return &Agent{
		Term:            term,
		CreatedAt:       now,
		LastAnswered:    answered,
		EndedAttempts:   map[string]EndedAttempt{},
		FailedJobs:      map[string]bool{},
		FirstRuns:       map[string]FirstRun{},
		PendingLaunches: map[string]PendingLaunch{},
	}
}

// Token is the token for answers to this worker: the highest that it can have
// seen from us, or it would drop the answer.
func (s *Agent) Token() uint64 { return FencingToken(s.Term, s.TokenSequence) }

// RaiseToken raises the worker's token, which its next answer or command brings.
func (s *Agent) RaiseToken(now time.Time) { s.TokenSequence++; s.TokenRaisedAt = now }

// LastTokenChange is when its worker last saw a higher token from us, as far as is known: by a
// raise, or with the term itself. Another one soon after makes it report no sooner.
func (s *Agent) LastTokenChange() time.Time {
	if s.FencedAt.After(s.TokenRaisedAt) {
		return s.FencedAt
	}
	return s.TokenRaisedAt
}

// IsStale reports whether a heartbeat is no newer than one that came before: a copy
// that comes late. Its sender no longer waits for an answer, and it shows
// nothing about now, not even that the machine lives. So is one of an earlier
// term long after the worker has said that it has seen ours; shortly after, one
// may still be on its way.
func (s *Agent) IsStale(c *api.Heartbeat, now time.Time, flight time.Duration) bool {
	return s.LastHeartbeat != [2]uint64{} && !c.Newer(s.LastHeartbeat[0], s.LastHeartbeat[1]) ||
		s.Fenced && TokenTerm(c.Token) < s.Term && now.Sub(s.FencedAt) > flight
}

// Accept takes what a worker reports if it can be believed: made after the
// worker saw this term. A heartbeat under an older term may have been held back by
// a cut since before our predecessor's last commands, so it shows nothing about
// now. The newest is kept, be it a heartbeat or the answer to a direct command.
func (s *Agent) Accept(c *api.Heartbeat, now time.Time) bool {
	if TokenTerm(c.Token) != s.Term {
		return false
	}
	if s.Heartbeat != nil && c.AgentEpoch > s.Heartbeat.AgentEpoch && !s.Unresponsive {
		// Its lease ran out although we answered, or could have: perhaps it
		// hears nothing. Only a token raised from now on shows that it does.
		s.Unresponsive = true
		s.RaiseToken(now)
	} else if s.Unresponsive && c.Token >= s.Token() {
		s.Unresponsive = false
	}
	s.UnheardAnswers = 0
	if !s.Fenced {
		s.Fenced, s.FencedAt = true, now
	}
	if s.Heartbeat == nil || c.Newer(s.Heartbeat.AgentEpoch, s.Heartbeat.Sequence) {
		s.Heartbeat = c
	}
	return true
}

// IsLeaseExpired reports whether the worker's tasks are surely dead: its lease, counted
// from the last answer it can have accepted, is over.
func (s *Agent) IsLeaseExpired(now time.Time, bound time.Duration) bool {
	return s.Terminated || now.Sub(s.LastAnswered) > bound
}
