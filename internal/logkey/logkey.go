// Package logkey has the attributes of log lines under their keys, so that the same thing is
// logged under the same key everywhere. The keys are what operators search for: they stay.
package logkey

import (
	"log/slog"
	"time"
)

// Keys of the attributes.
const (
	keyAttempt     = "attempt"
	keyBefore      = "before"
	keyCause       = "cause"
	keyClean       = "clean"
	keyControllers = "controllers"
	keyErr         = "err"
	keyHadLeader   = "had_leader"
	keyHost        = "host"
	keyLastHeard   = "last_heard"
	keyLaunches    = "launches"
	keyLeader      = "leader"
	keyLease       = "lease"
	keyPhase       = "phase"
	keySaved       = "saved"
	keyShard       = "shard"
	keyTask        = "task"
	keyTasks       = "tasks"
	keyTerm        = "term"
	keyTerminated  = "terminated"
	keyWhy         = "why"
)

// Attempt is the attempt of a task.
func Attempt(attempt uint64) slog.Attr { return slog.Uint64(keyAttempt, attempt) }

// PreviousCount is a count as it was before it changed.
func PreviousCount(count int) slog.Attr { return slog.Int(keyBefore, count) }

// Cause is why a task ended, as its worker said.
func Cause(cause string) slog.Attr { return slog.String(keyCause, cause) }

// PredecessorsStopped tells whether no earlier leader can still be answering workers.
func PredecessorsStopped(clean bool) slog.Attr { return slog.Bool(keyClean, clean) }

// Controllers is a number of controllers.
func Controllers(count int) slog.Attr { return slog.Int(keyControllers, count) }

// Err is what went wrong; it may be nil.
func Err(err error) slog.Attr { return slog.Any(keyErr, err) }

// HadLeader tells whether a shard had a leader until now.
func HadLeader(had bool) slog.Attr { return slog.Bool(keyHadLeader, had) }

// Host is a machine by name.
func Host(name string) slog.Attr { return slog.String(keyHost, name) }

// LastContact is when a heartbeat was last heard.
func LastContact(at time.Time) slog.Attr { return slog.Time(keyLastHeard, at) }

// Launches is how often a launch was sent.
func Launches(count int) slog.Attr { return slog.Int(keyLaunches, count) }

// Leader is the controller that leads a shard.
func Leader(name string) slog.Attr { return slog.String(keyLeader, name) }

// Lease is a lease of the state service by its ID.
func Lease(id uint64) slog.Attr { return slog.Uint64(keyLease, id) }

// Phase is the phase of a task, as its worker said.
func Phase(phase string) slog.Attr { return slog.String(keyPhase, phase) }

// Saved tells whether a task saved its progress before it ended.
func Saved(saved bool) slog.Attr { return slog.Bool(keySaved, saved) }

// Shard is a shard by the name of its home controller.
func Shard(name string) slog.Attr { return slog.String(keyShard, name) }

// Task is a task by name.
func Task(name string) slog.Attr { return slog.String(keyTask, name) }

// Tasks is a number of tasks.
func Tasks(count int) slog.Attr { return slog.Int(keyTasks, count) }

// Term is the term of a leader.
func Term(term uint64) slog.Attr { return slog.Uint64(keyTerm, term) }

// Terminated tells whether the cloud has confirmed the end of a machine.
func Terminated(terminated bool) slog.Attr { return slog.Bool(keyTerminated, terminated) }

// Reason is the reason of what was done, in words.
func Reason(reason string) slog.Attr { return slog.String(keyWhy, reason) }
