package api

import (
	"encoding/json"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// fields are the fields of a JSON object.
type fields map[string]any

// validFields returns the fields of a valid submission.
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

// parseFields encodes a submission with these fields and parses it.
func parseFields(f fields) (*Job, error) { return ParseJob(MustMarshal(f)) }

// isBadRequest reports whether an error is a RequestError with StatusBadRequest and a reason.
func isBadRequest(err error) bool {
	var requestError *RequestError
	return errors.As(err, &requestError) && requestError.Status == StatusBadRequest && requestError.Reason != ""
}

// Each field must be present with its type and its exact name, except for those that may be missing
// or null.
func TestParseJobRequiresFieldsAndTypes(t *testing.T) {
	nullable := map[string]bool{"builds": true, "site": true, "dueS": true}
	if _, err := parseFields(validFields()); err != nil {
		t.Fatalf("valid submission rejected: %v", err)
	}
	for name := range validFields() {
		for _, test := range []struct {
			mutation string
			mutate   func(fields)
			valid    bool
		}{
			{"missing", func(f fields) { delete(f, name) }, nullable[name]},
			{"null", func(f fields) { f[name] = nil }, nullable[name]},
			{"object", func(f fields) { f[name] = fields{} }, false},
			{"other name", func(f fields) { f["X"+name] = f[name]; delete(f, name) }, nullable[name]},
			{"empty array", func(f fields) { f[name] = []any{} }, name == "builds"},
		} {
			t.Run(name+" "+test.mutation, func(t *testing.T) {
				f := validFields()
				test.mutate(f)
				_, err := parseFields(f)
				if (err == nil) != test.valid {
					t.Errorf("got error %v, want the submission accepted: %t", err, test.valid)
				}
				if err != nil && !isBadRequest(err) {
					t.Errorf("got error %v, want a bad request", err)
				}
			})
		}
	}
}

func TestParseJobRejectsInvalidValues(t *testing.T) {
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
				t.Errorf("%s = %v: got error %v, want a bad request", name, value, err)
			}
		}
	}
}

func TestParseJobRejectsBodyThatIsNoObject(t *testing.T) {
	for _, body := range []string{"", "null", "[]", "3", `{"uid":`, `"x"`} {
		if _, err := ParseJob([]byte(body)); !isBadRequest(err) {
			t.Errorf("body %q: got error %v, want a bad request", body, err)
		}
	}
}

// Unknown fields are ignored, whatever their names and values are.
func TestParseJobIgnoresUnknownFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := validFields()
		for range rapid.IntRange(1, 5).Draw(t, "n") {
			value := rapid.SampledFrom([]any{nil, 1, "x", []any{}, fields{"uid": 3}}).Draw(t, "value")
			f["zz"+rapid.String().Draw(t, "name")] = value
		}
		f["UID"] = 7 // an unknown field, because names are case-sensitive
		j, err := parseFields(f)
		if err != nil || j.UID != "run-000412" || j.Tasks != 16 || *j.DeadlineS != 900 {
			t.Fatalf("got job %+v and error %v, want the job without the unknown fields", j, err)
		}
		if uid, ok := ExtractUID(MustMarshal(f)); !ok || uid != "run-000412" {
			t.Fatalf("got job ID %q, valid %t, want %q, true", uid, ok, "run-000412")
		}
	})
}
