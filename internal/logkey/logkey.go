// Package logkey defines the attributes of log lines, so that a value is logged under the same key
// everywhere. Operators search for the keys, so they must not change.
package logkey

import (
	"log/slog"
	"time"
)

// Keys of the attributes.
const (
	keyAttempt             = "attempt"
	keyPreviousCount       = "before"
	keyBytes               = "bytes"
	keyCause               = "cause"
	keyPredecessorsStopped = "clean"
	keyCommands            = "commands"
	keyControllers         = "controllers"
	keyErr                 = "err"
	keyHadLeader           = "had_leader"
	keyHost                = "host"
	keyLastContact         = "last_heard"
	keyLaunches            = "launches"
	keyLeader              = "leader"
	keyLease               = "lease"
	keyPhase               = "phase"
	keySaved               = "saved"
	keyShard               = "shard"
	keyTask                = "task"
	keyTasks               = "tasks"
	keyTerm                = "term"
	keyTerminated          = "terminated"
	keyReason              = "why"
)

// Attempt is the attempt number of a task.
func Attempt(attempt uint64) slog.Attr { return slog.Uint64(keyAttempt, attempt) }

// PreviousCount is the previous value of a count that has changed.
func PreviousCount(count int) slog.Attr { return slog.Int(keyPreviousCount, count) }

// Cause is the exit cause of a task as its worker reported it.
func Cause(cause string) slog.Attr { return slog.String(keyCause, cause) }

// PredecessorsStopped is whether all earlier leaders of a shard have certainly stopped responding
// to workers.
func PredecessorsStopped(stopped bool) slog.Attr { return slog.Bool(keyPredecessorsStopped, stopped) }

// Controllers is the number of controllers that share the rate limits.
func Controllers(count int) slog.Attr { return slog.Int(keyControllers, count) }

// Err is an error; it may be nil.
func Err(err error) slog.Attr { return slog.Any(keyErr, err) }

// HadLeader is whether a shard had a leader until now.
func HadLeader(had bool) slog.Attr { return slog.Bool(keyHadLeader, had) }

// Host is the name of a machine.
func Host(name string) slog.Attr { return slog.String(keyHost, name) }

// LastContact is the time at which a heartbeat was last received.
func LastContact(at time.Time) slog.Attr { return slog.Time(keyLastContact, at) }

// Bytes is the length of a message.
func Bytes(length int) slog.Attr { return slog.Int(keyBytes, length) }

// Commands is the number of commands in a message to a worker.
func Commands(count int) slog.Attr { return slog.Int(keyCommands, count) }

// Launches is the number of times that a launch was sent.
func Launches(count int) slog.Attr { return slog.Int(keyLaunches, count) }

// Leader is the controller that leads a shard.
func Leader(name string) slog.Attr { return slog.String(keyLeader, name) }

// Lease is the ID of a lease of the state service.
func Lease(id uint64) slog.Attr { return slog.Uint64(keyLease, id) }

// Phase is the phase of a task as its worker reported it.
func Phase(phase string) slog.Attr { return slog.String(keyPhase, phase) }

// Saved is whether a task saved its progress before it ended.
func Saved(saved bool) slog.Attr { return slog.Bool(keySaved, saved) }

// Shard is the name of a shard, which is the host name of the shard's home controller.
func Shard(name string) slog.Attr { return slog.String(keyShard, name) }

// Task is the name of a task.
func Task(name string) slog.Attr { return slog.String(keyTask, name) }

// Tasks is a number of tasks.
func Tasks(count int) slog.Attr { return slog.Int(keyTasks, count) }

// Term is the term of a shard's leader.
func Term(term uint64) slog.Attr { return slog.Uint64(keyTerm, term) }

// Terminated is whether the cloud has confirmed that a machine is terminated.
func Terminated(terminated bool) slog.Attr { return slog.Bool(keyTerminated, terminated) }

// Reason is the reason for an action, in plain text.
func Reason(reason string) slog.Attr { return slog.String(keyReason, reason) }
