package statecache

// TaskIndex is a task that is neither done nor placed.
type TaskIndex struct{ RangeIndex, Index int }

// maxPendingTasks is how many tasks of one job are looked at at once: what some sixteen thousand
// machines of two accelerators take. A job may have more (api.MaxTasks); they follow when
// some of these are placed.
const maxPendingTasks = 1 << 15

// PendingTasks returns the job's tasks that are neither done nor placed, at most mostPending.
// Plans ask for those of all jobs, so they are kept until the job changes. Who
// changes the list copies it.
func (j *Job) PendingTasks() []TaskIndex {
	most := maxPendingTasks
	if j.Pending != nil {
		return j.Pending
	}
	j.Pending = []TaskIndex{}
	m := j.Record
	if m.Frozen {
		return j.Pending
	}
	if IsGang(j) {
		if most = m.Spec.Tasks; !m.Gang.AcceptsPlacements() && (m.Gang.Done || j.CountPlaced() > 0) {
			return j.Pending // all of the attempt has to be over first
		}
	}
	for n := range m.RangeCount() {
		if m.RangeFinished(n) {
			continue
		}
		ch := j.Ranges[n].Record
		for i, done := range ch.DoneFlags(m.RangeLen(n)) {
			if done || ch.PlacementOf(i) != nil {
				continue
			}
			if j.Pending = append(j.Pending, TaskIndex{n, i}); len(j.Pending) == most {
				return j.Pending
			}
		}
	}
	return j.Pending
}
