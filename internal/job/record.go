// Package job holds the records of a job and what may happen to them. A job
// that lives has one main record and a record for each task range of its tasks that
// was ever touched; a job that is over has one short past record.
package job

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"

	"violetturn/internal/api"
)

// Record is a living job's main record.
type Record struct {
	Spec           api.Job    `json:"r"`
	Shard          string     `json:"p"`           // the part whose owner places it
	AcceptedMS     int64      `json:"at"`          // time of day of its acceptance
	RangeSize      int        `json:"k"`           // tasks in a chunk
	Cancelled      bool       `json:"w,omitempty"` // withdrawn, some tasks may still be on machines
	FinishedRanges []int      `json:"f,omitempty"` // chunks that are done, as ranges [from, to, from, to, ...)
	Zone           string     `json:"z,omitempty"` // the zone of a job whose tasks go together, once chosen
	Inline         bool       `json:"i,omitempty"` // its one chunk is kept here, not in a record of its own
	InlineRange    *TaskRange `json:"o,omitempty"` // that chunk, once touched

	// The version in production knows none of these and would lose them: they are
	// written only once every configured controller has shown that it reads them.
	Generation      int   `json:"n,omitempty"` // how often its tasks were divided into smaller chunks
	SpreadRangeSize int   `json:"h,omitempty"` // of a scattered job that was divided: the chunk size by which its zones are counted
	Frozen          bool  `json:"x,omitempty"` // its tasks are being divided: nothing else changes them
	Gang            *Gang `json:"e,omitempty"` // of an ensemble: how its attempt stands
}

// ChooseLayout decides how the job's tasks are recorded. A job whose tasks all fit into
// its main record needs no other one: half as many changes for it. dense counts with
// names of machines as they usually are; a record that outgrows a value all the same is
// divided, which the version in production can't do.
func (m *Record) ChooseLayout(valueKB float64, size int, dense bool) {
	e := placementBytes
	if dense {
		e = densePlacementBytes
	}
	m.RangeSize = rangeSizeFor(valueKB, e)
	if m.Spec.Kind == api.Gang {
		size += gangExtraBytes
	}
	if m.Spec.Tasks <= m.RangeSize && size+m.Spec.Tasks*e+recordExtraBytes <= int(valueKB*1024) {
		m.Inline = true
	}
}

// bytes of one place at most, host names of 20 bytes included, and of what a
// main record gets besides.
const (
	placementBytes      = 80
	densePlacementBytes = 48 // with names of ten bytes
	recordExtraBytes    = 256
	gangExtraBytes      = 128
)

// FinalState is what stays of a job that is over.
type FinalState struct {
	Phase string `json:"phase"`
	Done  int    `json:"done"`
}

// Placement is where an unfinished task was put.
type Placement struct {
	Attempt  uint64 `json:"t"`
	Host     string `json:"m"`
	Stopping bool   `json:"s,omitempty"` // it is to leave the machine
	PlacedS  int64  `json:"a,omitempty"` // when it was put there, seconds after the job's acceptance
}

// TaskRange is the record of a run of tasks of one job.
type TaskRange struct {
	LastAttempt uint64             `json:"c,omitempty"` // the last attempt number given out in this chunk
	Errors      int                `json:"e,omitempty"` // failures in a row
	DoneBits    string             `json:"d,omitempty"` // done tasks, a bit each, base64
	Placements  map[int]*Placement `json:"p,omitempty"` // unfinished tasks that are on a machine, or may be
}

// TaskRangeSize is the number of tasks in a task range, such that its record fits a
// value of the state service even with every task placed.
func TaskRangeSize(valueKB float64) int { return rangeSizeFor(valueKB, placementBytes) }

func rangeSizeFor(valueKB float64, e int) int {
	return min(max(int(valueKB*1024)/e/2*2, 2), 512)
}

// RangeCount is the number of task ranges of the job.
func (m *Record) RangeCount() int { return (m.Spec.Tasks + m.RangeSize - 1) / m.RangeSize }

