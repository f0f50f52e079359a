package agent

import (
	"cmp"
	"slices"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/statecache"
)

// reportMarginBytes is left free in a worker's next heartbeat: its other fields may grow by some
// digits and by a spot notice.
const reportMarginBytes = 256

// maxHeldClears is the number of ended attempts in a heartbeat above which they are cleared even if
// that takes a raise of the worker's token.
const maxHeldClears = 16

// Urgency orders the commands that stop tasks. A lower value is sent first.
type Urgency int

// The urgencies of stop commands.
const (
	StopRemoved   Urgency = iota // nothing needs the task's end any more: its job is cancelled, or the attempt is not committed
	StopCommitted                // the task's end is to be recorded
)

// StopUrgency returns the urgency of stopping a committed task.
func StopUrgency(cancelled bool) Urgency {
	if cancelled {
		return StopRemoved
	}
	return StopCommitted
}

// stopRequest is a stop command that is to be sent.
type stopRequest struct {
	command     api.Command
	urgency     Urgency
	endReserved bool // the space for the task's end in the next heartbeat is reserved already
}

// CommandSet selects the commands of one message to a worker. The message has at most
// api.MaxMessageBytes, and so has the worker's next heartbeat, which shows the ends of the tasks that
// the commands stop and the tasks that they launch. The most urgent commands are selected first; what
// is left out follows in later messages, because commands are derived again from each heartbeat.
type CommandSet struct {
	worker *Agent
	now    time.Time

	messageBytes int // space left in the message
	reportBytes  int // space left in the next heartbeat
	reserved     int // part of reportBytes that tasks need which may end by themselves
	stops        []stopRequest
	clears       []AttemptID
	selected     []api.Command
	deferred     bool // some stop or clear commands were left out
}

// NewCommandSet returns an empty set of commands for the worker that sent the heartbeat.
func NewCommandSet(worker *Agent, heartbeat *api.Heartbeat, now time.Time) *CommandSet {
	return &CommandSet{
		worker:       worker,
		now:          now,
		messageBytes: api.MaxCommandsBytes,
		reportBytes:  api.MaxMessageBytes - reportMarginBytes - heartbeat.EncodedBytes(),
		selected:     []api.Command{},
	}
}

// ReserveEnd reserves the space for the end of a task that may end before the next heartbeat.
func (s *CommandSet) ReserveEnd() { s.reserved += api.EndGrowth }

// AddStop adds the command that stops a reported task. endReserved is true if ReserveEnd was called
// for the task.
func (s *CommandSet) AddStop(command api.Command, urgency Urgency, endReserved bool) {
	s.stops = append(s.stops, stopRequest{command, urgency, endReserved})
}

// AddClear adds the command that clears an ended attempt.
func (s *CommandSet) AddClear(attempt AttemptID) { s.clears = append(s.clears, attempt) }

// Commands returns the selected commands, in the order in which the worker has to execute them.
func (s *CommandSet) Commands() []api.Command { return s.selected }

// Deferred reports whether stop or clear commands were left out of the message.
func (s *CommandSet) Deferred() bool { return s.deferred }

// SelectStops selects the added stop commands that fit, and reports whether there are any. No command
// is sent before a more urgent one that does not fit.
func (s *CommandSet) SelectStops() bool {
	slices.SortStableFunc(s.stops, func(a, b stopRequest) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.command.Task, b.command.Task))
	})
	leastUrgent := StopCommitted
	for i := range s.stops {
		stop := &s.stops[i]
		if stop.urgency > leastUrgent || !s.selectStop(stop) {
			s.deferred = true
			leastUrgent = min(leastUrgent, stop.urgency)
		}
	}
	return len(s.selected) > 0
}

