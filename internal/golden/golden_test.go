// Package golden fixes the recorded and transmitted forms of all records and messages.
// Controllers of neighbouring versions read each other's records, so a form may gain
// fields but never lose or rename one, however the code's own names change.
//
// The forms are in text files, a line each, NAME: FORM. records.txt has each record and
// message with all fields set, variants.txt those with fields left out and other cases,
// words.txt the words of enumerations, keys.txt the keys of records in the state service. A
// line that is there never changes; the names of lines in records.txt are older than those of
// the types.
package golden

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"violetturn/internal/api"
)

// golden is a value whose form a line fixes.
type golden struct {
	line  string
	value any // a pointer
}

// readForms returns the forms of a file by the names of their lines.
func readForms(t *testing.T, file string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	forms := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, form, found := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		if _, twice := forms[name]; twice || !found {
			t.Errorf("%s: line %q is malformed, or there twice", file, line)
		}
		forms[name] = form
	}
	return forms
}

// encode returns the recorded form, or that on the wire in hexadecimal.
func encode(t *testing.T, v any) string {
	t.Helper()
	if m, ok := v.(proto.Message); ok {
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return hex.EncodeToString(b)
	}
	return string(api.MustMarshal(v))
}

// decode reads a form into a new value of the type of like.
func decode(t *testing.T, like any, form string) any {
	t.Helper()
	out := reflect.New(reflect.TypeOf(like).Elem()).Interface()
	if m, ok := out.(proto.Message); ok {
		b, err := hex.DecodeString(form)
		if err == nil {
			err = proto.Unmarshal(b, m)
		}
		if err != nil {
			t.Error(err)
		}
		return out
	}
	if err := json.Unmarshal([]byte(form), out); err != nil {
		t.Error(err)
	}
	return out
}

// equal reports whether two values are the same.
func equal(a, b any) bool {
	messageA, okA := a.(proto.Message)
	messageB, okB := b.(proto.Message)
	if okA && okB {
		return proto.Equal(messageA, messageB)
	}
	return reflect.DeepEqual(a, b)
}

// Every record and message has the form that a file fixes, that form is read as the same
// value, and what is read has the form again.
func TestForms(t *testing.T) {
	for _, x := range []struct {
		file   string
		values []golden
	}{
		{"records.txt", records()},
		{"variants.txt", variants()},
	} {
		t.Run(x.file, func(t *testing.T) {
			forms := readForms(t, x.file)
			if len(forms) != len(x.values) {
				t.Errorf("%d forms are fixed, there are %d values", len(forms), len(x.values))
			}
			for _, g := range x.values {
				t.Run(g.line, func(t *testing.T) { checkForm(t, g.value, forms[g.line]) })
			}
		})
	}
}

// checkForm checks a value against its fixed form, in both directions.
func checkForm(t *testing.T, value any, form string) {
	t.Helper()
	if got := encode(t, value); got != form {
		t.Errorf("encoded as %s\nfixed is   %s", got, form)
	}
	back := decode(t, value, form)
	if !equal(value, back) {
		t.Errorf("read as %+v, was %+v", back, value)
	}
	if got := encode(t, back); got != form {
		t.Errorf("what is read is encoded as %s", got)
	}
}

// What a later version adds to a record does not harm.
func TestReadsLaterForms(t *testing.T) {
	forms := readForms(t, "records.txt")
	for _, g := range records() {
		if _, isMessage := g.value.(proto.Message); isMessage || reflect.TypeOf(g.value).Elem().Kind() != reflect.Struct {
			continue
		}
		t.Run(g.line, func(t *testing.T) {
			later := strings.Replace(forms[g.line], "{", `{"added later":{"x":[1]},`, 1)
			if back := decode(t, g.value, later); !equal(g.value, back) {
				t.Errorf("read as %+v, was %+v", back, g.value)
			}
		})
	}
}

// The words of enumerations are those that the file fixes.
func TestWords(t *testing.T) {
	fixed := readForms(t, "words.txt")
	if len(fixed) != len(words) {
		t.Errorf("%d words are fixed, there are %d", len(fixed), len(words))
	}
	for name, word := range words {
		if got := encode(t, word); got != fixed[name] {
			t.Errorf("%s is %s, fixed is %s", name, got, fixed[name])
		}
	}
}
