package api

import "slices"

// JobKind is a kind of job. Its value is the wire's word.
type JobKind string

// Kinds of jobs.
const (
	Array   JobKind = "sweep"    // tasks that run and complete independently
	Service JobKind = "daemon"   // tasks that run until the job is cancelled
	Gang    JobKind = "ensemble" // all tasks at the same time or none
)

// Known reports whether there is such a kind.
func (k JobKind) Known() bool { return k == Array || k == Service || k == Gang }

// String returns the wire's word.
func (k JobKind) String() string { return string(k) }

// JobPhase is a phase of a job, as users are told it. Its value is the wire's word.
type JobPhase string

// Phases of jobs.
const (
	JobPending   JobPhase = "pending"   // no task runs
	JobRunning   JobPhase = "running"   // some do
	JobDone      JobPhase = "done"      // all tasks are done; final
	JobCancelled JobPhase = "withdrawn" // final
)

// Final reports whether a job stays in the phase for ever.
func (p JobPhase) Final() bool { return p == JobDone || p == JobCancelled }

// String returns the wire's word.
func (p JobPhase) String() string { return string(p) }

// Priority is the priority of a job. Its value is the wire's word.
type Priority string

// Priorities of jobs.
const (
	Production Priority = "production"
	Urgent     Priority = "urgent"
	Standard   Priority = "standard"
	Idle       Priority = "idle"
)

// priorities are all of them, from the most important one.
var priorities = []Priority{Production, Urgent, Standard, Idle}

// Known reports whether there is such a priority.
func (p Priority) Known() bool { return slices.Contains(priorities, p) }

// Level returns the place of a priority in their order: 0 is the most important. A word that is
// no priority has the level 0; ParseJob takes none.
func (p Priority) Level() int { return max(0, slices.Index(priorities, p)) }

// String returns the wire's word.
func (p Priority) String() string { return string(p) }

// TaskPhase is a phase of a task on its machine. Its value is the wire's word.
type TaskPhase string

// Phases of tasks in heartbeats.
const (
	TaskFetching  TaskPhase = "pulling"   // waits for its image
	TaskGathering TaskPhase = "gathering" // of a gang: waits for the other tasks of its attempt
	TaskRunning   TaskPhase = "running"
	TaskSaving    TaskPhase = "saving" // was told to stop and saves
	TaskEnded     TaskPhase = "ended"  // see its cause
)

// Known reports whether PROTOCOL, as this version knows it, has such a phase. One that it does
// not have is read as a task that runs.
func (p TaskPhase) Known() bool {
	switch p {
	case TaskFetching, TaskGathering, TaskRunning, TaskSaving, TaskEnded:
		return true
	}
	return false
}

// String returns the wire's word.
func (p TaskPhase) String() string { return string(p) }

// ExitCause is the cause of a task's end. Its value is the wire's word.
type ExitCause string

// Causes of a task's end.
const (
	CauseDone                  ExitCause = "done"       // completed
	CauseStopped               ExitCause = "stopped"    // by command
	CauseError                 ExitCause = "error"      // failed
	CauseInsufficientResources ExitCause = "no_room"    // start refused: not enough free resources
	CauseBusy                  ExitCause = "busy"       // start refused: the machine has another attempt of the task
	CauseUnknown               ExitCause = "unknown"    // start refused: no such job or task
	CausePeerLost              ExitCause = "mates_gone" // of a gang: another task of it has ended
	CauseGangIncomplete        ExitCause = "alone"      // of a gang: it was not complete in time
)

// Known reports whether PROTOCOL, as this version knows it, has such a cause. One that it does
// not have is read as an end without success that is nobody's fault.
func (c ExitCause) Known() bool {
	switch c {
	case CauseDone, CauseStopped, CauseError, CauseInsufficientResources, CauseBusy, CauseUnknown, CausePeerLost, CauseGangIncomplete:
		return true
	}
	return false
}

// String returns the wire's word.
func (c ExitCause) String() string { return string(c) }

// CommandAction is what a command tells a worker to do. Its value is the wire's word.
type CommandAction string

// Actions of commands to workers.
const (
	Launch CommandAction = "launch" // start a task
	Stop   CommandAction = "halt"   // stop a task, which saves its progress within the grace
	Clear  CommandAction = "clear"  // remove an ended task
)

// String returns the wire's word.
func (a CommandAction) String() string { return string(a) }
