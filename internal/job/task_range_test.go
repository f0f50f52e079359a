package job

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/api"
)

// A task range has the same done and placed tasks as a simple model after random placements, ends of
// attempts and decodings. Attempt numbers rise, and only the end of a task's current attempt counts.
func TestTaskRangeMatchesModel(t *testing.T) {
	const tasks = 41
	rapid.Check(t, func(t *rapid.T) {
		r := (*TaskRange)(nil).Copy()
		done := map[int]bool{}
		placed := map[int]uint64{}
		last := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"place": func(t *rapid.T) {
				i := rapid.IntRange(0, tasks-1).Draw(t, "task")
				if done[i] || placed[i] != 0 {
					t.Skip()
				}
				placed[i] = r.Place(i, "h", 0)
				if placed[i] <= last {
					t.Fatalf("Place(%d) = attempt %d, want more than %d", i, placed[i], last)
				}
				last = placed[i]
			},
			"end": func(t *rapid.T) {
				i := rapid.IntRange(0, tasks-1).Draw(t, "task")
				attempt := rapid.Uint64Range(1, 50).Draw(t, "attempt")
				ok := rapid.Bool().Draw(t, "done")
				present := placed[i] != 0 && placed[i] == attempt
				if r.EndAttempt(i, attempt, ok, !ok) != present {
					t.Fatalf("EndAttempt(%d, %d) = %t, want %t", i, attempt, !present, present)
				}
				if present {
					delete(placed, i)
					done[i] = ok
				}
			},
			"reparse": func(t *rapid.T) {
				decoded, err := ParseTaskRange(api.MustMarshal(r))
				if err != nil {
					t.Fatalf("ParseTaskRange: %v", err)
				}
				r = decoded.Copy()
			},
			"": func(t *rapid.T) { checkTaskRange(t, r, done, tasks, len(placed)) },
		})
	})
}

// checkTaskRange checks the done tasks and the number of placements of a task range against those of
// the model.
func checkTaskRange(t *rapid.T, r *TaskRange, done map[int]bool, tasks, placed int) {
	t.Helper()
	flags := r.DoneFlags(tasks)
	n := 0
	for i := range tasks {
		if r.Done(i) != done[i] || flags[i] != done[i] {
			t.Fatalf("task %d: Done() = %t, DoneFlags() = %t, want %t", i, r.Done(i), flags[i], done[i])
		}
		if done[i] {
			n++
		}
	}
	if n != r.DoneCount() || placed != len(r.Placements) {
		t.Fatalf("DoneCount() = %d, want %d; %d placements, want %d", r.DoneCount(), n, len(r.Placements), placed)
	}
}

// A malformed record is rejected with an error that wraps its cause.
func TestParseRejectsMalformedRecords(t *testing.T) {
	parseRecord := func(raw []byte) error { _, err := ParseRecord(raw); return err }
	parseRange := func(raw []byte) error { _, err := ParseTaskRange(raw); return err }
	var syntax *json.SyntaxError
	var badBits base64.CorruptInputError
	for _, test := range []struct {
		name  string
		parse func(raw []byte) error
		raw   string
		is    func(error) bool
	}{
		{"record, invalid JSON", parseRecord, `{`, func(err error) bool { return errors.As(err, &syntax) }},
		{"record, no tasks", parseRecord, `{"k":4,"r":{}}`, func(err error) bool { return errors.Is(err, ErrNoTasks) }},
		{"record, no range size", parseRecord, `{"r":{"pieces":3}}`, func(err error) bool { return errors.Is(err, ErrNoTasks) }},
		{
			"record, inline range with malformed base64", parseRecord, `{"k":4,"r":{"pieces":3},"o":{"d":"?"}}`,
			func(err error) bool { return errors.As(err, &badBits) },
		},
		{"task range, invalid JSON", parseRange, `{`, func(err error) bool { return errors.As(err, &syntax) }},
		{"task range, malformed base64", parseRange, `{"d":"?"}`, func(err error) bool { return errors.As(err, &badBits) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := test.parse([]byte(test.raw)); !test.is(err) {
				t.Errorf("parsing %s: error %v, want one that wraps the cause in the subtest's name", test.raw, err)
			}
		})
	}
}
