package api

import "slices"

// JobKind is a kind of job. Its value is the word that the protocol uses.
type JobKind string

// Kinds of jobs.
const (
	Array   JobKind = "sweep"    // the tasks run and complete independently
	Service JobKind = "daemon"   // the tasks run until the job is cancelled
	Gang    JobKind = "ensemble" // either all tasks run at the same time or none
)

// Known reports whether the kind is one of the constants above.
func (k JobKind) Known() bool { return k == Array || k == Service || k == Gang }

// String returns the word that the protocol uses.
func (k JobKind) String() string { return string(k) }

// JobPhase is a phase of a job as reported to users. Its value is the word that the protocol uses.
type JobPhase string

// Phases of jobs.
const (
	JobPending   JobPhase = "pending"   // no task is placed on a machine; of a gang: not all tasks are placed yet
	JobRunning   JobPhase = "running"   // at least one task is placed on a machine; of a gang: all tasks were placed
	JobDone      JobPhase = "done"      // all tasks have completed; final
	JobCancelled JobPhase = "withdrawn" // final
)

// Final reports whether a job never leaves the phase.
func (p JobPhase) Final() bool { return p == JobDone || p == JobCancelled }

// String returns the word that the protocol uses.
func (p JobPhase) String() string { return string(p) }

// Priority is the priority of a job. Its value is the word that the protocol uses.
type Priority string

// Priorities of jobs.
const (
	Production Priority = "production"
	Urgent     Priority = "urgent"
	Standard   Priority = "standard"
	Idle       Priority = "idle"
)

// priorities lists all priorities, the most important first.
var priorities = []Priority{Production, Urgent, Standard, Idle}

// Known reports whether the priority is one of the constants above.
func (p Priority) Known() bool { return slices.Contains(priorities, p) }

// Level returns the position of a priority in the order of importance; 0 is the most important.
// An unknown priority also has level 0; ParseJob rejects jobs with such a priority.
func (p Priority) Level() int { return max(0, slices.Index(priorities, p)) }

// String returns the word that the protocol uses.
func (p Priority) String() string { return string(p) }

// TaskPhase is a phase of a task on its machine. Its value is the word that the protocol uses.
type TaskPhase string

// Phases of tasks in heartbeats.
const (
	TaskFetching  TaskPhase = "pulling"   // waits until its image has been fetched
	TaskGathering TaskPhase = "gathering" // task of a gang: waits until all tasks of its attempt are ready
	TaskRunning   TaskPhase = "running"
	TaskSaving    TaskPhase = "saving" // is being stopped and saves its progress
	TaskEnded     TaskPhase = "ended"  // the ExitCause states why
)

// Known reports whether this version of the program supports the phase. A task in an unknown phase
// is treated as running.
func (p TaskPhase) Known() bool {
	switch p {
	case TaskFetching, TaskGathering, TaskRunning, TaskSaving, TaskEnded:
		return true
	}
	return false
}

// String returns the word that the protocol uses.
func (p TaskPhase) String() string { return string(p) }

// ExitCause is the reason why a task ended. Its value is the word that the protocol uses.
type ExitCause string

// Reasons why tasks end.
const (
	CauseDone                  ExitCause = "done"       // completed
	CauseStopped               ExitCause = "stopped"    // stopped by a command
	CauseError                 ExitCause = "error"      // the task failed
	CauseInsufficientResources ExitCause = "no_room"    // not started: the machine lacks free capacity
	CauseBusy                  ExitCause = "busy"       // not started: another attempt of the task is on the machine
	CauseUnknownTask           ExitCause = "unknown"    // not started: no such job or task
	CausePeerLost              ExitCause = "mates_gone" // task of a gang: another task of the gang has ended
	CauseGangIncomplete        ExitCause = "alone"      // task of a gang: not all tasks of the gang were ready in time
)

// Known reports whether this version of the program supports the cause. A task that ended with an
// unknown cause counts as not completed, but neither as a failure of the task nor of its machine.
func (c ExitCause) Known() bool {
	switch c {
	case CauseDone, CauseStopped, CauseError, CauseInsufficientResources, CauseBusy, CauseUnknownTask, CausePeerLost, CauseGangIncomplete:
		return true
	}
	return false
}

// String returns the word that the protocol uses.
func (c ExitCause) String() string { return string(c) }

// CommandAction is what a command directs a worker to do. Its value is the word that the protocol
// uses.
type CommandAction string

// Actions of commands to workers.
const (
	Launch CommandAction = "launch" // start a task
	Stop   CommandAction = "halt"   // stop a task, which may save its progress within the grace period
	Clear  CommandAction = "clear"  // remove an ended task from the worker's list of tasks
)

// String returns the word that the protocol uses.
func (a CommandAction) String() string { return string(a) }
