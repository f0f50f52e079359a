package statecache

import (
	"cmp"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
)

// Job is a living job with its task ranges.
type Job struct {
	Record  *job.Record
	Version uint64                           // of its main record
	Size    int                              // bytes of its main record
	Ranges  map[int]Versioned[job.TaskRange] // those of its present generation, by index

	pending         []TaskIndex // what is neither done nor placed; nil: to be worked out
	cancelledByPeer bool        // a peer says that it was cancelled, though its record doesn't show it yet
}

// IsGang reports whether the job's tasks start together.
func (j *Job) IsGang() bool { return j.Record.Spec.Kind == api.Gang }

// RecordCoversTasks reports whether the main record is written with every change of the
// job's tasks, so that its version is that of all of them: of a gang, and of a spread job
// whose records were split, whose zones are counted over several task ranges. A transaction
// that is carried out late would otherwise place a task by an old count.
func (j *Job) RecordCoversTasks() bool { return j.IsGang() || j.Record.SpreadRangeSize > 0 }

// CountPlaced returns how many tasks have a placement.
func (j *Job) CountPlaced() int {
	n := 0
	for _, r := range j.Ranges {
		n += len(r.Record.Placements)
	}
	return n
}

// GangPhase returns how a gang's attempt stands.
func (j *Job) GangPhase() job.GangPhase { return j.Record.Gang.Phase(j.CountPlaced()) }

// IsCancelled reports whether the job was cancelled, as its record shows or a peer says.
func (j *Job) IsCancelled() bool { return j.Record.Cancelled || j.cancelledByPeer }

// MustStop reports whether a placed task has to leave its machine.
func (j *Job) MustStop(p *job.Placement) bool {
	return p.Stopping || j.IsCancelled() || j.IsGang() && j.Record.Gang.MustStop(p.Attempt)
}

// MayLaunch reports whether a placed task may be launched: of a gang only once all its
// placements are reserved.
func (j *Job) MayLaunch(p *job.Placement) bool {
	return !j.MustStop(p) && (!j.IsGang() || j.Record.Gang.MayLaunch(p.Attempt))
}

// SavesOnStop reports whether tasks of the job that have to stop save their progress first:
// of a gang only if all are told to, for the save fails without one of them.
func (j *Job) SavesOnStop() bool {
	gang := j.Record.Gang
	return !j.IsCancelled() && j.Record.Spec.CheckpointS > 0 && (!j.IsGang() || gang != nil && gang.Stopping)
}

// PlacedAtMS returns when a task was placed, in milliseconds of the time of day.
func (j *Job) PlacedAtMS(task *PlacedTask) int64 {
	const millisecondsPerSecond = 1000
	return j.Record.AcceptedMS + task.Placement.PlacedS*millisecondsPerSecond
}

// RangeRecord returns the key and version of the record that holds a task range.
func (j *Job) RangeRecord(index int) (key string, version uint64) {
	if j.Record.Inline {
		return JobKey(j.Record.Spec.UID), j.Version
	}
	return TaskRangeKey(j.Record.Spec.UID, j.Record.Generation, index), j.Ranges[index].Version
}

// finalState returns how a job ended whose record was just dropped, from the version before,
// which is the last there was: each change of a record was seen, in order. A job is dropped
// when it is cancelled and empty, or else done. So users who ask how it ended need no
// further read.
func (j *Job) finalState() job.FinalState {
	if !j.Record.Cancelled || j.Record.Gang != nil && j.Record.Gang.Done {
		return job.FinalState{Phase: api.JobDone, Done: j.Record.Spec.Tasks}
	}
	return job.FinalState{Phase: api.JobCancelled, Done: j.UserState(false).Done}
}

// UserState returns what users are told of the job. One that was cancelled is told so at
// once, or, if confirmsEmpty (config.Settings.ConfirmsCancelWhenEmpty), when it has no task
// left on a machine.
func (j *Job) UserState(confirmsEmpty bool) api.State {
	state := api.State{UID: j.Record.Spec.UID, Phase: api.JobPending, Done: j.Record.FinishedTasks()}
	gang := j.Record.Gang
	if gang != nil && gang.Done { // committed, though not all of its records are gone yet
		return api.State{UID: state.UID, Phase: api.JobDone, Done: j.Record.Spec.Tasks}
	}
	for index, r := range j.Ranges {
		if !j.Record.RangeFinished(index) {
			state.Done += r.Record.DoneCount()
		}
		state.Running += len(r.Record.Placements)
	}
	switch {
	case j.Record.Cancelled && (state.Running == 0 || !confirmsEmpty):
		state.Phase = api.JobCancelled
	case j.IsGang() && (gang == nil || !gang.Launched):
		state.Running = 0 // reserved placements run nothing yet
	case state.Running > 0:
		state.Phase = api.JobRunning
	}
	return state
}

// CompareAge orders jobs by when they were accepted, the older first.
func CompareAge(a, b *Job) int {
	return cmp.Or(
		cmp.Compare(a.Record.AcceptedMS, b.Record.AcceptedMS),
		cmp.Compare(a.Record.Spec.UID, b.Record.Spec.UID),
	)
}

// ResourcesOf returns the room that a task of a job takes.
func ResourcesOf(spec *api.Job) sched.Resources {
	return sched.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemGB: spec.MemGB}
}

// TaskRequestOf returns what a task of a job asks of a machine.
func TaskRequestOf(spec *api.Job) sched.TaskRequest {
	return sched.TaskRequest{
		Need:         ResourcesOf(spec),
		MachineTypes: spec.MachineTypes,
		Zone:         spec.Zone,
		AllowSpot:    spec.Spot,
		Image:        spec.Image,
		Service:      spec.Kind == api.Service,
	}
}
