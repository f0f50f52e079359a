package api

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

func valid() map[string]any {
	return map[string]any{"uid": "run-000412", "lane": "train", "owner": "vision", "shape": "sweep", "rank": "urgent", "pieces": 16,
		"cpus": 8.0, "gpus": 1.0, "memGb": 64.0, "bundle": "img-07", "sizeGb": 6.2, "builds": []string{"g8"}, "site": nil,
		"together": true, "scatter": false, "loaners": true, "guessS": 240.0, "bookmarkS": 30.0, "stowS": 4.0, "dueS": 900.0}
}

func TestJobFields(t *testing.T) {
	nullable := map[string]bool{"builds": true, "site": true, "dueS": true}
	if _, err := ParseJob(JSON(valid())); err != nil {
		t.Fatal(err)
	}
	for name := range valid() {
		for how, change := range map[string]func(map[string]any){
			"missing":     func(m map[string]any) { delete(m, name) },
			"null":        func(m map[string]any) { m[name] = nil },
			"object":      func(m map[string]any) { m[name] = map[string]any{} },
			"other case":  func(m map[string]any) { m["X"+name] = m[name]; delete(m, name) },
			"empty array": func(m map[string]any) { m[name] = []any{} },
		} {
			m := valid()
			change(m)
			_, err := ParseJob(JSON(m))
			ok := nullable[name] && how != "object" && how != "empty array" || name == "builds" && how == "empty array"
			if (err == nil) != ok {
				t.Errorf("%s %s: %v", name, how, err)
			}
		}
	}
}

func TestJobValues(t *testing.T) {
	for name, values := range map[string][]any{
		"uid":       {"", "run-", "run-x", "job-000001", "run-000001/2", "run-0000000000000000000000"},
		"shape":     {"gang", "Sweep", ""},
		"rank":      {"high", "", "Production"},
		"pieces":    {0, -1, 1.5, 100001, "3", json.RawMessage("1e30")},
		"cpus":      {-1, "1", json.RawMessage("1e999")},
		"dueS":      {-1, "x"},
		"builds":    {"g8", []any{nil}, []any{1}},
		"site":      {"", 3},
		"together":  {0, "true"},
		"bookmarkS": {-0.5},
	} {
		for _, v := range values {
			m := valid()
			m[name] = v
			if _, err := ParseJob(JSON(m)); err == nil {
				t.Errorf("%s = %v is taken", name, v)
			}
		}
	}
	for _, s := range []string{"", "null", "[]", "3", `{"uid":`, `"x"`} {
		if _, err := ParseJob([]byte(s)); err == nil {
			t.Errorf("%s is taken", s)
		}
	}
}

// Unknown fields change nothing, whatever they are.
func TestUnknownFieldsIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := valid()
		for range rapid.IntRange(1, 5).Draw(t, "n") {
			m["zz"+rapid.String().Draw(t, "name")] = rapid.SampledFrom([]any{nil, 1, "x", []any{}, map[string]any{"uid": 3}}).
				Draw(t, "value")
		}
		m["UID"] = 7 // another name: case matters
		r, err := ParseJob(JSON(m))
		if err != nil || r.UID != "run-000412" || r.Tasks != 16 || *r.DeadlineS != 900 {
			t.Fatalf("%+v %v", r, err)
		}
		if uid, ok := UIDOf(JSON(m)); !ok || uid != "run-000412" {
			t.Fatal(uid)
		}
	})
}

func TestTaskNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := rapid.IntRange(0, MaxTasks-1).Draw(t, "i")
		uid, n, ok := SplitTaskName(TaskName("run-000001", i))
		if !ok || uid != "run-000001" || n != i {
			t.Fatal(uid, n, ok)
		}
	})
	for _, s := range []string{"", "run-1", "run-1/", "run-1/x", "run-1/-1", "run-1/100000"} {
		if _, _, ok := SplitTaskName(s); ok {
			t.Errorf("%q is taken", s)
		}
	}
}
