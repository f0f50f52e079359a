package job

// RangeCount returns the number of task ranges of the job.
func (r *Record) RangeCount() int { return (r.Spec.Tasks + r.RangeSize - 1) / r.RangeSize }

// RangeLen returns the number of tasks in task range n.
func (r *Record) RangeLen(n int) int { return min(r.RangeSize, r.Spec.Tasks-n*r.RangeSize) }

// RangeFinished reports whether all tasks of task range n are done.
func (r *Record) RangeFinished(n int) bool {
	for i := 0; i+1 < len(r.FinishedRanges); i += 2 {
		if n >= r.FinishedRanges[i] && n < r.FinishedRanges[i+1] {
			return true
		}
	}
	return false
}

// FinishRange marks task range n as finished.
func (r *Record) FinishRange(n int) {
	if r.RangeFinished(n) {
		return
	}
	var intervals []int
	for i := range r.RangeCount() {
		if i != n && !r.RangeFinished(i) {
			continue
		}
		if bounds := len(intervals); bounds > 0 && intervals[bounds-1] == i {
			intervals[bounds-1] = i + 1
		} else {
			intervals = append(intervals, i, i+1)
		}
	}
	r.FinishedRanges = intervals
}

// Complete reports whether every task range is finished.
func (r *Record) Complete() bool {
	return len(r.FinishedRanges) == 2 && r.FinishedRanges[0] == 0 && r.FinishedRanges[1] == r.RangeCount()
}

// FinishedTasks returns the number of tasks in finished task ranges. Done tasks of other ranges
// aren't counted.
func (r *Record) FinishedTasks() int {
	n := 0
	for i := 0; i+1 < len(r.FinishedRanges); i += 2 {
		n += min(r.FinishedRanges[i+1]*r.RangeSize, r.Spec.Tasks) - r.FinishedRanges[i]*r.RangeSize
	}
	return n
}
