package job

// SplitSize returns the largest size of task ranges into which those of the job can be split so
// that their records fit a value of valueKB KiB, at least 2. The size is an even divisor of the
// current one, so that the finished ranges, and the halves of a spread job, remain valid.
func (r *Record) SplitSize(valueKB float64) int {
	maxSize := TaskRangeSize(valueKB)
	for size := min(maxSize, r.RangeSize); size > 2; size-- {
		if r.RangeSize%size == 0 && size%2 == 0 {
			return size
		}
	}
	return 2
}

// Split changes the record to task ranges of the given size, an even divisor of the current one.
// Each task range is then in a separate record.
func (r *Record) Split(size int) {
	factor := r.RangeSize / size
	if r.Spec.Spread && r.SpreadRangeSize == 0 {
		r.SpreadRangeSize = r.RangeSize // the half of a range that is in one zone may be in any of its smaller ranges
	}
	for i := range r.FinishedRanges {
		r.FinishedRanges[i] *= factor
	}
	r.RangeSize, r.Inline, r.InlineRange, r.Frozen = size, false, nil, false
	r.Generation++
	if n := len(r.FinishedRanges); n > 0 { // the last task range may have had fewer tasks, and is split into fewer ranges
		r.FinishedRanges[n-1] = min(r.FinishedRanges[n-1], r.RangeCount())
	}
}

// SpreadGroup returns the index of the group of tasks that task range n of a job spread over zones
// belongs to, and the number of tasks in the group. At most half of each group may be in one
// zone, and therefore at most half of all tasks. A group is a task range as it was before any split.
func (r *Record) SpreadGroup(n int) (group, tasks int) {
	size := r.RangeSize
	if r.SpreadRangeSize > 0 {
		size = r.SpreadRangeSize
	}
	group = n * r.RangeSize / size
	return group, min(size, r.Spec.Tasks-group*size)
}

// Slice returns a new task range with the n tasks that begin at index from, nil if t is nil.
// It shares nothing with t.
func (t *TaskRange) Slice(from, n int) *TaskRange {
	if t == nil {
		return nil
	}
	slice := &TaskRange{LastAttempt: t.LastAttempt, ErrorStreak: t.ErrorStreak, Placements: map[int]*Placement{}}
	for i := range n {
		if t.Done(from + i) {
			slice.setDone(i)
		}
		if p := t.Placements[from+i]; p != nil {
			placement := *p
			slice.Placements[i] = &placement
		}
	}
	return slice
}