// RangeLen is the number of tasks in task range n.
func (m *Record) RangeLen(n int) int { return min(m.RangeSize, m.Spec.Tasks-n*m.RangeSize) }

// RangeFinished reports whether task range n is done.
func (m *Record) RangeFinished(n int) bool {
	for i := 0; i+1 < len(m.FinishedRanges); i += 2 {
		if n >= m.FinishedRanges[i] && n < m.FinishedRanges[i+1] {
			return true
		}
	}
	return false
}

// FinishRange marks task range n as done.
func (m *Record) FinishRange(n int) {
	if m.RangeFinished(n) {
		return
	}
	var all []int
	for i := range m.RangeCount() {
		if i != n && !m.RangeFinished(i) {
			continue
		}
		if k := len(all); k > 0 && all[k-1] == i {
			all[k-1] = i + 1
		} else {
			all = append(all, i, i+1)
		}
	}
	m.FinishedRanges = all
}

// Complete reports whether every task range is done.
func (m *Record) Complete() bool {
	return len(m.FinishedRanges) == 2 && m.FinishedRanges[0] == 0 && m.FinishedRanges[1] == m.RangeCount()
}

// FinishedTasks counts the tasks of finished task ranges.
func (m *Record) FinishedTasks() int {
	n := 0
	for i := 0; i+1 < len(m.FinishedRanges); i += 2 {
		n += min(m.FinishedRanges[i+1]*m.RangeSize, m.Spec.Tasks) - m.FinishedRanges[i]*m.RangeSize
	}
	return n
}

// Copy copies the record so that it can be changed.
func (m *Record) Copy() *Record {
	c := *m
	c.FinishedRanges = slices.Clone(m.FinishedRanges)
	if m.Gang != nil {
		g := *m.Gang
		c.Gang = &g
	}
	return &c
}

// SplitSize returns the size of task ranges into which those of the job can be divided so that
// their records fit a value: an even part of the present size, so that what is done
// and what is spread by halves stays so.
func (m *Record) SplitSize(valueKB float64) int {
	most := TaskRangeSize(valueKB)
	for k := min(most, m.RangeSize); k > 2; k-- {
		if m.RangeSize%k == 0 && k%2 == 0 {
			return k
		}
	}
	return 2
}

// Split turns the record into that of the job with task ranges of size k, an even part
// of the present size, each with a record of its own.
func (m *Record) Split(k int) {
	each := m.RangeSize / k
	if m.Spec.Spread && m.SpreadRangeSize == 0 {
		m.SpreadRangeSize = m.RangeSize // half of one zone's tasks may be in any of the smaller task ranges
	}
	for i := range m.FinishedRanges {
		m.FinishedRanges[i] *= each
	}
	m.RangeSize, m.Inline, m.InlineRange, m.Frozen = k, false, nil, false
	m.Generation++
	if n := len(m.FinishedRanges); n > 0 { // the last task range may have been a short one
		m.FinishedRanges[n-1] = min(m.FinishedRanges[n-1], m.RangeCount())
	}
}

// SpreadGroup returns by which group of tasks task range n counts when a job is spread, and how
// many tasks the group has: of each half may be in one zone, and so half of all.
func (m *Record) SpreadGroup(n int) (group, tasks int) {
	size := m.RangeSize
	if m.SpreadRangeSize > 0 {
		size = m.SpreadRangeSize
	}
	g := n * m.RangeSize / size
	return g, min(size, m.Spec.Tasks-g*size)
}

// Slice returns the tasks from on, n of them, as a task range of their own, nil if nothing is
// known of them.
func (c *TaskRange) Slice(from, n int) *TaskRange {
	if c == nil {
		return nil
	}
	d := &TaskRange{LastAttempt: c.LastAttempt, Errors: c.Errors, Placements: map[int]*Placement{}}
	for i := range n {
		if c.Done(from + i) {
			d.setDone(i)
		}
		if p := c.Placements[from+i]; p != nil {
			q := *p
			d.Placements[i] = &q
		}
	}
	return d
}

