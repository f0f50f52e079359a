package golden

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"violetturn/internal/peer"
)

// encodedPackages are the packages whose exported types with JSON tags are records or messages.
var encodedPackages = []string{"api", "cloud", "job", "shard", "store", "zonehealth"}

// typeName is the name of a type in the form package.Type.
type typeName string

// fieldCoverage records, for each field of each struct type that occurs in golden values, whether at
// least one golden value sets it.
type fieldCoverage map[typeName]map[string]bool

// recordValue records the fields set in a value and in all values that it contains.
func (c fieldCoverage) recordValue(v reflect.Value) {
	switch v.Kind() { //nolint:exhaustive // values of the other kinds contain no further values
	case reflect.Pointer:
		if !v.IsNil() {
			c.recordValue(v.Elem())
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			c.recordValue(v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			c.recordValue(v.MapIndex(key))
		}
	case reflect.Struct:
		c.recordStruct(v)
	}
}

// recordStruct records the fields set in a struct and in the values of its fields.
func (c fieldCoverage) recordStruct(v reflect.Value) {
	name := typeName(path.Base(v.Type().PkgPath()) + "." + v.Type().Name())
	if c[name] == nil {
		c[name] = map[string]bool{}
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() || field.Tag.Get("json") == "-" {
			continue // it is not encoded
		}
		c[name][field.Name] = c[name][field.Name] || !v.Field(i).IsZero()
		c.recordValue(v.Field(i))
	}
}

// goldenFieldCoverage returns the field coverage of all golden values except the protobuf messages.
func goldenFieldCoverage() fieldCoverage {
	coverage := fieldCoverage{}
	for _, g := range append(records(), variants()...) {
		if _, isMessage := g.value.(proto.Message); !isMessage {
			coverage.recordValue(reflect.ValueOf(g.value))
		}
	}
	return coverage
}

// Every field of every record and message is set in a golden value, so that the golden files contain
// its encoded name.
func TestEveryFieldHasGoldenValue(t *testing.T) {
	for name, fields := range goldenFieldCoverage() {
		for field, set := range fields {
			if !set {
				t.Errorf("no golden value sets the field %s.%s, want at least one", name, field)
			}
		}
	}
}

// Every exported type with JSON tags in the packages of records and messages occurs in a golden value.
func TestEveryTypeHasGoldenValue(t *testing.T) {
	coverage := goldenFieldCoverage()
	for _, dir := range encodedPackages {
		names := typesWithJSONTags(t, dir)
		if len(names) == 0 {
			t.Errorf("package %s has no exported types with JSON tags, want at least one", dir)
		}
		for _, name := range names {
			if coverage[name] == nil {
				t.Errorf("no golden value contains a %s, want at least one", name)
			}
		}
	}
}

// typesWithJSONTags returns the exported struct types of a package that have JSON tags.
func typesWithJSONTags(t *testing.T, dir string) []typeName {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var names []typeName
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(tree, func(n ast.Node) bool {
			if spec, isType := n.(*ast.TypeSpec); isType && spec.Name.IsExported() && hasJSONTags(spec) {
				names = append(names, typeName(dir+"."+spec.Name.Name))
			}
			return true
		})
	}
	return names
}

// hasJSONTags reports whether a type is a struct with JSON tags.
func hasJSONTags(spec *ast.TypeSpec) bool {
	structure, isStruct := spec.Type.(*ast.StructType)
	if !isStruct {
		return false
	}
	for _, field := range structure.Fields.List {
		if field.Tag != nil && strings.Contains(field.Tag.Value, `json:"`) {
			return true
		}
	}
	return false
}

// Every field of every protobuf message is set in a golden value.
func TestEveryMessageFieldHasGoldenValue(t *testing.T) {
	covered := map[protoreflect.FullName]bool{}
	var add func(m protoreflect.Message)
	add = func(m protoreflect.Message) {
		m.Range(func(field protoreflect.FieldDescriptor, v protoreflect.Value) bool {
			covered[field.FullName()] = true
			switch {
			case field.IsList() && field.Message() != nil:
				for i := range v.List().Len() {
					add(v.List().Get(i).Message())
				}
			case field.Message() != nil:
				add(v.Message())
			}
			return true
		})
	}
	for _, g := range append(records(), variants()...) {
		if m, isMessage := g.value.(proto.Message); isMessage {
			add(m.ProtoReflect())
		}
	}
	messages := (&peer.Request{}).ProtoReflect().Descriptor().ParentFile().Messages()
	for i := range messages.Len() {
		fields := messages.Get(i).Fields()
		for j := range fields.Len() {
			if name := fields.Get(j).FullName(); !covered[name] {
				t.Errorf("no golden value sets the field %s, want at least one", name)
			}
		}
	}
}
