package statecache

// TaskIndex is a task of a job, by its range and its place there.
type TaskIndex struct{ RangeIndex, Index int }

// maxPendingTasks is how many tasks of one job are considered at once: what some sixteen thousand
// machines of two accelerators take. A job may have more (api.MaxTasks); they follow when
// some of these are placed.
const maxPendingTasks = 1 << 15

// PendingTasks returns the job's tasks that are neither done nor placed, at most
// maxPendingTasks; all of a gang. Plans ask for those of all jobs, so they are kept until the
// job changes. Who changes the list copies it.
func (j *Job) PendingTasks() []TaskIndex {
	if j.pending == nil {
		j.pending = j.ComputePendingTasks()
	}
	return j.pending
}

// ComputePendingTasks works PendingTasks out anew. It is never nil.
func (j *Job) ComputePendingTasks() []TaskIndex {
	pending := []TaskIndex{}
	record, most := j.Record, maxPendingTasks
	if record.Frozen {
		return pending
	}
	if j.IsGang() {
		if !record.Gang.AcceptsPlacements() && (record.Gang.Done || j.CountPlaced() > 0) {
			return pending // all of the attempt has to be over first
		}
		most = record.Spec.Tasks
	}
	for index := range record.RangeCount() {
		if record.RangeFinished(index) {
			continue
		}
		tasks := j.Ranges[index].Record
		for i, done := range tasks.DoneFlags(record.RangeLen(index)) {
			if done || tasks.PlacementOf(i) != nil {
				continue
			}
			pending = append(pending, TaskIndex{RangeIndex: index, Index: i})
			if len(pending) == most {
				return pending
			}
		}
	}
	return pending
}
