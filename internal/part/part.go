// Package part holds the records of the parts into which the controllers
// divide the machines, and the sessions of the workers in the parts that this
// controller owns: who may speak for a machine, what it last said, and when its
// tasks are surely dead.
package part

import (
	"time"

	"violetturn/internal/api"
	"violetturn/internal/sched"
)

// Own is the record of a part's owner. It is attached to the owner's hold and
// goes when the hold ends.
type Own struct {
	Node string `json:"node"`
	Inc  uint64 `json:"inc"` // one life of the node's process
	Term uint64 `json:"term"`
}

// Record is a part's free-room record. Whoever places a task on a machine of
// the part, its owner or a thief, changes it in the same transaction, so its
// version is what they contend for.
type Record struct {
	Term     uint64                `json:"term"`
	By       string                `json:"by"`            // the owner of that term
	Released bool                  `json:"rel,omitempty"` // that owner has stopped answering and said so
	Doubt    bool                  `json:"d,omitempty"`   // an owner before that one may still be answering, within its grace
	Free     map[string][3]float64 `json:"free"`          // room of the machines that can take tasks
}

// Machine is a machine's record: which part it belongs to, and what it is.
type Machine struct {
	Part    string `json:"p"`
	Build   string `json:"b"`
	Site    string `json:"s"`
	Loaners bool   `json:"l,omitempty"`
	Addr    string `json:"a,omitempty"`
	For     string `json:"f,omitempty"` // the part that rented it for its jobs
	AtMS    int64  `json:"at"`          // time of day when it was recorded
}

// Usage is a team's record: what its tasks hold in each part.
type Usage struct {
	Held map[string][3]float64 `json:"u"`
}

// Vec and Unvec turn room into its recorded form and back.
func Vec(r sched.Room) [3]float64 { return [3]float64{round(r.CPUs), round(r.GPUs), round(r.MemGB)} }

// Unvec is the inverse of Vec.
func Unvec(v [3]float64) sched.Room { return sched.Room{CPUs: v[0], GPUs: v[1], MemGB: v[2]} }

// round keeps sums of decimal fractions from growing tails in the records.
func round(x float64) float64 { return float64(int64(x*1e6+0.5)) / 1e6 }

// Release is the decision that an attempt is over. Once taken it is never taken
// back: that attempt is not launched again, whatever becomes of the transaction
// that records it, for that transaction may still be applied late.
type Release struct {
	Try          uint64
	Done, Failed bool
}

// Start is when an attempt was first seen running.
type Start struct {
	Try uint64
	At  time.Time
}

// Session is what the owner knows of one worker under its present term.
type Session struct {
	Term     uint64
	Since    time.Time    // when the session began
	Fenced   bool         // the worker has said that it has seen this term
	Report   *api.Checkin // newest report made under this term
	Seen     time.Time    // last sign of life
	Answered time.Time    // latest time at which an answer of ours, or of an owner before us, can have renewed its lease
	Gone     bool         // the cloud has confirmed its end
	Dark     bool         // its lease is surely over
	Releases map[string]Release
	Started  map[string]Start // attempts that were seen running
	Errors   map[string]bool  // jobs whose tasks failed there since one last succeeded
	Idle     time.Time        // since when it has no task; zero: it has some
	Loose    time.Time        // since when its few replicas would fit elsewhere; zero: they don't
	Drain    bool             // it takes no more tasks: it is to be returned
	Asked    time.Time        // when a fence was last sent
	Listed   bool             // the cloud has listed it
	Missing  int              // lists in a row that lacked it since
	Avoid    time.Time        // it refused a task for want of room: none is put there until then
}

// NewSession starts a worker's session under a term. answered is the latest
// time at which an earlier owner can have answered it.
func NewSession(term uint64, now, answered time.Time) *Session {
	return &Session{Term: term, Since: now, Answered: answered, Releases: map[string]Release{}, Errors: map[string]bool{}, Started: map[string]Start{}}
}

// Accept takes a report if it can be believed: made after the worker saw this
// term, and newer than what was taken before. A report under an older token may
// have been held back by a cut since before our predecessor's last commands, so
// it shows nothing about now.
func (s *Session) Accept(c *api.Checkin) bool {
	if c.Baton != s.Term {
		return false
	}
	if s.Report != nil && !c.Newer(s.Report.Tenure, s.Report.Tick) {
		return false
	}
	s.Fenced = true
	s.Report = c
	return true
}

// Dead tells whether the worker's tasks are surely dead: its lease, counted
// from the last answer it can have accepted, is over.
func (s *Session) Dead(now time.Time, bound time.Duration) bool {
	return s.Gone || now.Sub(s.Answered) > bound
}