// Copy copies the record so that it can be changed; a nil task range is one never touched.
func (c *TaskRange) Copy() *TaskRange {
	if c == nil {
		return &TaskRange{Placements: map[int]*Placement{}}
	}
	d := *c
	d.Placements = make(map[int]*Placement, len(c.Placements))
	for i, p := range c.Placements {
		q := *p
		d.Placements[i] = &q
	}
	return &d
}

func (c *TaskRange) bits() []byte {
	b, _ := base64.RawStdEncoding.DecodeString(c.DoneBits) // checked when the record was read
	return b
}

// Done reports whether task i (within the task range) is done.
func (c *TaskRange) Done(i int) bool {
	if c == nil {
		return false
	}
	b := c.bits()
	return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
}

// DoneFlags tells of the first n tasks which are done.
func (c *TaskRange) DoneFlags(n int) []bool {
	out := make([]bool, n)
	if c == nil {
		return out
	}
	b := c.bits()
	for i := range out {
		out[i] = i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
	}
	return out
}

// DoneCount counts the done tasks.
func (c *TaskRange) DoneCount() int {
	if c == nil {
		return 0
	}
	n := 0
	for _, x := range c.bits() {
		for ; x != 0; x &= x - 1 {
			n++
		}
	}
	return n
}

// PlacementOf returns where task i is placed, nil if nowhere.
func (c *TaskRange) PlacementOf(i int) *Placement {
	if c == nil {
		return nil
	}
	return c.Placements[i]
}

// Place places task i on a machine and gives the new attempt's number. Numbers
// only rise, so that no attempt of a task is ever confused with another.
func (c *TaskRange) Place(i int, host string, atS int64) uint64 {
	c.LastAttempt++
	c.Placements[i] = &Placement{Attempt: c.LastAttempt, Host: host, PlacedS: atS}
	return c.LastAttempt
}

// PlaceAttempt places task i as attempt try, whose number is one for all tasks of a gang.
func (c *TaskRange) PlaceAttempt(i int, host string, try uint64, atS int64) {
	c.LastAttempt = max(c.LastAttempt, try)
	c.Placements[i] = &Placement{Attempt: try, Host: host, PlacedS: atS}
}

func (c *TaskRange) setDone(i int) {
	b := c.bits()
	for len(b) <= i/8 {
		b = append(b, 0)
	}
	b[i/8] |= 1 << (i % 8)
	c.DoneBits = base64.RawStdEncoding.EncodeToString(b)
}

// EndAttempt takes attempt try of task i off its machine. It reports whether that was
// the task's present attempt; if not, nothing changes.
func (c *TaskRange) EndAttempt(i int, try uint64, done, failed bool) bool {
	p := c.Placements[i]
	if p == nil || p.Attempt != try {
		return false
	}
	delete(c.Placements, i)
	switch {
	case done:
		c.setDone(i)
		c.Errors = 0
	case failed:
		c.Errors++
	}
	return true
}

// ParseRecord reads a main record.
func ParseRecord(raw []byte) (*Record, error) {
	var m Record
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	if m.RangeSize < 1 || m.Spec.Tasks < 1 {
		return nil, fmt.Errorf("job record of %q: no tasks", m.Spec.UID)
	}
	if m.InlineRange != nil {
		if err := m.InlineRange.check(); err != nil {
			return nil, err
		}
	}
	return &m, nil
}

// ParseTaskRange reads a task range's record.
func ParseTaskRange(raw []byte) (*TaskRange, error) {
	var c TaskRange
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, err
	}
	return &c, c.check()
}

func (c *TaskRange) check() error {
	if _, err := base64.RawStdEncoding.DecodeString(c.DoneBits); err != nil {
		return err
	}
	if c.Placements == nil {
		c.Placements = map[int]*Placement{}
	}
	return nil
}
