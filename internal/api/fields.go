package api

import (
	"encoding/json"
	"math"
)

// fieldReader reads the fields of a JSON object one by one and records the first error. Field names
// are case-sensitive.
type fieldReader struct {
	values map[string]json.RawMessage
	err    *RequestError
}

// newFieldReader returns a reader for the JSON object in body. ok is false if body is none.
func newFieldReader(body []byte) (r *fieldReader, ok bool) {
	r = &fieldReader{}
	if err := json.Unmarshal(body, &r.values); err != nil || r.values == nil {
		return nil, false
	}
	return r, true
}

// setError records an error of a field, unless an earlier error is recorded.
func (r *fieldReader) setError(name, reason string) {
	if r.err == nil {
		r.err = NewRequestError(StatusBadRequest, "%s: %s", name, reason)
	}
}

// requireValid records an error of the field unless its value is valid.
func (r *fieldReader) requireValid(name string, valid bool) {
	if !valid {
		r.setError(name, "invalid")
	}
}

// read decodes a field that must be present and not null.
func (r *fieldReader) read(name string, target any) {
	if !r.readNullable(name, target) {
		r.setError(name, "missing")
	}
}

// readNullable decodes a field that may be missing or null. It reports whether the field is present
// and not null; after an earlier error it returns true without reading.
func (r *fieldReader) readNullable(name string, target any) bool {
	if r.err != nil {
		return true
	}
	raw, ok := r.values[name]
	if !ok || string(raw) == "null" {
		return false
	}
	if err := json.Unmarshal(raw, target); err != nil {
		r.setError(name, "wrong type")
	}
	return true
}

// readText reads a string that must not be empty.
func (r *fieldReader) readText(name string, target *string) {
	r.read(name, target)
	r.requireValid(name, *target != "")
}

// readAmount reads a finite number that must not be negative.
func (r *fieldReader) readAmount(name string, target *float64) {
	r.read(name, target)
	r.requireValid(name, *target >= 0 && !math.IsInf(*target, 0))
}

// readTexts reads a list of strings. It returns nil if the list is missing or null.
func (r *fieldReader) readTexts(name string) []string {
	var list []*string // pointers, to detect null elements
	r.readNullable(name, &list)
	if list == nil {
		return nil
	}
	texts := []string{}
	for _, text := range list {
		if text == nil {
			r.setError(name, "invalid")
			break
		}
		texts = append(texts, *text)
	}
	return texts
}
