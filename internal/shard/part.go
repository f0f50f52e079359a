// Package part holds the records of the parts into which the controllers
// divide the machines, and the sessions of the workers in the parts that this
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

// Ownership is the record of a part's owner. It is attached to the owner's hold and
// goes when the hold ends.
type Ownership struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"inc"` // one life of the node's process
	Term        uint64 `json:"term"`
	Mute        bool   `json:"m,omitempty"` // of a node: its workers don't reach it
	Hear        bool   `json:"h,omitempty"` // of a node: some worker does
	V           int    `json:"v,omitempty"` // of a node: the newest forms of records that it reads

	Features []string `json:"f,omitempty"` // of a node: what is switched on there
}

// Mark is what a node leaves behind of the forms that it reads and the features that it has
// switched on: it stays when the
// node's own record goes with its hold.
type Mark struct {
	V        int      `json:"v"`
	Features []string `json:"f,omitempty"` // what was switched on there last
}

// Record is a part's free-room record. Whoever places a task on a machine of
// the part, its owner or a thief, changes it in the same transaction, so its
// version is what they contend for.
type Record struct {
	Term     uint64                `json:"term"`
	By       string                `json:"by"`            // the owner of that term
	Released bool                  `json:"rel,omitempty"` // that owner has stopped answering and said so
	Doubt    bool                  `json:"d,omitempty"`   // an owner before that one may still be answering, within its grace
	Free     Free                  `json:"free"`          // room of the machines that can take tasks
	Use      map[string][3]float64 `json:"u,omitempty"`   // by limited team, what its tasks hold in this part
}

// Free is the room of machines by name. Its recorded form names each amount
// once with all the machines that have it: a part of hundreds of machines has
// to fit one value of the state service.
type Free map[string][3]float64

type freeGroup struct {
	Room  [3]float64 `json:"r"`
	Hosts []string   `json:"h"`
}

// MarshalJSON implements json.Marshaler.
func (f Free) MarshalJSON() ([]byte, error) {
	at := map[[3]float64]int{}
	groups := []freeGroup{}
	for _, h := range slices.Sorted(maps.Keys(f)) {
		v := f[h]
		i, ok := at[v]
		if !ok {
			i = len(groups)
			at[v] = i
			groups = append(groups, freeGroup{Room: v})
		}
		groups[i].Hosts = append(groups[i].Hosts, h)
	}
	return json.Marshal(groups)
}

// UnmarshalJSON implements json.Unmarshaler.
func (f *Free) UnmarshalJSON(b []byte) error {
	var groups []freeGroup
	if err := json.Unmarshal(b, &groups); err != nil {
		return err
	}
	*f = Free{}
	for _, g := range groups {
		for _, h := range g.Hosts {
			(*f)[h] = g.Room
		}
	}
	return nil
}

// Machine is a machine's record: which part it belongs to, and what it is.
type Machine struct {
	Part        string `json:"p"`
	MachineType string `json:"b"`
	Zone        string `json:"s"`
	Spot        bool   `json:"l,omitempty"`
	Addr        string `json:"a,omitempty"`
	RentedFor   string `json:"f,omitempty"` // the part that rented it for its jobs
	AtMS        int64  `json:"at"`          // time of day when it was recorded
}

// Page is the record of the machines whose names differ only in their last
// characters: machines come in groups with names in a row, so that a group is
// recorded with few changes.
type Page map[string]*Machine

// Usage is a team's record: the share of its limit that each part may use. What
// the team's tasks hold in a part stands in the part's record, which changes
// with every placement there; a share changes only together with that record.
type Usage struct {
	Held map[string][3]float64 `json:"u"`
}

// TokenOf gives the token of a term after so many raises. Terms rise globally,
// so every token of a later term is above all of an earlier one; within its
// term an owner raises a worker's token to have it report, or to see that it
// hears.
func TokenOf(term, raises uint64) uint64 { return term<<raiseBits | min(raises, 1<<raiseBits-1) }

// TermOf gives the term of a token.
func TermOf(baton uint64) uint64 { return baton >> raiseBits }

const raiseBits = 20

// Vec and Unvec turn room into its recorded form and back.
func Vec(r sched.Resources) [3]float64 {
	return [3]float64{round(r.CPUs), round(r.GPUs), round(r.MemGB)}
}

// Unvec is the inverse of Vec.
func Unvec(v [3]float64) sched.Resources { return sched.Resources{CPUs: v[0], GPUs: v[1], MemGB: v[2]} }

// round keeps sums of decimal fractions from growing tails in the records.
func round(x float64) float64 { return float64(int64(x*1e6+0.5)) / 1e6 }

// Release is the decision that an attempt is over. Once taken it is never taken
// back: that attempt is not launched again, whatever becomes of the transaction
// that records it, for that transaction may still be applied late.
type Release struct {
	Try          uint64
	Done, Failed bool
	Exit         job.Exit  // the same for a gang's task
	At           time.Time // when it was taken
}

// Start is when an attempt was first seen running.
type Start struct {
	Try uint64
	At  time.Time
}

// Session is what the owner knows of one worker under its present term.
type Session struct {
	Term      uint64
	Since     time.Time   // when the session began
	Fenced    bool        // the worker has said that it has seen this term
	Report    *api.Report // newest report made under this term
	Seen      time.Time   // last sign of life
	Answered  time.Time   // latest time at which an answer of ours, or of an owner before us, can have renewed its lease
	Gone      bool        // the cloud has confirmed its end
	Dark      bool        // its lease is surely over
	Releases  map[string]Release
	Started   map[string]Start // attempts that were seen running
	Errors    map[string]bool  // jobs whose tasks failed there since one last succeeded
	Idle      time.Time        // since when it has no task; zero: it has some
	Loose     time.Time        // since when its few replicas would fit elsewhere; zero: they don't
	Drain     bool             // it takes no more tasks: it is to be returned
	Asked     time.Time        // when a fence or a nudge was last sent
	Raises    uint64           // how often its token was raised under this term
	RaisedAt  time.Time        // when last
	Deaf      bool             // its session ended although it was answered: it takes no task until it is heard to obey
	Unheard   int              // answers to reports that showed an older term still, in as many rounds
	UnheardAt time.Time        // when that was last counted
	FencedAt  time.Time        // since when
	Last      [2]uint64        // session and number of its newest report, believed or not; answers to direct commands apart
	Sent      map[string]Sent  // launches that were answered and not yet seen
	Listed    bool             // the cloud has listed it
	Missing   int              // lists in a row that lacked it
	Avoid     time.Time        // it refused a task for want of room: none is put there until then
}

// Sent counts the answers that carried the launch of an attempt.
type Sent struct {
	Try     uint64
	N       int
	Blocked int // reports in a row that left no room for it, nor any that is being left
}

// NewSession starts a worker's session under a term. answered is the latest
// time at which an earlier owner can have answered it.
func NewSession(term uint64, now, answered time.Time) *Session {
	return &Session{
		Term:     term,
		Since:    now,
		Answered: answered,
		Releases: map[string]Release{},
		Errors:   map[string]bool{},
		Started:  map[string]Start{},
		Sent:     map[string]Sent{},
	}
}

// Token is the token for answers to this worker: the highest that it can have
// seen from us, or it would drop the answer.
func (s *Session) Token() uint64 { return TokenOf(s.Term, s.Raises) }

// Raise raises the worker's token, which its next answer or command brings.
func (s *Session) Raise(now time.Time) { s.Raises++; s.RaisedAt = now }

// Announced is when its worker last saw a higher token from us, as far as is known: by a
// raise, or with the term itself. Another one soon after makes it report no sooner.
func (s *Session) Announced() time.Time {
	if s.FencedAt.After(s.RaisedAt) {
		return s.FencedAt
	}
	return s.RaisedAt
}

// Stale tells whether a report is no newer than one that came before: a copy
// that comes late. Its sender no longer waits for an answer, and it shows
// nothing about now, not even that the machine lives. So is one of an earlier
// term long after the worker has said that it has seen ours; shortly after, one
// may still be on its way.
func (s *Session) Stale(c *api.Report, now time.Time, flight time.Duration) bool {
	return s.Last != [2]uint64{} && !c.Newer(s.Last[0], s.Last[1]) ||
		s.Fenced && TermOf(c.Token) < s.Term && now.Sub(s.FencedAt) > flight
}

// Accept takes what a worker reports if it can be believed: made after the
// worker saw this term. A report under an older term may have been held back by
// a cut since before our predecessor's last commands, so it shows nothing about
// now. The newest is kept, be it a report or the answer to a direct command.
func (s *Session) Accept(c *api.Report, now time.Time) bool {
	if TermOf(c.Token) != s.Term {
		return false
	}
	if s.Report != nil && c.Session > s.Report.Session && !s.Deaf {
		// Its lease ran out although we answered, or could have: perhaps it
		// hears nothing. Only a token raised from now on shows that it does.
		s.Deaf = true
		s.Raise(now)
	} else if s.Deaf && c.Token >= s.Token() {
		s.Deaf = false
	}
	s.Unheard = 0
	if !s.Fenced {
		s.Fenced, s.FencedAt = true, now
	}
	if s.Report == nil || c.Newer(s.Report.Session, s.Report.Sequence) {
		s.Report = c
	}
	return true
}

// Dead tells whether the worker's tasks are surely dead: its lease, counted
// from the last answer it can have accepted, is over.
func (s *Session) Dead(now time.Time, bound time.Duration) bool {
	return s.Gone || now.Sub(s.Answered) > bound
}