// selectStop selects a stop command if the message and the next heartbeat have space for it. If only
// the heartbeat has none, and nothing needs the task's end, the task is cleared in the same message.
func (s *CommandSet) selectStop(stop *stopRequest) bool {
	endsAtOnce := stop.command.GraceS == nil || *stop.command.GraceS == 0
	growth := api.SavedEndGrowth
	if endsAtOnce {
		growth = api.EndGrowth
	}
	available := s.reportBytes
	if !stop.endReserved {
		available -= s.reserved
	}
	if available >= growth {
		if !s.add(&stop.command) {
			return false
		}
		s.reportBytes -= growth
		s.releaseReserve(stop)
		return true
	}
	if stop.urgency != StopRemoved || !endsAtOnce {
		return false
	}
	clearing := AttemptID{Task: stop.command.Task, Attempt: stop.command.Attempt}.Command(api.Clear)
	if stop.command.EncodedBytes()+clearing.EncodedBytes() > s.messageBytes {
		return false
	}
	s.fenceLaunches()
	s.add(&stop.command)
	s.add(&clearing)
	s.reportBytes += api.TaskEntryBytes(stop.command.Task)
	s.releaseReserve(stop)
	return true
}

// releaseReserve releases the space reserved for the end of a task that is being stopped.
func (s *CommandSet) releaseReserve(stop *stopRequest) {
	if stop.endReserved {
		s.reserved -= api.EndGrowth
	}
}

// fenceLaunches raises the worker's token unless its launches are fenced.
func (s *CommandSet) fenceLaunches() {
	if !s.worker.LaunchesFenced() {
		s.worker.RaiseToken(s.now)
	}
}

// SelectClears selects the added clear commands that fit into the message. A raise of the token makes
// the next ones within half a lease ineffective, so clears wait for one that is made for launches,
// unless there are many of them, the next heartbeat has less than half its space left, or atOnce is set.
func (s *CommandSet) SelectClears(atOnce bool) {
	mayWait := len(s.clears) <= maxHeldClears && s.reportBytes > api.MaxMessageBytes/2 && !atOnce
	if len(s.clears) == 0 || mayWait && !s.worker.LaunchesFenced() {
		return
	}
	s.fenceLaunches()
	slices.SortFunc(s.clears, func(a, b AttemptID) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	for _, attempt := range s.clears {
		command := attempt.Command(api.Clear)
		if !s.add(&command) {
			s.deferred = true
			return
		}
		s.reportBytes += api.TaskEntryBytes(attempt.Task)
	}
}

// LaunchSelection is the result of SelectLaunch.
type LaunchSelection int

// The results of SelectLaunch.
const (
	LaunchSelected LaunchSelection = iota
	MessageFull                    // the message has no space left
	ReportFull                     // the worker's next heartbeat would have no space for the task
)

// SelectLaunch selects the command that launches an attempt, if there is space for it.
func (s *CommandSet) SelectLaunch(attempt AttemptID) LaunchSelection {
	command := attempt.Command(api.Launch)
	entryBytes := api.TaskEntryBytes(attempt.Task) + api.EndGrowth
	if s.reportBytes-s.reserved < entryBytes {
		return ReportFull
	}
	if !s.add(&command) {
		return MessageFull
	}
	s.reportBytes -= entryBytes
	s.worker.RecordLaunch()
	return LaunchSelected
}

// add selects a command if the message has space for it.
func (s *CommandSet) add(command *api.Command) bool {
	bytes := command.EncodedBytes()
	if bytes > s.messageBytes {
		return false
	}
	s.messageBytes -= bytes
	s.selected = append(s.selected, *command)
	return true
}

// startupIntervals is the number of heartbeat intervals after its start in which a replica may still
// fail because its job was submitted with a mistake.
const startupIntervals = 2

// MayEndBeforeNextHeartbeat reports whether a task on a worker may end without a command before its
// next heartbeat. Replicas of services run on, and so count only for some intervals after their start.
func (r *Registry) MayEndBeforeNextHeartbeat(
	worker *Agent, placementKey string, attempt AttemptID, j *statecache.Job, phase api.TaskPhase, now time.Time,
) bool {
	if phase == api.TaskEnded {
		return false
	}
	if j.Record.Spec.Kind != api.Service || phase != api.TaskRunning {
		return true
	}
	firstRun, known := worker.FirstRuns[placementKey]
	return !known || firstRun.Attempt != attempt.Attempt || now.Sub(firstRun.At) < startupIntervals*r.node.Settings.HeartbeatInterval()
}
