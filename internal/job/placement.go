package job

// Placement records on which machine an attempt of an unfinished task is placed.
type Placement struct {
	Attempt  uint64 `json:"t"`
	Host     string `json:"m"`
	Stopping bool   `json:"s,omitempty"` // the task is to be stopped
	PlacedS  int64  `json:"a,omitempty"` // time of the placement, in seconds after the job was accepted
}

// PlacementOf returns the placement of task i, nil if it has none.
func (t *TaskRange) PlacementOf(i int) *Placement {
	if t == nil {
		return nil
	}
	return t.Placements[i]
}

// Place places task i on a machine, placedS seconds after the job was accepted, and returns the
// number of the new attempt.
func (t *TaskRange) Place(i int, host string, placedS int64) uint64 {
	t.LastAttempt++
	t.Placements[i] = &Placement{Attempt: t.LastAttempt, Host: host, PlacedS: placedS}
	return t.LastAttempt
}

// PlaceGangTask places task i of a gang on a machine, placedS seconds after the job was accepted, under
// the attempt number that all tasks of the gang share.
func (t *TaskRange) PlaceGangTask(i int, host string, attempt uint64, placedS int64) {
	t.LastAttempt = max(t.LastAttempt, attempt)
	t.Placements[i] = &Placement{Attempt: attempt, Host: host, PlacedS: placedS}
}

// EndAttempt removes the placement of task i. If the task is done, it marks the task as done and
// resets the streak of failures; if the attempt failed, it increments the streak. It reports whether
// the placement has the given attempt number; if not, it changes nothing.
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
