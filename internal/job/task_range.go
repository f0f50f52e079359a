package job

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/bits"
)

// TaskRange is the record of a range of consecutive tasks of one job. Its methods count the
// tasks from the start of the range. A nil task range is one that was never touched; the
// methods that only read accept it.
type TaskRange struct {
	LastAttempt uint64             `json:"c,omitempty"` // the last attempt number given out in this range
	ErrorStreak int                `json:"e,omitempty"` // failures in a row
	DoneBits    string             `json:"d,omitempty"` // done tasks, a bit each, base64
	Placements  map[int]*Placement `json:"p,omitempty"` // unfinished tasks that are on a machine, or may be
}

// ParseTaskRange decodes a task range's record. It returns an error if the record is malformed.
func ParseTaskRange(raw []byte) (*TaskRange, error) {
	var t TaskRange
	if err := json.Unmarshal(raw, &t); err != nil {
		return nil, fmt.Errorf("decoding a task range: %w", err)
	}
	if err := t.check(); err != nil {
		return nil, err
	}
	return &t, nil
}

// check returns an error if the done bits are malformed. It makes the placements ready to be
// added to.
func (t *TaskRange) check() error {
	if _, err := base64.RawStdEncoding.DecodeString(t.DoneBits); err != nil {
		return fmt.Errorf("decoding the done tasks: %w", err)
	}
	if t.Placements == nil {
		t.Placements = map[int]*Placement{}
	}
	return nil
}

// Copy returns a copy of the record that can be changed, an empty one of a nil task range.
func (t *TaskRange) Copy() *TaskRange {
	if t == nil {
		return &TaskRange{Placements: map[int]*Placement{}}
	}
	c := *t
	c.Placements = make(map[int]*Placement, len(t.Placements))
	for i, p := range t.Placements {
		own := *p
		c.Placements[i] = &own
	}
	return &c
}

// Done reports whether task i is done.
func (t *TaskRange) Done(i int) bool { return t != nil && hasBit(t.decodeDone(), i) }

// DoneFlags returns for each of the first n tasks whether it is done.
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
	b, _ := base64.RawStdEncoding.DecodeString(t.DoneBits) // checked when the record was read
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

// hasBit reports whether bit i of b is set; bits past its end are not.
func hasBit(b []byte, i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }
