// Package golden tests that the encodings of all records and messages stay compatible.
// Controllers of consecutive versions read each other's records. An encoding may therefore gain
// fields but never lose or rename one, even if identifiers in the code are renamed.
//
// The expected encodings are in text files with one line each, NAME: ENCODING. records.txt has
// each record and message with all fields set, variants.txt has values with fields left out and
// other cases, words.txt has the values of enumerations, and keys.txt has the keys of records in the
// state service. Existing lines must not change. Some line names in records.txt are former names of
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

// goldenValue is a value whose encoding a line of a text file defines.
type goldenValue struct {
	lineName string
	value    any // a pointer
}

// readEncodings returns the encodings of a file by line name.
func readEncodings(t *testing.T, file string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	encodings := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, encoding, found := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		if _, duplicate := encodings[name]; duplicate || !found {
			t.Errorf("%s: line %q is malformed or its name is duplicated", file, line)
		}
		encodings[name] = encoding
	}
	return encodings
}

// encode returns a value's JSON encoding, or the encoding of a protobuf message in hexadecimal.
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

// decode decodes an encoding into a new value of the type of like.
func decode(t *testing.T, like any, encoding string) any {
	t.Helper()
	out := reflect.New(reflect.TypeOf(like).Elem()).Interface()
	if m, ok := out.(proto.Message); ok {
		b, err := hex.DecodeString(encoding)
		if err == nil {
			err = proto.Unmarshal(b, m)
		}
		if err != nil {
			t.Errorf("decode %s: %v", encoding, err)
		}
		return out
	}
	if err := json.Unmarshal([]byte(encoding), out); err != nil {
		t.Errorf("decode %s: %v", encoding, err)
	}
	return out
}

// equal reports whether two values are equal.
func equal(a, b any) bool {
	messageA, okA := a.(proto.Message)
	messageB, okB := b.(proto.Message)
	if okA && okB {
		return proto.Equal(messageA, messageB)
	}
	return reflect.DeepEqual(a, b)
}

// Every record and message is encoded as its file defines, decoding that gives an equal value, and
// encoding the decoded value gives the same encoding again.
func TestEncodings(t *testing.T) {
	for _, tt := range []struct {
		file   string
		values []goldenValue
	}{
		{"records.txt", records()},
		{"variants.txt", variants()},
	} {
		t.Run(tt.file, func(t *testing.T) {
			encodings := readEncodings(t, tt.file)
			if len(encodings) != len(tt.values) {
				t.Errorf("%s has %d encodings, want one for each of %d values", tt.file, len(encodings), len(tt.values))
			}
			for _, g := range tt.values {
				t.Run(g.lineName, func(t *testing.T) { checkEncoding(t, g.value, encodings[g.lineName]) })
			}
		})
	}
}

// checkEncoding checks that a value has the expected encoding, and that it decodes to an equal value.
func checkEncoding(t *testing.T, value any, encoding string) {
	t.Helper()
	if got := encode(t, value); got != encoding {
		t.Errorf("encoded as %s\nwant       %s", got, encoding)
	}
	decoded := decode(t, value, encoding)
	if !equal(value, decoded) {
		t.Errorf("decoded as %+v, want %+v", decoded, value)
	}
	if got := encode(t, decoded); got != encoding {
		t.Errorf("decoded value is encoded as %s, want %s", got, encoding)
	}
}

// Fields that a later version adds to a record are ignored when decoding.
func TestDecodeIgnoresFieldsOfLaterVersions(t *testing.T) {
	encodings := readEncodings(t, "records.txt")
	for _, g := range records() {
		if _, isMessage := g.value.(proto.Message); isMessage || reflect.TypeOf(g.value).Elem().Kind() != reflect.Struct {
			continue
		}
		t.Run(g.lineName, func(t *testing.T) {
			laterEncoding := strings.Replace(encodings[g.lineName], "{", `{"added later":{"x":[1]},`, 1)
			if decoded := decode(t, g.value, laterEncoding); !equal(g.value, decoded) {
				t.Errorf("decoded as %+v, want %+v", decoded, g.value)
			}
		})
	}
}

// The values of enumerations are encoded as words.txt defines.
func TestEnumWords(t *testing.T) {
	want := readEncodings(t, "words.txt")
	if len(want) != len(enumWords) {
		t.Errorf("words.txt has %d words, want %d", len(want), len(enumWords))
	}
	for name, word := range enumWords {
		if got := encode(t, word); got != want[name] {
			t.Errorf("%s is encoded as %s, want %s", name, got, want[name])
		}
	}
}
