package statecache

import (
	"cmp"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/job"
	"violetturn/internal/sched"
)

// Job is an unfinished job with its task ranges.
type Job struct {
	Record  *job.Record
	Version uint64                           // version of the main record
	Size    int                              // size of the main record in bytes
	Ranges  map[int]Versioned[job.TaskRange] // task ranges of the current generation, by index

	pending         []TaskIndex // tasks that are neither done nor placed; nil: not computed
	cancelledByPeer bool        // a peer reported the cancellation, which the cached record may not show yet
}

// IsGang reports whether the job's tasks start together.
func (j *Job) IsGang() bool { return j.Record.Spec.Kind == api.Gang }

// RecordCoversTasks reports whether the main record is written with every change of the job's
// tasks, so that its version covers all of them. This holds for a gang, and for a spread job whose
// records were split: its tasks per zone are counted over several task ranges, and a delayed
// transaction would otherwise place a task based on an outdated count.
func (j *Job) RecordCoversTasks() bool { return j.IsGang() || j.Record.SpreadRangeSize > 0 }

// CountPlaced returns the number of tasks that have a placement.
func (j *Job) CountPlaced() int {
	n := 0
	for _, r := range j.Ranges {
		n += len(r.Record.Placements)
	}
	return n
}

// GangPhase returns the phase of a gang's newest attempt.
func (j *Job) GangPhase() job.GangPhase { return j.Record.Gang.Phase(j.CountPlaced()) }

// IsCancelled reports whether the job was cancelled, according to its record or to a peer.
func (j *Job) IsCancelled() bool { return j.Record.Cancelled || j.cancelledByPeer }

// MustStop reports whether a placed task has to be stopped.
func (j *Job) MustStop(p *job.Placement) bool {
	return p.Stopping || j.IsCancelled() || j.IsGang() && j.Record.Gang.MustStop(p.Attempt)
}

// MayLaunch reports whether a placed task may be launched. The tasks of a gang may be launched only
// once all placements of the attempt are reserved.
func (j *Job) MayLaunch(p *job.Placement) bool {
	return !j.MustStop(p) && (!j.IsGang() || j.Record.Gang.MayLaunch(p.Attempt))
}

// maxSaveSeconds is the longest save that a stopped task gets time for. The task holds its machine
// meanwhile, and even the largest job that waits for machines has to start within four minutes.
const maxSaveSeconds = 240

// SavesOnStop reports whether tasks of the job save their progress before they stop: they can, and it
// takes at most maxSaveSeconds. The tasks of a gang do so only if all of them are to be stopped,
// because the save fails if one is missing.
func (j *Job) SavesOnStop() bool {
	spec, gang := &j.Record.Spec, j.Record.Gang
	canSave := spec.CheckpointIntervalS > 0 && spec.SaveDurationS <= maxSaveSeconds
	return !j.IsCancelled() && canSave && (!j.IsGang() || gang != nil && gang.Stopping)
}

// PlacedAt returns when a task was placed.
func (j *Job) PlacedAt(task *PlacedTask) time.Time { return j.Record.TimeAt(task.Placement.PlacedS) }

// RangeRecord returns the key and version of the record that contains a task range.
func (j *Job) RangeRecord(index int) (key string, version uint64) {
	if j.Record.Inline {
		return JobKey(j.Record.Spec.UID), j.Version
	}
	return TaskRangeKey(j.Record.Spec.UID, j.Record.Generation, index), j.Ranges[index].Version
}

// finalState returns the final state of a job whose main record was just deleted, so that users'
// queries for it need no further read. It derives it from the cached record, which is the last one
// because the changes of a record are applied completely and in order. A job's record is deleted
// when the job is cancelled and has no placed tasks, or else when the job is done.
func (j *Job) finalState() job.FinalState {
	if !j.Record.Cancelled || j.Record.Gang != nil && j.Record.Gang.Done {
		return job.FinalState{Phase: api.JobDone, Done: j.Record.Spec.Tasks}
	}
	return job.FinalState{Phase: api.JobCancelled, Done: j.UserState(false).Done}
}

// UserState returns the state of the job that is reported to users. A cancellation is reported at
// once or, if confirmsAfterTasksEnd is set (config.Settings.ConfirmsCancelAfterTasksEnd), when the
// job has no task left on a machine.
func (j *Job) UserState(confirmsAfterTasksEnd bool) api.JobState {
	state := api.JobState{UID: j.Record.Spec.UID, Phase: api.JobPending, Done: j.Record.FinishedTasks()}
	gang := j.Record.Gang
	if gang != nil && gang.Done { // the end is committed, although not all records of the job are deleted yet
		return api.JobState{UID: state.UID, Phase: api.JobDone, Done: j.Record.Spec.Tasks}
	}
	for index, r := range j.Ranges {
		if !j.Record.RangeFinished(index) {
			state.Done += r.Record.DoneCount()
		}
		state.Running += len(r.Record.Placements)
	}
	switch {
	case j.Record.Cancelled && (state.Running == 0 || !confirmsAfterTasksEnd):
		state.Phase = api.JobCancelled
	case j.IsGang() && (gang == nil || !gang.Launched):
		state.Running = 0 // tasks with reserved placements are not running yet
	case state.Running > 0:
		state.Phase = api.JobRunning
	}
	return state
}

// CompareAge orders jobs by time of acceptance, the oldest first.
func CompareAge(a, b *Job) int {
	return cmp.Or(
		cmp.Compare(a.Record.AcceptedMS, b.Record.AcceptedMS),
		cmp.Compare(a.Record.Spec.UID, b.Record.Spec.UID),
	)
}

// ResourcesOf returns the resources that a task of a job uses.
func ResourcesOf(spec *api.Job) sched.Resources {
	return sched.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemGB: spec.MemGB, ReportBytes: float64(spec.TaskReportBytes())}
}

// TaskRequestOf returns the requirements of a task of a job on its machine.
func TaskRequestOf(spec *api.Job) sched.TaskRequest {
	return sched.TaskRequest{
		Need:         ResourcesOf(spec),
		MachineTypes: spec.MachineTypes,
		Zone:         spec.Zone,
		AllowSpot:    spec.AllowSpot,
		Image:        spec.Image,
		Service:      spec.Kind == api.Service,
	}
}
