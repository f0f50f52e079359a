package job

// Placement is the machine that an unfinished task was assigned to.
type Placement struct {
	Attempt  uint64 `json:"t"`
	Host     string `json:"m"`
	Stopping bool   `json:"s,omitempty"` // it is to leave the machine
	PlacedS  int64  `json:"a,omitempty"` // when it was placed, seconds after the job's acceptance
}

// PlacementOf returns where task i is placed, nil if nowhere.
func (t *TaskRange) PlacementOf(i int) *Placement {
	if t == nil {
		return nil
	}
	return t.Placements[i]
}

// Place places task i on a machine, atS seconds after the job's acceptance, and returns the
// number of the new attempt.
func (t *TaskRange) Place(i int, host string, atS int64) uint64 {
	t.LastAttempt++
	t.Placements[i] = &Placement{Attempt: t.LastAttempt, Host: host, PlacedS: atS}
	return t.LastAttempt
}

// PlaceAttempt places task i of a gang under the attempt number that all its tasks have.
func (t *TaskRange) PlaceAttempt(i int, host string, attempt uint64, atS int64) {
	t.LastAttempt = max(t.LastAttempt, attempt)
	t.Placements[i] = &Placement{Attempt: attempt, Host: host, PlacedS: atS}
}

// EndAttempt removes the placement of task i. It reports whether attempt was the task's
// present one; if not, nothing changes.
func (t *TaskRange) EndAttempt(i int, attempt uint64, done, failed bool) bool {
	p := t.Placements[i]
	if p == nil || p.Attempt != attempt {
		return false
	}
	delete(t.Placements, i)
	switch {
	case done:
		t.setDone(i)
		t.ErrorStreak = 0
	case failed:
		t.ErrorStreak++
	}
	return true
}
