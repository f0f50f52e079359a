package api

import (
	"encoding/json"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// fields are the fields of a JSON object.
type fields map[string]any

// validFields returns the fields of a submission that is taken.
func validFields() fields {
	return fields{
		"uid":       "run-000412",
		"lane":      "train",
		"owner":     "vision",
		"shape":     "sweep",
		"rank":      "urgent",
		"pieces":    16,
		"cpus":      8.0,
		"gpus":      1.0,
		"memGb":     64.0,
		"bundle":    "img-07",
		"sizeGb":    6.2,
		"builds":    []string{"g8"},
		"site":      nil,
		"together":  true,
		"scatter":   false,
		"loaners":   true,
		"guessS":    240.0,
		"bookmarkS": 30.0,
		"stowS":     4.0,
		"dueS":      900.0,
	}
}

// parseFields parses a submission with these fields.
func parseFields(f fields) (*Job, error) { return ParseJob(MustMarshal(f)) }

// isBadRequest reports whether an error leads to StatusBadRequest.
func isBadRequest(err error) bool {
	var refused *RequestError
	return errors.As(err, &refused) && refused.Status == StatusBadRequest && refused.Reason != ""
}

// Each field has to be there in its own type and case, some aside that may be null.
func TestJobFields(t *testing.T) {
	nullable := map[string]bool{"builds": true, "site": true, "dueS": true}
	if _, err := parseFields(validFields()); err != nil {
		t.Fatal(err)
	}
	for name := range validFields() {
		for _, x := range []struct {
			how    string
			change func(fields)
			taken  bool
		}{
			{"missing", func(f fields) { delete(f, name) }, nullable[name]},
			{"null", func(f fields) { f[name] = nil }, nullable[name]},
			{"object", func(f fields) { f[name] = fields{} }, false},
			{"other name", func(f fields) { f["X"+name] = f[name]; delete(f, name) }, nullable[name]},
			{"empty array", func(f fields) { f[name] = []any{} }, name == "builds"},
		} {
			t.Run(name+" "+x.how, func(t *testing.T) {
				f := validFields()
				x.change(f)
				_, err := parseFields(f)
				if (err == nil) != x.taken {
					t.Errorf("taken %t: %v", err == nil, err)
				}
				if err != nil && !isBadRequest(err) {
					t.Errorf("%v is no bad request", err)
				}
			})
		}
	}
}

// Values out of their range are refused.
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
		for _, value := range values {
			f := validFields()
			f[name] = value
			if _, err := parseFields(f); !isBadRequest(err) {
				t.Errorf("%s = %v: %v", name, value, err)
			}
		}
	}
}

// What is no JSON object is refused.
func TestNoObject(t *testing.T) {
	for _, body := range []string{"", "null", "[]", "3", `{"uid":`, `"x"`} {
		if _, err := ParseJob([]byte(body)); !isBadRequest(err) {
			t.Errorf("%s: %v", body, err)
		}
	}
}

// Unknown fields change nothing, whatever they are.
func TestUnknownFieldsIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := validFields()
		for range rapid.IntRange(1, 5).Draw(t, "n") {
			value := rapid.SampledFrom([]any{nil, 1, "x", []any{}, fields{"uid": 3}}).Draw(t, "value")
			f["zz"+rapid.String().Draw(t, "name")] = value
		}
		f["UID"] = 7 // another name: case matters
		j, err := parseFields(f)
		if err != nil || j.UID != "run-000412" || j.Tasks != 16 || *j.DeadlineS != 900 {
			t.Fatalf("%+v %v", j, err)
		}
		if uid, ok := ExtractUID(MustMarshal(f)); !ok || uid != "run-000412" {
			t.Fatal(uid)
		}
	})
}
