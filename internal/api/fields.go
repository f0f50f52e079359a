package api

import (
	"encoding/json"
	"math"
)

// fieldReader reads the fields of a JSON object one by one, and keeps the first error. Names of
// fields have to match in case.
type fieldReader struct {
	values map[string]json.RawMessage
	err    *RequestError
}

// newFieldReader returns a reader of the object in body; ok reports whether it is one.
func newFieldReader(body []byte) (r *fieldReader, ok bool) {
	r = &fieldReader{}
	if err := json.Unmarshal(body, &r.values); err != nil || r.values == nil {
		return nil, false
	}
	return r, true
}

// fail keeps an error of a field unless there is an earlier one.
func (r *fieldReader) fail(name, reason string) {
	if r.err == nil {
		r.err = NewRequestError(StatusBadRequest, "%s: %s", name, reason)
	}
}

// check fails the field unless it is ok.
func (r *fieldReader) check(name string, ok bool) {
	if !ok {
		r.fail(name, "invalid")
	}
}

// read reads a field that has to be there and not null.
func (r *fieldReader) read(name string, to any) {
	if !r.readNullable(name, to) {
		r.fail(name, "missing")
	}
}

// readNullable reads a field that may be missing or null; it reports whether it is there.
func (r *fieldReader) readNullable(name string, to any) bool {
	if r.err != nil {
		return true
	}
	raw, ok := r.values[name]
	if !ok || string(raw) == "null" {
		return false
	}
	if err := json.Unmarshal(raw, to); err != nil {
		r.fail(name, "wrong type")
	}
	return true
}

// text reads a text that is not empty.
func (r *fieldReader) text(name string, to *string) {
	r.read(name, to)
	r.check(name, *to != "")
}

// amount reads a number of at least zero.
func (r *fieldReader) amount(name string, to *float64) {
	r.read(name, to)
	r.check(name, *to >= 0 && !math.IsInf(*to, 0))
}

// texts reads a list of texts that may be missing or null, which is nil.
func (r *fieldReader) texts(name string) []string {
	var list []*string // so that null within the list is noticed
	r.readNullable(name, &list)
	if list == nil {
		return nil
	}
	texts := []string{}
	for _, text := range list {
		if text == nil {
			r.fail(name, "invalid")
			break
		}
		texts = append(texts, *text)
	}
	return texts
}
