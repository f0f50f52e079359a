package job

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/api"
)

// The task range against a plain model of its tasks.
func TestTaskRangeModel(t *testing.T) {
	const tasks = 41
	rapid.Check(t, func(t *rapid.T) {
		r := (*TaskRange)(nil).Copy()
		done := map[int]bool{}
		placed := map[int]uint64{}
		last := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				i := rapid.IntRange(0, tasks-1).Draw(t, "task")
				if done[i] || placed[i] != 0 {
					t.Skip()
				}
				placed[i] = r.Place(i, "h", 0)
				if placed[i] <= last {
					t.Fatal("attempt numbers must rise")
				}
				last = placed[i]
			},
			"end": func(t *rapid.T) {
				i := rapid.IntRange(0, tasks-1).Draw(t, "task")
				attempt := rapid.Uint64Range(1, 50).Draw(t, "attempt")
				ok := rapid.Bool().Draw(t, "done")
				present := placed[i] != 0 && placed[i] == attempt
				if r.EndAttempt(i, attempt, ok, !ok) != present {
					t.Fatal("an end of another attempt counts, or this one's does not")
				}
				if present {
					delete(placed, i)
					done[i] = ok
				}
			},
			"reread": func(t *rapid.T) {
				back, err := ParseTaskRange(api.MustMarshal(r))
				if err != nil {
					t.Fatal(err)
				}
				r = back.Copy()
			},
			"": func(t *rapid.T) { checkTaskRange(t, r, done, tasks, len(placed)) },
		})
	})
}

// checkTaskRange checks that a task range has the done tasks and the number of placements of
// a model.
func checkTaskRange(t *rapid.T, r *TaskRange, done map[int]bool, tasks, placed int) {
	t.Helper()
	flags := r.DoneFlags(tasks)
	n := 0
	for i := range tasks {
		if r.Done(i) != done[i] || flags[i] != done[i] {
			t.Fatalf("task %d done: %t", i, done[i])
		}
		if done[i] {
			n++
		}
	}
	if n != r.DoneCount() || placed != len(r.Placements) {
		t.Fatal("counts")
	}
}

// A malformed record is refused, with an error that tells what is wrong.
func TestParseRefuses(t *testing.T) {
	parseRecord := func(raw []byte) error { _, err := ParseRecord(raw); return err }
	parseRange := func(raw []byte) error { _, err := ParseTaskRange(raw); return err }
	var syntax *json.SyntaxError
	var badBits base64.CorruptInputError
	for _, x := range []struct {
		name  string
		parse func(raw []byte) error
		raw   string
		is    func(error) bool
	}{
		{"record, no JSON", parseRecord, `{`, func(err error) bool { return errors.As(err, &syntax) }},
		{"record, no tasks", parseRecord, `{"k":4,"r":{}}`, func(err error) bool { return errors.Is(err, ErrNoTasks) }},
		{"record, empty ranges", parseRecord, `{"r":{"pieces":3}}`, func(err error) bool { return errors.Is(err, ErrNoTasks) }},
		{
			"record, inline range with bad bits", parseRecord, `{"k":4,"r":{"pieces":3},"o":{"d":"?"}}`,
			func(err error) bool { return errors.As(err, &badBits) },
		},
		{"task range, no JSON", parseRange, `{`, func(err error) bool { return errors.As(err, &syntax) }},
		{"task range, bad bits", parseRange, `{"d":"?"}`, func(err error) bool { return errors.As(err, &badBits) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			if err := x.parse([]byte(x.raw)); !x.is(err) {
				t.Errorf("error is %v", err)
			}
		})
	}
}
