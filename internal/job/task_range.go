package job

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/bits"

	"violetturn/internal/api"
)

// TaskRange is the record of a range of consecutive tasks of one job. Its methods number the
// tasks from the start of the range. A nil task range is one that was never changed; the
// methods that only read accept it.
type TaskRange struct {
	LastAttempt uint64             `json:"c,omitempty"` // the highest attempt number assigned in this range
	ErrorStreak int                `json:"e,omitempty"` // consecutive failures of tasks of this range
	DoneBits    string             `json:"d,omitempty"` // bitmap of the done tasks in base64
	Placements  map[int]*Placement `json:"p,omitempty"` // by task, placements of the unfinished tasks that are or may be on a machine
}

// ParseTaskRange decodes a task range's record. It returns an error if the record is malformed.
func ParseTaskRange(raw []byte) (*TaskRange, error) {
	var t TaskRange
	if err := json.Unmarshal(raw, &t); err != nil {
		return nil, fmt.Errorf("decoding a task range: %w", err)
	}
	if err := t.validate(); err != nil {
		return nil, err
	}
	return &t, nil
}

// validate returns an error if the bitmap of done tasks is malformed or a placement is not one of a
// task. It also bounds the other numbers and initializes a nil map of placements, so that entries can
// be added.
func (t *TaskRange) validate() error {
	if _, err := base64.RawStdEncoding.DecodeString(t.DoneBits); err != nil {
		return fmt.Errorf("decoding the done tasks: %w", err)
	}
	if t.Placements == nil {
		t.Placements = map[int]*Placement{}
	}
	for i, placement := range t.Placements {
		if i < 0 || i >= api.MaxTasks || placement == nil {
			return fmt.Errorf("placement of task %d: %w", i, ErrOutOfRange)
		}
		placement.PlacedS = boundSeconds(placement.PlacedS)
	}
	t.ErrorStreak = boundStreak(t.ErrorStreak)
	return nil
}

// Copy returns an independent copy of the record, or an empty record for a nil task range.
func (t *TaskRange) Copy() *TaskRange {
	if t == nil {
		return &TaskRange{Placements: map[int]*Placement{}}
	}
	copied := *t
	copied.Placements = make(map[int]*Placement, len(t.Placements))
	for i, p := range t.Placements {
		placement := *p
		copied.Placements[i] = &placement
	}
	return &copied
}

// Done reports whether task i is done.
func (t *TaskRange) Done(i int) bool { return t != nil && hasBit(t.decodeDone(), i) }

// DoneFlags reports for each of the first n tasks whether it is done.
func (t *TaskRange) DoneFlags(n int) []bool {
	flags := make([]bool, n)
	if t == nil {
		return flags
	}
	done := t.decodeDone()
	for i := range flags {
		flags[i] = hasBit(done, i)
	}
	return flags
}

// DoneCount returns the number of tasks that are done.
func (t *TaskRange) DoneCount() int {
	if t == nil {
		return 0
	}
	n := 0
	for _, b := range t.decodeDone() {
		n += bits.OnesCount8(b)
	}
	return n
}

func (t *TaskRange) decodeDone() []byte {
	b, _ := base64.RawStdEncoding.DecodeString(t.DoneBits) // validated when the record was parsed
	return b
}

func (t *TaskRange) setDone(i int) {
	b := t.decodeDone()
	for len(b) <= i/8 {
		b = append(b, 0)
	}
	b[i/8] |= 1 << (i % 8)
	t.DoneBits = base64.RawStdEncoding.EncodeToString(b)
}

// hasBit reports whether bit i of b is set. Bits past the end of b count as unset.
func hasBit(b []byte, i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }
