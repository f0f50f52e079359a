package statecache

// TaskIndex identifies a task of a job by the index of its range and its index within the range.
type TaskIndex struct{ RangeIndex, Index int }

// maxPendingTasks bounds the tasks of one job that are considered at once: as many as some sixteen
// thousand machines with two GPUs each can run. A job may have more (api.MaxTasks); they are
// considered once some of these are placed.
const maxPendingTasks = 1 << 15

// PendingTasks returns the job's tasks that are neither done nor placed and may be placed now: all
// of a gang, otherwise at most maxPendingTasks. The result is cached until the job changes, because
// each plan requests it for all jobs. The caller must not change the slice.
func (j *Job) PendingTasks() []TaskIndex {
	if j.pending == nil {
		j.pending = j.ComputePendingTasks()
	}
	return j.pending
}

// ComputePendingTasks computes PendingTasks without the cached result. The result is never nil.
func (j *Job) ComputePendingTasks() []TaskIndex {
	pending := []TaskIndex{}
	record, limit := j.Record, maxPendingTasks
	if record.Frozen {
		return pending
	}
	if j.IsGang() {
		if !record.Gang.AcceptsPlacements() && (record.Gang.Done || j.CountPlaced() > 0) {
			return pending // all tasks of the current attempt have to end first
		}
		limit = record.Spec.Tasks
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
			if len(pending) == limit {
				return pending
			}
		}
	}
	return pending
}
