package job

// SplitSize returns the size of the task ranges into which those of the job can be split so
// that their records fit a value of valueKB KiB: an even divisor of the present size, so that
// the finished ranges, and the halves of a spread job, remain valid.
func (r *Record) SplitSize(valueKB float64) int {
	most := TaskRangeSize(valueKB)
	for size := min(most, r.RangeSize); size > 2; size-- {
		if r.RangeSize%size == 0 && size%2 == 0 {
			return size
		}
	}
	return 2
}

// Split changes the record to that of the job with task ranges of the given size, an even
// divisor of the present one, each in a record of its own.
func (r *Record) Split(size int) {
	factor := r.RangeSize / size
	if r.Spec.Spread && r.SpreadRangeSize == 0 {
		r.SpreadRangeSize = r.RangeSize // half of one zone's tasks may be in any of the smaller task ranges
	}
	for i := range r.FinishedRanges {
		r.FinishedRanges[i] *= factor
	}
	r.RangeSize, r.Inline, r.InlineRange, r.Frozen = size, false, nil, false
	r.Generation++
	if n := len(r.FinishedRanges); n > 0 { // the last task range may have been a short one
		r.FinishedRanges[n-1] = min(r.FinishedRanges[n-1], r.RangeCount())
	}
}

// SpreadGroup returns the group of tasks that task range n belongs to when the job is spread
// over zones, and the number of tasks in the group. At most half of a group may be in one
// zone, and so at most half of all tasks.
func (r *Record) SpreadGroup(n int) (group, tasks int) {
	size := r.RangeSize
	if r.SpreadRangeSize > 0 {
		size = r.SpreadRangeSize
	}
	group = n * r.RangeSize / size
	return group, min(size, r.Spec.Tasks-group*size)
}

// Slice returns the n tasks from index from on as a task range of their own, nil if nothing
// is known of them.
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
			own := *p
			slice.Placements[i] = &own
		}
	}
	return slice
}
